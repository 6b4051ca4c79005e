//! One entry's share of the fleet's retry budget.
//!
//! What an entry has spent is known to its process alone, so a process that has just started does not
//! know what the one before it has spent. Until a whole window has passed it therefore has a start
//! allowance in place of its share of the slack. The allowances come from the part of the slack that
//! the shares leave over.

use super::{BootMs, RetryBudgetSettings};

/// Share of the fleet's retry budget that is used. The rest is a margin, since the entries and an
/// observer of the limit count over windows that begin at different times.
const USED_BUDGET_SHARE: f64 = 0.7;

/// Smallest number of entries among which the slack is split, even if fewer are known.
const MIN_ENTRIES: usize = 4;

/// Most starts of one entry in a window with which the start allowances stay within the slack: one
/// per second in a window of 10 s.
const MAX_STARTS_PER_WINDOW: usize = 11;

/// The retry budget that all entries of a fleet keep together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Length of the sliding window over which sends are counted.
    pub window_ms: u64,
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
}

impl FleetRetryBudget {
    /// Returns the slack of each of `entries` entries that have counted for a whole window.
    fn counted_slack(&self, entries: usize) -> f64 {
        self.slack * USED_BUDGET_SHARE / entries.max(MIN_ENTRIES) as f64
    }

    /// Returns the slack of each of `entries` entries until it has counted for a whole window.
    fn start_slack(&self, entries: usize) -> f64 {
        let left = self.slack - self.counted_slack(entries) * entries as f64;
        left / (entries * MAX_STARTS_PER_WINDOW) as f64
    }
}

/// The share of one entry, by when it started and among how many entries the slack is split.
#[derive(Clone, Copy, Debug)]
pub struct RetryShare {
    started_at: BootMs,
    entries: Option<usize>,
}

impl RetryShare {
    /// Returns the share of an entry that started at `started_at` and does not know yet how many
    /// entries there are.
    #[must_use]
    pub const fn new(started_at: BootMs) -> Self {
        Self { started_at, entries: None }
    }

    /// Sets the number of entries among which the slack is split; `None` while it is not known.
    pub fn set_entries(&mut self, entries: Option<usize>) {
        self.entries = entries.map(|entries| entries.max(1));
    }

    /// Returns the number of entries among which the slack is split; `None` while it is not known.
    #[must_use]
    pub const fn entries(&self) -> Option<usize> {
        self.entries
    }

    /// Returns the time since the entry started, and so since it counts its sends.
    #[must_use]
    pub fn age_ms(&self, now: BootMs) -> u64 {
        now.since(self.started_at)
    }

    /// Returns what the entry may use of the fleet's budget.
    #[must_use]
    pub fn settings(&self, fleet: FleetRetryBudget, now: BootMs) -> RetryBudgetSettings {
        let has_counted = self.age_ms(now) >= fleet.window_ms;
        let slack = match self.entries {
            None => 0.0,
            Some(entries) if has_counted => fleet.counted_slack(entries),
            Some(entries) => fleet.start_slack(entries),
        };
        RetryBudgetSettings {
            window_ms: fleet.window_ms,
            ratio: fleet.ratio * USED_BUDGET_SHARE,
            slack,
        }
    }
}
