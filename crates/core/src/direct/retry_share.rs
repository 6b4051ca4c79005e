//! One entry's share of the fleet's retry budget.

use super::{BootMs, RetryBudgetSettings};

/// Share of the fleet's retry budget that is used. The rest is a margin, since the entries and an
/// observer of the limit count over windows that begin at different times.
const USED_BUDGET_SHARE: f64 = 0.7;

/// Smallest number of entries among which the slack is split, even if fewer are known.
const MIN_ENTRIES: usize = 4;

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

/// What determines the share of one entry.
#[derive(Clone, Copy, Debug)]
pub struct RetryShare {
    started_at: BootMs,
    entries: usize,
}

impl RetryShare {
    /// Returns the share of an entry that started at `started_at` and knows no other entry.
    #[must_use]
    pub const fn new(started_at: BootMs) -> Self {
        Self { started_at, entries: 1 }
    }

    /// Records the number of live entries that this one knows, itself included.
    pub fn note_live_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Returns the number of entries among which the slack is split.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.max(MIN_ENTRIES)
    }

    /// Returns the time since the entry started, and so since it counts its sends.
    #[must_use]
    pub fn age_ms(&self, now: BootMs) -> u64 {
        now.since(self.started_at)
    }

    /// Returns what the entry may use of the fleet's budget.
    #[must_use]
    pub fn settings(&self, fleet: FleetRetryBudget, _now: BootMs) -> RetryBudgetSettings {
        RetryBudgetSettings {
            window_ms: fleet.window_ms,
            ratio: fleet.ratio * USED_BUDGET_SHARE,
            slack: fleet.slack * USED_BUDGET_SHARE / self.entries() as f64,
        }
    }
}
