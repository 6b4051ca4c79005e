//! The steps of a change, and of its undoing.

use super::leader::{Leader, LeaderAction};
use super::order::{OrderEnd, OrderKind};
use super::phase::{Arming, Orders, Phase, UndoStage};
use crate::direct::BootMs;
use crate::placement::{ExpertMap, MapChange};
use std::cmp::Reverse;
use std::sync::Arc;

/// Time for the copies of a change: a rank's share of copies takes about 0.1 s each.
const PREPARE_MS: u64 = 5_000;

/// Time for all ranks to be armed, after which the change is undone. The group may stand still
/// meanwhile; callers leave a stream after 2 s of silence.
const ARM_MS: u64 = 1_200;

/// Pass from which on there is no pass between the order to hold and the held one: half as long again as
/// arming all ranks takes, and about what callers were promised.
const LONG_PASS_MS: u64 = 110;

/// Experts of a map that a link takes in a millisecond: at 1.3 bytes each, deflated, half of the
/// smallest link in use (8 Mbit/s). A link that is full loses datagrams, also those that say who
/// leads.
const MAP_EXPERTS_PER_MS: usize = 400;

/// Distance between the names of two maps; lower digits tell leaders apart.
///
/// Two leaders may name a map at the same time. Ranks compare only names, so two maps with one name
/// could be armed together; one would notice nothing but passes with mixed maps.
pub(super) const VERSION_STEP: u64 = 1 << 20;

/// Distance between the fences of two phases of one leader; lower digits tell leaders apart.
pub(crate) const FENCE_STEP: u64 = 1 << 10;

impl Leader {
    pub(super) fn begin(
        &mut self,
        now: BootMs,
        epoch: u64,
        map: ExpertMap,
        bottleneck: Option<(u64, u64)>,
        actions: &mut Vec<LeaderAction>,
    ) {
        // Orders of an undoing may still be carried out late: a rank that has seen the fence of this
        // change refuses them, and none is disarmed behind the leader's back.
        self.fence += FENCE_STEP;
        let version = self.next_version();
        let experts: usize =
            map.layers.iter().flat_map(|it| &it.experts_of_rank).map(Vec::len).sum();
        let ranks = self.by_copies(&map);
        let kind = self.prepare_order(version, Arc::new(map));
        let mut orders = self.orders_to(&ranks, epoch, &kind);
        orders.spread(now, (experts / MAP_EXPERTS_PER_MS) as u64);
        self.phase = Phase::Preparing { version, orders, give_up_at: now.after(PREPARE_MS) };
        self.note("uneven", version, epoch, bottleneck, actions);
    }

    /// The order to prepare a map, told as a change where all agents were told of the map in use.
    fn prepare_order(&mut self, version: u64, map: Arc<ExpertMap>) -> OrderKind {
        let told = self.told.replace((version, Arc::clone(&map)));
        let in_use = self.known_map();
        match told.filter(|(told, _)| Some(*told) == in_use) {
            Some((base, before)) => {
                let change = Arc::new(MapChange::between(&before, &map));
                OrderKind::PrepareChange { version, base, change }
            }
            None => OrderKind::Prepare { version, map },
        }
    }

    /// A name for a map that is higher than those of all maps that ranks tell of.
    fn next_version(&self) -> u64 {
        let newest = self.statuses().flat_map(|status| {
            let armed = status.armed.map_or(0, |armed| armed.version);
            [status.map, status.prepared.unwrap_or(0), armed]
        });
        let newest = newest.max().unwrap_or(0);
        (newest / VERSION_STEP + 1) * VERSION_STEP + self.salt
    }

    /// Ranks, those with most to copy first.
    ///
    /// A map goes out to one rank after the other, for 0.4 s in a group of 63. A rank with five
    /// copies that hears of it last would let all others wait for half a second more.
    fn by_copies(&self, map: &ExpertMap) -> Vec<u16> {
        let mut ranks: Vec<u16> = self.seats.keys().copied().collect();
        let Some((_, present)) = &self.map else { return ranks };
        let mut copies = vec![0_u32; present.ranks()];
        for load in present.loads_towards(map) {
            copies[usize::from(load.rank)] += 1;
        }
        ranks.sort_by_key(|rank| Reverse(copies.get(usize::from(*rank)).copied()));
        ranks
    }

