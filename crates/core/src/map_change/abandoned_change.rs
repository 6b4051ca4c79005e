//! Ends an abandoned change while a rank still holds a pass for it.
//!
//! The group is stalled before that pass, so no step waits for a silent instance if it is known
//! whether the rank there is armed. Only the [`Witness`](super::Witness) of the holder determines
//! how the change ends. Successive leaders that each complete only a part of the work therefore all
//! move in the same direction.

use super::leader::Leader;
use super::leader_action::LeaderAction;
use super::order::OrderKind;
use super::phase::{Orders, Phase, UndoStage, Undoing};
use super::status::{ArmKnowledge, Armed, RankStatus, Witness};
use super::undo::Undo;
use crate::direct::BootMs;

/// The way in which an abandoned change ends.
enum Resolution {
    /// Disarm all ranks except silent ones that are known not to be armed.
    Undo { silent: Vec<u16>, may_be_released: bool },
    /// Arm all ranks except silent ones that are known to be armed.
    Finish { silent: Vec<u16>, armed: Armed },
}

impl Leader {
    /// Ends an abandoned change. Returns whether there is one.
    pub(super) fn resolve_abandoned(
        &mut self,
        epoch: u64,
        now: BootMs,
        actions: &mut Vec<LeaderAction>,
    ) -> bool {
        let held = self.held_passes();
        if held.is_empty() {
            return false;
        }
        match self.resolution(epoch, now, &held) {
            Some(Resolution::Undo { silent, may_be_released }) => {
                let cause = if silent.is_empty() { "left-behind" } else { "leader-silent" };
                self.begin_undo(epoch, Undo { held, silent, may_be_released }, cause, actions);
            }
            Some(Resolution::Finish { silent, armed }) => {
                self.complete_switch(epoch, held[0], armed, &silent, actions);
            }
            // Evaluated again when more statuses arrive.
            None => {}
        }
        true
    }

    /// Returns how the change ends, or nothing while too little is known.
    fn resolution(&self, epoch: u64, now: BootMs, held: &[(u16, u64)]) -> Option<Resolution> {
        let ranks = self.rank_entries.get(&self.own_rank)?.status.ranks;
        let silent: Vec<u16> =
            (0..ranks).filter(|rank| !self.has_current_status(*rank, epoch, now)).collect();
        if !silent.is_empty() && now < self.first_answers_due_at {
            // Agents that have not been asked yet are not silent.
            return None;
        }
        if self.may_switch(held) {
            return None;
        }
        let &[(holder, step)] = held else {
            // More than one rank holds a pass: an order of an earlier leader was carried out late,
            // or that leader had two ranks hold it.
            let undo = Resolution::Undo { silent: Vec::new(), may_be_released: true };
            return silent.is_empty().then_some(undo);
        };
        let witness = self.witness(holder);
        let knowledge =
            witness.map_or(ArmKnowledge::Unknown, |it| it.arm_knowledge(self.newest_step()));
        let is_known = witness.is_some_and(|witness| silent == [witness.rank]);
        if !silent.is_empty() && (!is_known || knowledge == ArmKnowledge::Unknown) {
            return None;
        }
        // A rank that refuses to be armed again cannot switch.
        let is_finishable = self.unfinishable_step != Some(step);
        let may_be_released = knowledge != ArmKnowledge::NotArmed || self.is_armed_elsewhere(step);
        let ArmKnowledge::Armed { step } = knowledge else {
            return Some(Resolution::Undo { silent, may_be_released });
        };
        match self.armed_for(step).filter(|_| is_finishable) {
            Some(armed) => Some(Resolution::Finish { silent, armed }),
            None if !silent.is_empty() => None,
            None => Some(Resolution::Undo { silent, may_be_released }),
        }
    }

    /// Returns whether ranks are armed for another pass to come than the held one. An earlier change may
    /// then have held and released the latter.
    fn is_armed_elsewhere(&self, held: u64) -> bool {
        let newest_step = self.newest_step();
        let mut armed = self.statuses().filter_map(|status| status.armed);
        armed.any(|armed| armed.step > newest_step && armed.step != held)
    }

    /// Returns whether ranks may switch at any moment: they are armed for a pass to come, and all held
    /// passes come after it.
    ///
    /// Disarming one of them could make that pass begin with two maps. Nobody releases a pass for
    /// which ranks are armed before all of them are, so the switch completes without an order.
    fn may_switch(&self, held: &[(u16, u64)]) -> bool {
        let newest_step = self.newest_step();
        let mut armed = self.statuses().filter_map(|status| status.armed);
        armed.any(|armed| {
            armed.step > newest_step && held.iter().all(|(_, held)| *held > armed.step)
        })
    }

    /// Returns the witness record of the holder's agent, if it was sent after the agent learned of
    /// this leader. From then on the agent delivers no orders of the previous leader.
    fn witness(&self, holder: u16) -> Option<Witness> {
        let status = self.status_of(holder)?;
        let is_current = status.highest_fence >= self.fence && !status.is_read_remotely;
        status.witness.filter(|_| is_current)
    }

    /// Returns the switch at the pass `step` for which ranks are armed.
    fn armed_for(&self, step: u64) -> Option<Armed> {
        let armed = |status: &RankStatus| status.armed.filter(|armed| armed.step == step);
        self.statuses().find_map(armed)
    }

    /// Returns the map for which a rank is armed at the pass `step`.
    pub(super) fn version_of_armed(&self, rank: u16, step: u64) -> Option<u64> {
        let armed = self.status_of(rank)?.armed.filter(|armed| armed.step == step)?;
        Some(armed.version)
    }

    /// Begins to arm all ranks except `silent` once more, with the fencing number of this leader,
    /// before the pass is released.
    ///
    /// Statuses may be outdated, and the previous leader may have begun to disarm ranks, so only
    /// the answers of the ranks count.
    fn complete_switch(
        &mut self,
        epoch: u64,
        held: (u16, u64),
        armed: Armed,
        silent: &[u16],
        actions: &mut Vec<LeaderAction>,
    ) {
        let Armed { version, step } = armed;
        let orders = self.orders_except(silent, epoch, &OrderKind::Arm { version, step });
        let silent = silent.to_vec();
        let stage = UndoStage::Arming;
        let held = vec![held];
        self.phase = Phase::Undoing(Undoing { stage, held, silent, version, orders });
        self.note("all-armed", version, epoch, None, actions);
    }

    /// Ends a change that has only held a pass: the pass is released with the present map.
    pub(super) fn release_unchanged(
        &mut self,
        epoch: u64,
        held: Vec<(u16, u64)>,
        version: u64,
        cause: &'static str,
        actions: &mut Vec<LeaderAction>,
    ) {
        let orders = self.release_orders(epoch, &held);
        let (stage, silent) = (UndoStage::Releasing, Vec::new());
        self.phase = Phase::Undoing(Undoing { stage, held, silent, version, orders });
        self.note(cause, version, epoch, None, actions);
    }

    /// Creates the orders that release held passes.
    pub(super) fn release_orders(&mut self, epoch: u64, held: &[(u16, u64)]) -> Orders {
        let mut orders = Orders::for_epoch(epoch);
        for (rank, step) in held {
            self.released_passes.note(*step);
            let order = self.order(epoch, OrderKind::Go { step: *step });
            orders.add(*rank, self.take_number(), order);
        }
        orders
    }
}
