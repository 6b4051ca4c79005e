//! How long the passes of a group take, as its leader reads from statuses.

use crate::direct::BootMs;
use std::collections::VecDeque;

/// Time over which passes are measured: a few of them, so that a shift of demand shows at once.
const MEASURED_MS: u64 = 350;

/// Passes of one group.
#[derive(Clone, Debug, Default)]
pub(super) struct PassClock {
    epoch: u64,
    /// When a pass was first heard of, and its number; newer ones last.
    heard: VecDeque<(BootMs, u64)>,
}

impl PassClock {
    /// Notes the newest pass that a rank tells of.
    pub(super) fn note(&mut self, now: BootMs, epoch: u64, step: u64) {
        if epoch != self.epoch {
            *self = Self { epoch, heard: VecDeque::new() };
        }
        if self.heard.back().is_none_or(|(_, newest)| step > *newest) {
            self.heard.push_back((now, step));
        }
        let begin = now.before(MEASURED_MS);
        // Two are kept in any case: a group whose passes take longer than this has long ones.
        while self.heard.len() > 2 && self.heard[0].0 < begin {
            self.heard.pop_front();
        }
    }

    /// Mean time of a pass lately; nothing while too little was heard.
    pub(super) fn pass_ms(&self) -> Option<u64> {
        let (first, last) = (self.heard.front()?, self.heard.back()?);
        last.0.since(first.0).checked_div(last.1 - first.1)
    }
}
