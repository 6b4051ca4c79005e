//! Undoes a failed or abandoned change and releases its pass.

use super::change::FENCE_STEP;
use super::leader::Leader;
use super::leader_action::LeaderAction;
use super::order::{OrderKind, OrderOutcome};
use super::phase::{Orders, Phase, UndoStage, Undoing};

/// What is known at the beginning of an undo.
#[derive(Clone, Debug)]
pub(super) struct Undo {
    /// Ranks that hold a pass, each with the number of the pass.
    pub(super) held: Vec<(u16, u64)>,
    /// Ranks that are silent and known not to be armed.
    pub(super) silent: Vec<u16>,
    /// Whether an earlier leader may have ordered to release the pass with the new map.
    pub(super) may_be_released: bool,
}

impl Undo {
    /// Returns the undo of a change whose pass no leader has ordered to release.
    pub(super) fn unreleased(held: (u16, u64)) -> Self {
        Self { held: vec![held], silent: Vec::new(), may_be_released: false }
    }
}

impl Leader {
    /// Returns the ranks that hold a pass, each with the number of the pass.
    pub(super) fn held_passes(&self) -> Vec<(u16, u64)> {
        self.statuses().filter_map(|status| Some((status.rank, status.held_step?))).collect()
    }

    /// Begins to disarm all ranks except those that are silent and known not to be armed. Held
    /// passes are released after that.
    ///
    /// An order of the previous fencing number may still be in flight and be carried out seconds
    /// later. Every rank receives a higher fencing number before any pass is released, so that it
    /// refuses such an order. The ranks that hold a pass receive it first: the previous leader may
    /// have just released the pass, and disarming a rank then would make the pass begin with two
    /// maps.
    ///
    /// Ranks that do not enforce fencing numbers may carry out an earlier order to release at any
    /// time. Unless it is known that there was none, another rank holds the pass as well.
    pub(super) fn begin_undo(
        &mut self,
        epoch: u64,
        undo: Undo,
        cause: &'static str,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Undo { mut held, silent, may_be_released } = undo;
        self.fence += FENCE_STEP;
        let version = self.abandoned_version();
        let mut orders = Orders::for_epoch(epoch);
        for (rank, step) in &held {
            let order = self.order(epoch, OrderKind::Fence { step: *step });
            orders.add(*rank, self.take_number(), order);
        }
        if may_be_released
            && !self.enforces_fences
            && let Some(other) = self.hold_elsewhere(epoch, &held, &mut orders)
        {
            held.push(other);
        }
        let stage = UndoStage::Fencing;
        self.phase = Phase::Undoing(Undoing { stage, held, silent, version, orders });
        self.note(cause, version, epoch, None, actions);
    }

    /// Moves an undo to its next stage once all orders of the present one are carried out.
    pub(super) fn advance_undoing(
        &mut self,
        epoch: u64,
        undoing: Undoing,
        actions: &mut Vec<LeaderAction>,
    ) {
        let version = undoing.version;
        if !undoing.orders.all_done() {
            let is_refused = undoing.orders.has_outcome(OrderOutcome::Refused)
                && undoing.orders.unanswered() == 0;
            if is_refused {
                // The next decision starts over from fresh statuses.
                match undoing.stage {
                    UndoStage::Fencing => {
                        undoing.held.iter().for_each(|(rank, _)| self.clear_held_step(*rank));
                    }
                    UndoStage::Arming => {
                        self.unfinishable_step = undoing.held.first().map(|(_, step)| *step);
                    }
                    UndoStage::Disarming | UndoStage::Voiding | UndoStage::Releasing => {}
                }
                self.note("undo-refused", version, epoch, None, actions);
                return;
            }
            self.phase = Phase::Undoing(undoing);
            return;
        }
        let Undoing { stage, held, silent, .. } = undoing;
        let next = match stage {
            UndoStage::Fencing => {
                let orders = self.orders_except(&silent, epoch, &OrderKind::Disarm { version });
                Some((UndoStage::Disarming, orders))
            }
            UndoStage::Disarming if !self.enforces_fences => {
                Some((UndoStage::Voiding, self.void_orders(epoch, &silent)))
            }
            UndoStage::Disarming | UndoStage::Voiding | UndoStage::Arming => {
                Some((UndoStage::Releasing, self.release_orders(epoch, &held)))
            }
            UndoStage::Releasing => None,
        };
        match next {
            Some((stage, orders)) => {
                let undoing = Undoing { stage, held, silent, version, orders };
                self.phase = Phase::Undoing(undoing);
            }
            None => held.iter().for_each(|(rank, _)| self.clear_held_step(*rank)),
        }
        self.note("undone-so-far", version, epoch, None, actions);
    }

    /// Adds an order to hold the pass in `held` at a rank that no earlier leader has ordered to release
    /// it. Returns that rank with the pass.
    fn hold_elsewhere(
        &mut self,
        epoch: u64,
        held: &[(u16, u64)],
        orders: &mut Orders,
    ) -> Option<(u16, u64)> {
        let (_, step) = *held.first()?;
        let holds = |rank: &u16| held.iter().any(|(holder, _)| holder == rank);
        let other = self.other_responsive_ranks().find(|rank| !holds(rank))?;
        let order = self.order(epoch, OrderKind::Hold { step });
        orders.add_delivered_by(self.own_rank, other, self.take_number(), order);
        Some((other, step))
    }

    /// Returns the map of the abandoned change: the one that ranks are armed for, or the newest
    /// prepared one.
    fn abandoned_version(&self) -> u64 {
        let armed = self.statuses().find_map(|status| status.armed).map(|armed| armed.version);
        let prepared = || self.statuses().filter_map(|status| status.prepared).max();
        armed.or_else(prepared).unwrap_or(0)
    }

    /// Creates orders that invalidate every order to arm for the abandoned map.
    ///
    /// The ranks of some platforms do not enforce fencing numbers. An unanswered order to arm may
    /// be carried out seconds later, between the disarming and the pass, and that pass would begin
    /// with two maps. A rank arms only for a map that it has prepared, so each rank prepares the
    /// map that it uses under a new version, for which nothing is copied.
    fn void_orders(&mut self, epoch: u64, silent: &[u16]) -> Orders {
        let version = self.next_version();
        let experts_per_layer = self.experts_per_layer;
        self.orders_except(silent, epoch, &OrderKind::Void { version, experts_per_layer })
    }
}
