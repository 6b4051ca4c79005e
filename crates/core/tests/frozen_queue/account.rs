//! Accounts for callers that gave up while their requests lay unbegun at a frozen rank.

use super::request::{Request, Stay};
use hickorycross_core::direct::BootMs;
use std::collections::BTreeSet;
use std::fmt;

/// Time before the freeze from which a request counts as unbegun for long.
const LONG_UNBEGUN_MS: u64 = 500;

/// How callers that gave up spent their patience, summed over them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Account {
    callers: u64,
    at_entry_ms: u64,
    at_other_ranks_ms: u64,
    before_freeze_ms: u64,
    until_moved_ms: u64,
    at_entry_again_ms: u64,
    at_second_ms: u64,
    /// Callers whose request was not moved.
    not_moved: u64,
    /// Callers whose request had been at the rank for long at the freeze.
    long_unbegun: u64,
    /// Callers whose second rank was frozen too.
    second_frozen: u64,
}

impl Account {
    /// Adds a caller that left at `now`. Its stay at `position` was at a frozen rank.
    pub(crate) fn add(
        &mut self,
        request: &Request,
        position: usize,
        second_is_frozen: bool,
        freeze_at: BootMs,
        now: BootMs,
    ) {
        let first = request.stays[position];
        let until = first.until.unwrap_or(now);
        let second_from = request.stays.get(position + 1).map_or(now, |stay| stay.from);
        let before_ms = freeze_at.since(first.from);
        let at_others_ms =
            request.stays[..position].iter().filter_map(Stay::length_ms).sum::<u64>();
        self.callers += 1;
        self.at_entry_ms += first.from.since(request.arrived_at) - at_others_ms;
        self.at_other_ranks_ms += at_others_ms;
        self.before_freeze_ms += before_ms;
        self.until_moved_ms += until.since(first.from.max(freeze_at));
        self.at_entry_again_ms += second_from.since(until);
        self.at_second_ms += now.since(second_from);
        self.not_moved += u64::from(until == now);
        self.long_unbegun += u64::from(before_ms > LONG_UNBEGUN_MS);
        self.second_frozen += u64::from(second_is_frozen);
    }
}

impl fmt::Display for Account {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean = |sum: u64| sum / self.callers.max(1);
        write!(
            formatter,
            "{} callers left ({} not moved, {} unbegun for over 500 ms before the freeze, {} moved \
             to a second frozen rank); mean ms at the entry {}, at ranks before {}, unbegun before \
             the freeze {}, until moved {}, at the entry again {}, at the second rank {}",
            self.callers,
            self.not_moved,
            self.long_unbegun,
            self.second_frozen,
            mean(self.at_entry_ms),
            mean(self.at_other_ranks_ms),
            mean(self.before_freeze_ms),
            mean(self.until_moved_ms),
            mean(self.at_entry_again_ms),
            mean(self.at_second_ms),
        )
    }
}

/// What a simulation has counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// Callers whose request was queued at a frozen rank when it froze.
    pub(crate) queued: Account,
    /// Requests queued at the frozen ranks at the freeze.
    pub(crate) queued_at_freeze: BTreeSet<usize>,
    /// Those of them whose callers left.
    pub(crate) queued_left: BTreeSet<usize>,
    /// Requests that a frozen rank ran after their callers had left, of those that were queued
    /// there at the freeze.
    pub(crate) queued_runs: BTreeSet<usize>,
    /// The same of streams that were running at the freeze.
    pub(crate) running_runs: BTreeSet<usize>,
}