    pub(super) fn prepare(
        &mut self,
        now: BootMs,
        epoch: u64,
        version: u64,
        orders: Orders,
        give_up_at: BootMs,
        actions: &mut Vec<LeaderAction>,
    ) {
        let is_ready = self.statuses().all(|status| status.prepared == Some(version));
        let is_held = self.statuses().any(|status| status.held_step.is_some());
        if orders.any(OrderEnd::Refused) || is_held || now >= give_up_at {
            // Nothing is armed or held: the copies are simply not used.
            self.note("not-prepared", version, epoch, None, actions);
            return;
        }
        if !orders.all_done() || !is_ready {
            self.phase = Phase::Preparing { version, orders, give_up_at };
            return;
        }
        let holder = self.choose_holder();
        let order = self.order(epoch, OrderKind::HoldAhead { steps: self.steps_ahead() });
        let mut orders = Orders::default();
        orders.add_given_by(self.own_rank, holder, self.take_number(), order);
        self.phase = Phase::Holding { version, holder, orders };
        self.note("prepared", version, epoch, None, actions);
    }

    /// How many passes after the one that runs the held one is.
    ///
    /// All ranks are armed some 70 ms after the order to hold. If the very next pass is held, the group
    /// stands for the rest of that time: 0.7 s over 21 changes of a group of 72 ranks. With a pass between,
    /// it is let go before it would begin. That pass is still by the old map, so where passes are longer
    /// than arming takes, the next one is held.
    fn steps_ahead(&self) -> u8 {
        let is_long = self.pass_clock.pass_ms().is_some_and(|pass_ms| pass_ms >= LONG_PASS_MS);
        if is_long { 1 } else { 2 }
    }

    /// The rank that is to hold a pass: the next one after the leader's own.
    ///
    /// A machine that freezes takes its rank along: the rank makes passes but takes no orders. If the
    /// leader held its own pass and froze, nobody could let it go; one would see a group that stands
    /// for as long as the freeze. The rank beside another agent can be let go by that agent.
    fn choose_holder(&self) -> u16 {
        let ranks = self.seats.len().max(1);
        let after = |distance: usize| ((usize::from(self.own_rank) + distance) % ranks) as u16;
        let is_heard =
            |rank: &u16| self.seats.get(rank).is_some_and(|seat| !seat.status.is_from_afar);
        (1..ranks).map(after).find(is_heard).unwrap_or(self.own_rank)
    }

    pub(super) fn hold(
        &mut self,
        now: BootMs,
        epoch: u64,
        version: u64,
        holder: u16,
        orders: Orders,
        actions: &mut Vec<LeaderAction>,
    ) {
        if orders.any(OrderEnd::Refused) {
            self.note("not-held", version, epoch, None, actions);
            return;
        }
        let held_step = self.seats.get(&holder).and_then(|seat| seat.status.held_step);
        let Some(step) = held_step.filter(|_| orders.all_done()) else {
            self.phase = Phase::Holding { version, holder, orders };
            return;
        };
        let own_rank = self.own_rank;
        let others: Vec<u16> = self.seats.keys().copied().filter(|it| *it != own_rank).collect();
        let orders = self.orders_to(&others, epoch, &OrderKind::Arm { version, step });
        let give_up_at = now.after(ARM_MS);
        let own_is_told = false;
        self.phase =
            Phase::Arming(Arming { version, holder, step, own_is_told, orders, give_up_at });
        self.note("held", version, epoch, None, actions);
    }

    /// Waits until all ranks are armed, the leader's own after all others and by the holder's agent.
    ///
    /// The holder's agent may have to end a change whose leader's machine is frozen, and cannot ask the
    /// rank there. If nobody else arms that rank, it knows without asking whether it is armed.
    pub(super) fn arm(
        &mut self,
        now: BootMs,
        epoch: u64,
        mut arming: Arming,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Arming { version, holder, step, .. } = arming;
        if arming.orders.all_done() && arming.own_is_told {
            let orders = self.orders_to(&[holder], epoch, &OrderKind::Go { step });
            self.phase = Phase::Releasing { version, holder, orders };
            self.note("armed", version, epoch, None, actions);
        } else if arming.orders.all_done() {
            let order = self.order(epoch, OrderKind::Arm { version, step });
            arming.orders = Orders::default();
            arming.orders.add_given_by(holder, self.own_rank, self.take_number(), order);
            arming.own_is_told = true;
            self.phase = Phase::Arming(arming);
        } else if arming.orders.any(OrderEnd::Refused) || now >= arming.give_up_at {
            let held = vec![(holder, step)];
            self.begin_undo(epoch, held, version, "not-armed", actions);
        } else {
            self.phase = Phase::Arming(arming);
        }
    }

