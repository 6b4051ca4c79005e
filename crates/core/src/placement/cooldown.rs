//! The pause after a change of map, which grows while changes fall short of their predicted gain.

use crate::time::{Now, UnixMs};

/// Minimum pause, so that reports of steps on the new map arrive before the next proposal.
const MIN_PAUSE_MS: u64 = 4_000;
/// Maximum pause, so that a group with poor predictions still follows demand.
const MAX_PAUSE_MS: u64 = 600_000;
/// Share of the predicted gain below which a change counts as having failed its prediction.
const MIN_REALISED_SHARE: f64 = 0.5;
/// Shortfall of skew that is attributed to noise, because a change is evaluated on few reports.
const SKEW_TOLERANCE: f64 = 0.01;
/// Factor by which the pause grows after a failed change and shrinks after a successful one.
const PAUSE_FACTOR: u64 = 2;

/// Tracks when the next change may be proposed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoolDown {
    ends_at: UnixMs,
    pause_ms: u64,
}

impl CoolDown {
    pub(crate) fn new() -> Self {
        Self { ends_at: UnixMs::default(), pause_ms: MIN_PAUSE_MS }
    }

    pub(crate) fn is_over(&self, now: Now) -> bool {
        self.ends_at.is_past(now)
    }

    /// Starts the pause after an adopted change.
    pub(crate) fn start(&mut self, now: Now) {
        self.ends_at = now.after(self.pause_ms);
    }

    /// Lengthens the pause after an abandoned change and starts it.
    ///
    /// Otherwise every group would immediately request the same loads again from a failing weight
    /// store, whose refusals would rise while no map changes.
    pub(crate) fn back_off(&mut self, now: Now) {
        self.lengthen();
        self.start(now);
    }

    /// Adjusts the pause to how the realised gain of the last change compares with its prediction.
    ///
    /// Both gains are reductions of the mean skew over layers.
    pub(crate) fn evaluate(&mut self, now: Now, predicted: f64, realised: f64) {
        if realised < MIN_REALISED_SHARE * predicted - SKEW_TOLERANCE {
            self.lengthen();
            self.start(now);
        } else {
            self.pause_ms = (self.pause_ms / PAUSE_FACTOR).max(MIN_PAUSE_MS);
        }
    }

    /// Ends the pause and restores its minimum length, for a sudden change after steady demand.
    ///
    /// Pauses grow while small gains are not realised. If such a pause continued through a sudden
    /// change of demand, the group would stay on an outdated map and skew would remain high for
    /// minutes. Callers do not reset the pause under constantly changing demand, because no gain
    /// lasts under it.
    pub(crate) fn reset(&mut self) {
        *self = Self::new();
    }

    fn lengthen(&mut self) {
        self.pause_ms = (self.pause_ms * PAUSE_FACTOR).min(MAX_PAUSE_MS);
    }
}
