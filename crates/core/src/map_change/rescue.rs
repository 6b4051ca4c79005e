//! Ends a change whose leader went silent together with its machine.

use super::leader::{Deposed, Leader, LeaderAction};
use super::order::OrderKind;
use super::phase::{Orders, Phase, UndoStage};
use crate::direct::BootMs;

impl Leader {
    /// Ends a deposed leader's change while the rank beside that leader is not heard.
    ///
    /// A frozen machine takes its rank along for seconds: it makes passes, but nobody can ask whether
    /// it is armed. One would see the group stand until the machine wakes. The holder's agent, which
    /// leads now, knows whether that rank is armed. If it is, so are all others, and the pass may go;
    /// if not, it will not be, and the change is undone without it.
    pub(super) fn rescue(&mut self, now: BootMs, actions: &mut Vec<LeaderAction>) {
        let Some(deposed) = self.deposed else { return };
        let Some(epoch) = self.epoch_without(deposed.rank, now) else { return };
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Undoing { stage, held, version, orders } => {
                self.undo(epoch, stage, held, version, orders, actions);
            }
            _ => self.begin_rescue(epoch, deposed, actions),
        }
    }

    fn begin_rescue(&mut self, epoch: u64, deposed: Deposed, actions: &mut Vec<LeaderAction>) {
        let own_rank = self.own_rank;
        let held_step = self.statuses().find(|it| it.rank == own_rank).and_then(|it| it.held_step);
        let Some(step) = held_step else { return };
        let version = self.statuses().find_map(|it| it.armed).map_or(0, |it| it.version);
        if !deposed.is_armed {
            self.begin_undo(epoch, vec![(own_rank, step)], version, "leader-silent", actions);
            return;
        }
        // Somebody else may have begun to undo the change. Agents that have heard of this leader take
        // no older one's orders any more.
        let fence = self.fence;
        let is_armed = |armed: Option<super::Armed>| armed.is_some_and(|it| it.step == step);
        if self.statuses().all(|it| is_armed(it.armed) && it.highest_fence >= fence) {
            let mut orders = Orders::default();
            let order = self.order(epoch, OrderKind::Go { step });
            orders.add(own_rank, self.take_number(), order);
            let (stage, held) = (UndoStage::Releasing, vec![(own_rank, step)]);
            self.phase = Phase::Undoing { stage, held, version, orders };
            self.note("all-armed", version, epoch, None, actions);
        }
    }

    /// The epoch, when all ranks but one were heard lately and agree on it.
    fn epoch_without(&mut self, absent_rank: u16, now: BootMs) -> Option<u64> {
        let own = &self.seats.get(&self.own_rank)?.status;
        let (epoch, ranks) = (own.epoch, own.ranks);
        // What was heard of that rank before says nothing of its present state.
        self.seats.shift_remove(&absent_rank);
        let mut others = (0..ranks).filter(|rank| *rank != absent_rank);
        others.all(|rank| self.is_present(rank, epoch, now)).then_some(epoch)
    }
}
