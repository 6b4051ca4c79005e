//! Passes that an order to release may still name, where ranks carry out outdated orders.

use super::change::MAX_STEPS_AHEAD;
use super::leader::Leader;

/// The passes of one epoch that this leader or an earlier one may have ordered to release.
///
/// Where ranks do not enforce fencing numbers, such an order may be carried out at any time. An idle
/// group begins no pass, so a later change could hold the same pass, and a late order would release
/// it while ranks are being armed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReleasedPasses {
    epoch: u64,
    /// The highest of them; nothing while an earlier leader may still order to hold a pass.
    highest: Option<u64>,
}

impl ReleasedPasses {
    /// Records that no earlier leader orders to hold a pass after `step` any more.
    fn begin(&mut self, epoch: u64, step: u64) {
        if self.epoch != epoch || self.highest.is_none() {
            *self = Self { epoch, highest: Some(step) };
        }
    }

    /// Records that the pass `step` is ordered to be released.
    pub(super) fn note(&mut self, step: u64) {
        self.highest = self.highest.map(|highest| highest.max(step));
    }

    /// Returns whether no order to release names the pass `step` or a later one.
    fn is_unused(&self, epoch: u64, step: u64) -> bool {
        self.epoch == epoch && self.highest.is_some_and(|highest| step > highest)
    }
}

impl Leader {
    /// Records which passes earlier leaders may have released, once every agent obeys this one.
    pub(super) fn note_earlier_releases(&mut self, epoch: u64) {
        let obeys = |rank: &u16| {
            self.status_of(*rank).is_some_and(|status| {
                !status.is_read_remotely && status.highest_fence >= self.first_fence
            })
        };
        let ranks = self.status_of(self.own_rank).map_or(0, |own| own.ranks);
        if (0..ranks).all(|rank| obeys(&rank)) {
            self.released_passes.begin(epoch, self.newest_step() + MAX_STEPS_AHEAD);
        }
    }

    /// Returns whether the pass `step` can be held without a late order to release it.
    pub(super) fn may_hold_pass(&self, epoch: u64, step: u64) -> bool {
        self.enforces_fences || self.released_passes.is_unused(epoch, step)
    }
}
