//! Measures the duration of the passes of a group from status reports.

use crate::direct::BootMs;
use std::collections::VecDeque;

/// Time window of the measurement: a few passes, so that it follows a shift of demand quickly.
const WINDOW_MS: u64 = 350;

/// Recent passes of one group.
#[derive(Clone, Debug, Default)]
pub(super) struct PassClock {
    epoch: u64,
    /// When each pass was first reported, and its number; newest last.
    observed: VecDeque<(BootMs, u64)>,
}

impl PassClock {
    /// Records the newest pass that a rank reports.
    pub(super) fn note(&mut self, now: BootMs, epoch: u64, step: u64) {
        if epoch != self.epoch {
            *self = Self { epoch, observed: VecDeque::new() };
        }
        if self.observed.back().is_none_or(|(_, newest)| step > *newest) {
            self.observed.push_back((now, step));
        }
        let begin = now.before(WINDOW_MS);
        // At least two are kept, for groups whose passes take longer than the window.
        while self.observed.len() > 2 && self.observed[0].0 < begin {
            self.observed.pop_front();
        }
    }

    /// Returns the mean duration of recent passes, or nothing with fewer than two passes.
    pub(super) fn pass_ms(&self) -> Option<u64> {
        let (first, last) = (self.observed.front()?, self.observed.back()?);
        last.0.since(first.0).checked_div(last.1 - first.1)
    }
}
