//! Ends a change that cannot go on, and lets its pass go.

use super::change::FENCE_STEP;
use super::leader::{Leader, LeaderAction};
use super::order::{OrderKind, OrderOutcome};
use super::phase::{Orders, Phase, UndoStage, Undoing};

impl Leader {
    /// Passes that ranks hold.
    pub(super) fn held(&self) -> Vec<(u16, u64)> {
        self.statuses().filter_map(|status| Some((status.rank, status.held_step?))).collect()
    }

    /// Begins to disarm all ranks but those that are `silent` and not armed, and to let held passes go
    /// after that.
    ///
    /// An order of the old fence may still be on its way and be carried out seconds later. Every
    /// rank is shown a higher fence before anything goes, so that it refuses such an order. The ranks
    /// that hold are shown it first: whoever led before may have let the pass go a moment ago, and
    /// disarming one rank then would make it begin with two maps.
    pub(super) fn begin_undo(
        &mut self,
        epoch: u64,
        held: Vec<(u16, u64)>,
        silent: Vec<u16>,
        cause: &'static str,
        actions: &mut Vec<LeaderAction>,
    ) {
        self.fence += FENCE_STEP;
        let version = self.abandoned_version();
        let mut orders = Orders::of(epoch);
        for (rank, step) in &held {
            let order = self.order(epoch, OrderKind::Fence { step: *step });
            orders.add(*rank, self.take_number(), order);
        }
        let stage = UndoStage::Fencing;
        self.phase = Phase::Undoing(Undoing { stage, held, silent, version, orders });
        self.note(cause, version, epoch, None, actions);
    }

    pub(super) fn undo(&mut self, epoch: u64, undoing: Undoing, actions: &mut Vec<LeaderAction>) {
        let version = undoing.version;
        if !undoing.orders.all_done() {
            let is_refused =
                undoing.orders.any(OrderOutcome::Refused) && undoing.orders.open() == 0;
            if is_refused {
                // Decided anew from fresh statuses.
                if undoing.stage == UndoStage::Fencing {
                    undoing.held.iter().for_each(|(rank, _)| self.note_let_go(*rank));
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
                let orders = self.orders_but(&silent, epoch, &OrderKind::Disarm { version });
                Some((UndoStage::Disarming, orders))
            }
            UndoStage::Disarming if !self.heeds_fences => {
                Some((UndoStage::Voiding, self.orders_to_void(epoch, &silent)))
            }
            UndoStage::Disarming | UndoStage::Voiding | UndoStage::Arming => {
                Some((UndoStage::Releasing, self.orders_to_go(epoch, &held)))
            }
            UndoStage::Releasing => None,
        };
        match next {
            Some((stage, orders)) => {
                let undoing = Undoing { stage, held, silent, version, orders };
                self.phase = Phase::Undoing(undoing);
            }
            None => held.iter().for_each(|(rank, _)| self.note_let_go(*rank)),
        }
        self.note("undone-so-far", version, epoch, None, actions);
    }

    /// The map of a change that was left: the one that ranks are armed for, or the newest prepared one.
    fn abandoned_version(&self) -> u64 {
        let armed = self.statuses().find_map(|status| status.armed).map(|armed| armed.version);
        let prepared = || self.statuses().filter_map(|status| status.prepared).max();
        armed.or_else(prepared).unwrap_or(0)
    }

    /// Orders that make every order to arm for the abandoned map void.
    ///
    /// Some platforms' ranks heed no fence. An order to arm that was left unanswered may be carried out
    /// seconds later, between the disarming and the pass; one would see that pass begin with two maps. A
    /// rank arms only for a map that it has prepared, so each one prepares what it holds under a new
    /// name, for which nothing is copied.
    fn orders_to_void(&mut self, epoch: u64, silent: &[u16]) -> Orders {
        let version = self.next_version();
        let experts_per_layer = self.experts_per_layer;
        self.orders_but(silent, epoch, &OrderKind::Void { version, experts_per_layer })
    }
}