    pub(super) fn release(
        &mut self,
        version: u64,
        holder: u16,
        orders: Orders,
        epoch: u64,
        actions: &mut Vec<LeaderAction>,
    ) {
        let has_switched = self.statuses().all(|status| status.map == version);
        if !orders.all_done() {
            self.phase = Phase::Releasing { version, holder, orders };
        } else if has_switched {
            // Without this, all ranks would have to tell what they hold before the next change.
            self.map = self.told.clone().filter(|(told, _)| *told == version);
            self.note("switched", version, epoch, None, actions);
        } else {
            // A hold of an earlier leader may have been carried out late. All ranks are armed alike
            // and refuse its other orders, so that its pass may begin as well.
            let orders = self.orders_to_let_go(epoch);
            self.phase = Phase::Releasing { version, holder, orders };
        }
    }

    /// Orders to let every held pass go.
    fn orders_to_let_go(&mut self, epoch: u64) -> Orders {
        let held = self.held();
        let mut orders = Orders::default();
        for (rank, step) in held {
            let order = self.order(epoch, OrderKind::Go { step });
            orders.add(rank, self.take_number(), order);
        }
        orders
    }

    /// Passes that ranks hold.
    pub(super) fn held(&self) -> Vec<(u16, u64)> {
        self.statuses().filter_map(|status| Some((status.rank, status.held_step?))).collect()
    }

    /// Begins to disarm all ranks and to let held passes go after that.
    ///
    /// An order of the old fence may still be on its way and be carried out seconds later. Every
    /// rank is shown a higher fence before anything goes, so that it refuses such an order. The ranks
    /// that hold are shown it first, by holding the same pass again: whoever led before may have let
    /// it go a moment ago, and disarming one rank then would make the pass begin with two maps.
    pub(super) fn begin_undo(
        &mut self,
        epoch: u64,
        held: Vec<(u16, u64)>,
        version: u64,
        cause: &'static str,
        actions: &mut Vec<LeaderAction>,
    ) {
        self.fence += FENCE_STEP;
        let mut orders = Orders::default();
        for (rank, step) in &held {
            let order = self.order(epoch, OrderKind::Hold { step: *step });
            orders.add(*rank, self.take_number(), order);
        }
        self.phase = Phase::Undoing { stage: UndoStage::Fencing, held, version, orders };
        self.note(cause, version, epoch, None, actions);
    }

    /// Orders that make every order to arm for the abandoned map void.
    ///
    /// Some platforms' ranks heed no fence. An order to arm that was left unanswered may be carried out
    /// seconds later, between the disarming and the pass; one would see that pass begin with two maps. A
    /// rank arms only for a map that it has prepared, so each one prepares what it holds under a new
    /// name, for which nothing is copied.
    fn orders_to_void(&mut self, epoch: u64) -> Orders {
        let version = self.next_version();
        let experts_per_layer = self.experts_per_layer;
        self.orders_to_all(epoch, &OrderKind::Void { version, experts_per_layer })
    }

    pub(super) fn undo(
        &mut self,
        epoch: u64,
        stage: UndoStage,
        held: Vec<(u16, u64)>,
        version: u64,
        orders: Orders,
        actions: &mut Vec<LeaderAction>,
    ) {
        if !orders.all_done() {
            let is_refused = orders.any(OrderEnd::Refused) && orders.open() == 0;
            if is_refused {
                // Decided anew from fresh statuses.
                self.note("undo-refused", version, epoch, None, actions);
                return;
            }
            self.phase = Phase::Undoing { stage, held, version, orders };
            return;
        }
        let next = match stage {
            UndoStage::Fencing => {
                let orders = self.orders_to_all(epoch, &OrderKind::Disarm);
                Some((UndoStage::Disarming, orders))
            }
            UndoStage::Disarming if !self.heeds_fences => {
                Some((UndoStage::Voiding, self.orders_to_void(epoch)))
            }
            UndoStage::Disarming | UndoStage::Voiding => {
                let mut orders = Orders::default();
                for (rank, step) in &held {
                    let order = self.order(epoch, OrderKind::Go { step: *step });
                    orders.add(*rank, self.take_number(), order);
                }
                Some((UndoStage::Releasing, orders))
            }
            UndoStage::Releasing => None,
        };
        if let Some((stage, orders)) = next {
            self.phase = Phase::Undoing { stage, held, version, orders };
        }
        self.note("undone-so-far", version, epoch, None, actions);
    }
}
