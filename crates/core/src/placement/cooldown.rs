//! The pause after a change, longer while changes do not bring what was predicted.

use crate::time::{Now, UnixMs};

/// Shortest pause: reports on the new map must have arrived.
const SHORTEST_MS: u64 = 4_000;
/// Longest pause; a group that predicts badly still follows demand at this pace.
const LONGEST_MS: u64 = 600_000;
/// Share of a predicted gain below which it counts as not realised.
const REALISED_SHARE: f64 = 0.5;
/// Shortfall of skew that is left to chance: a change is judged on few reports.
const TOLERATED_SHORTFALL: f64 = 0.01;
/// Factor by which the pause grows or shrinks.
const STEP_FACTOR: u64 = 2;

/// When the next change may be proposed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoolDown {
    closed_until: UnixMs,
    pause_ms: u64,
}

impl CoolDown {
    pub(crate) fn new() -> Self {
        Self { closed_until: UnixMs::default(), pause_ms: SHORTEST_MS }
    }

    pub(crate) fn is_over(&self, now: Now) -> bool {
        self.closed_until.is_past(now)
    }

    /// Starts the pause after an adopted change.
    pub(crate) fn start(&mut self, now: Now) {
        self.closed_until = now.after(self.pause_ms);
    }

    /// Lengthens the pause after an abandoned change and starts it.
    ///
    /// A weight store that fails would otherwise be asked for the same loads again at once, by
    /// every group; one would notice its refusals rise while no map changes.
    pub(crate) fn back_off(&mut self, now: Now) {
        self.lengthen();
        self.start(now);
    }

    /// Compares the gain of the last change on later reports with its prediction.
    pub(crate) fn judge(&mut self, now: Now, predicted: f64, realised: f64) {
        if realised < REALISED_SHARE * predicted - TOLERATED_SHORTFALL {
            self.lengthen();
            self.start(now);
        } else {
            self.pause_ms = (self.pause_ms / STEP_FACTOR).max(SHORTEST_MS);
        }
    }

    /// Ends the pause because demand has changed after it was steady for long.
    ///
    /// Pauses lengthen while small gains fail to show; held through a sudden change, they would
    /// keep the group on a map for the demand before. One would notice skew that stays high for
    /// minutes after the change. Demand that changes all the time does not get here, because no
    /// gain lasts under it.
    pub(crate) fn lift(&mut self) {
        *self = Self::new();
    }

    fn lengthen(&mut self) {
        self.pause_ms = (self.pause_ms * STEP_FACTOR).min(LONGEST_MS);
    }
}
