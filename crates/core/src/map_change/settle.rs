//! Ends a change that was left while a rank holds a pass for it.
//!
//! The group stands before that pass, so no step of this waits for a machine that is silent if what is
//! armed there is known. Which way a change ends hangs on the holder's [`Witness`](super::Witness) alone:
//! several leaders in a row that each go only a part of the way all go the same way.

use super::leader::{Leader, LeaderAction};
use super::order::OrderKind;
use super::phase::{Orders, Phase, UndoStage, Undoing};
use super::status::{Knowledge, RankStatus, Witness};
use crate::direct::BootMs;

/// How a change that was left ends.
enum Ending {
    /// All ranks are disarmed but those that are silent and known not to be armed.
    Undo { silent: Vec<u16> },
    /// All ranks are armed but those that are silent and known to be armed.
    Finish { silent: Vec<u16>, version: u64 },
}

impl Leader {
    /// Ends a change that was left. Returns whether there is one.
    pub(super) fn settle(
        &mut self,
        epoch: u64,
        now: BootMs,
        actions: &mut Vec<LeaderAction>,
    ) -> bool {
        let held = self.held();
        if held.is_empty() {
            return false;
        }
        match self.ending(epoch, now, &held) {
            Some(Ending::Undo { silent }) => {
                let cause = if silent.is_empty() { "left-behind" } else { "leader-silent" };
                self.begin_undo(epoch, held, silent, cause, actions);
            }
            Some(Ending::Finish { silent, version }) => {
                self.finish(epoch, held[0], version, &silent, actions);
            }
            // SectionPoll again as statuses come in.
            None => {}
        }
        true
    }

    /// How a change ends; nothing while too little is known.
    fn ending(&self, epoch: u64, now: BootMs, held: &[(u16, u64)]) -> Option<Ending> {
        let ranks = self.seats.get(&self.own_rank)?.status.ranks;
        let silent: Vec<u16> =
            (0..ranks).filter(|rank| !self.is_present(*rank, epoch, now)).collect();
        let &[(holder, step)] = held else {
            // More than one hold: an order of an earlier leader was carried out late.
            return silent.is_empty().then_some(Ending::Undo { silent });
        };
        let witness = self.witness(holder);
        let knowledge = witness.map_or(Knowledge::InDoubt, |witness| witness.knows(step));
        let is_known = witness.is_some_and(|witness| silent == [witness.rank]);
        if !silent.is_empty() && (!is_known || knowledge == Knowledge::InDoubt) {
            return None;
        }
        let version = self.armed_for(step);
        match (knowledge, version) {
            (Knowledge::Armed, Some(version)) => Some(Ending::Finish { silent, version }),
            (Knowledge::Armed, None) if !silent.is_empty() => None,
            _ => Some(Ending::Undo { silent }),
        }
    }

    /// What the holder's agent says of the leader that it holds for, if it said so after it heard of this
    /// one: from then on it orders nothing for that leader.
    fn witness(&self, holder: u16) -> Option<Witness> {
        let status = self.status_of(holder)?;
        let is_current = status.highest_fence >= self.fence && !status.is_read_remotely;
        status.witness.filter(|_| is_current)
    }

    /// The map for which ranks are armed as the pass `step` begins.
    fn armed_for(&self, step: u64) -> Option<u64> {
        let armed = |status: &RankStatus| status.armed.filter(|armed| armed.step == step);
        self.statuses().find_map(armed).map(|armed| armed.version)
    }

    /// Begins to arm all ranks but `silent` once more, under this leader's fence, before the pass goes.
    ///
    /// Statuses may be old, and whoever led before may have begun to disarm: the ranks' own answers count.
    fn finish(
        &mut self,
        epoch: u64,
        held: (u16, u64),
        version: u64,
        silent: &[u16],
        actions: &mut Vec<LeaderAction>,
    ) {
        let (_, step) = held;
        let orders = self.orders_but(silent, epoch, &OrderKind::Arm { version, step });
        let silent = silent.to_vec();
        let stage = UndoStage::Arming;
        let held = vec![held];
        self.phase = Phase::Undoing(Undoing { stage, held, silent, version, orders });
        self.note("all-armed", version, epoch, None, actions);
    }

    /// Ends a change for which nothing was ordered but the hold: the pass goes as it is.
    pub(super) fn let_go(
        &mut self,
        epoch: u64,
        held: Vec<(u16, u64)>,
        version: u64,
        cause: &'static str,
        actions: &mut Vec<LeaderAction>,
    ) {
        let orders = self.orders_to_go(epoch, &held);
        let (stage, silent) = (UndoStage::Releasing, Vec::new());
        self.phase = Phase::Undoing(Undoing { stage, held, silent, version, orders });
        self.note(cause, version, epoch, None, actions);
    }

    /// Orders to let held passes go.
    pub(super) fn orders_to_go(&mut self, epoch: u64, held: &[(u16, u64)]) -> Orders {
        let mut orders = Orders::of(epoch);
        for (rank, step) in held {
            let order = self.order(epoch, OrderKind::Go { step: *step });
            orders.add(*rank, self.take_number(), order);
        }
        orders
    }
}
