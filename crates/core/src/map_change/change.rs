//! The steps of a change, and of its undoing.

use super::leader::{Leader, LeaderAction};
use super::order::{OrderKind, OrderOutcome};
use super::phase::{Arming, Holding, Orders, Phase, Preparing};
use crate::direct::BootMs;
use crate::placement::{ExpertMap, MapChange};
use std::cmp::Reverse;
use std::sync::Arc;

/// Time for the copies of a change: a rank's share of copies takes about 0.1 s each.
const PREPARE_MS: u64 = 5_000;

/// Time for all ranks to be armed, after which the change is undone. The group may stand still
/// meanwhile; callers leave a stream after 2 s of silence.
const ARM_MS: u64 = 1_200;

/// The same while orders get lost, of which each rank may need several in a row.
const LOSSY_ARM_MS: u64 = 180;

/// Most passes after the one that runs that a held one is: a change waits for as long.
const MOST_STEPS_AHEAD: u64 = 5;

/// Time for all ranks to answer before they are armed: a round of polls and one that is lost.
const ROLL_CALL_MS: u64 = 150;

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
        let (holder, give_up_at) = (self.choose_holder(), now.after(PREPARE_MS));
        self.phase = Phase::Preparing(Preparing { version, holder, orders, give_up_at });
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

    /// A name for a map that is higher than those of all maps that ranks tell of, or were told of.
    ///
    /// Ranks do not tell of a map that they still copy, and refuse another one of its name.
    pub(super) fn next_version(&self) -> u64 {
        let newest = self.statuses().flat_map(|status| {
            let armed = status.armed.map_or(0, |armed| armed.version);
            [status.map, status.prepared.unwrap_or(0), armed]
        });
        let told = self.told.as_ref().map(|(version, _)| *version);
        let newest = newest.chain(told).max().unwrap_or(0);
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

    /// Waits until all ranks have the map and can be asked, and has a pass held.
    pub(super) fn prepare(
        &mut self,
        now: BootMs,
        epoch: u64,
        mut preparing: Preparing,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Preparing { version, holder, give_up_at, .. } = preparing;
        let orders = &preparing.orders;
        let is_ready = self.statuses().all(|status| status.prepared == Some(version));
        let is_held = self.statuses().any(|status| status.held_step.is_some());
        if orders.any(OrderOutcome::Refused) || is_held || now >= give_up_at {
            // Nothing is armed or held: the copies are simply not used.
            self.note("not-prepared", version, epoch, None, actions);
            return;
        }
        if !orders.all_done() || !is_ready || !self.may_hold(holder, now) {
            if !self.is_fresh(holder, now) {
                preparing.holder = self.choose_holder();
            }
            self.phase = Phase::Preparing(preparing);
            return;
        }
        let order = self.order(epoch, OrderKind::HoldAhead { steps: self.steps_ahead() });
        let mut orders = Orders::of(epoch);
        orders.add_delivered_by(self.own_rank, holder, self.take_number(), order);
        self.phase = Phase::Holding(Holding { version, holder, orders, asked_at: now });
        self.note("prepared", version, epoch, None, actions);
    }

    /// Whether a pass may be held by `holder`: its agent knows for whom, and all ranks can be asked.
    ///
    /// A rank whose machine froze a moment ago would leave in doubt whether it is armed, and the group would
    /// stand until it wakes.
    fn may_hold(&self, holder: u16, now: BootMs) -> bool {
        let (fence, rank) = (self.fence, self.own_rank);
        let witness = self.status_of(holder).and_then(|status| status.witness);
        let is_known = witness.is_some_and(|it| it.fence == fence && it.rank == rank);
        let is_alone = holder == self.own_rank;
        (is_known || is_alone) && self.seats.keys().all(|rank| self.is_fresh(*rank, now))
    }

    /// How many passes after the one that runs the held one is.
    ///
    /// All ranks are armed some 70 ms after the order to hold. If the very next pass is held, the group
    /// stands for the rest of that time: 0.7 s over 21 changes of a group of 72 ranks. With a pass between,
    /// it is let go before it would begin. That pass is still by the old map, so where passes are longer
    /// than arming takes, the next one is held.
    ///
    /// Where orders get lost, arming takes several tries, and the pass is held that much later.
    fn steps_ahead(&self) -> u8 {
        let Some(pass_ms) = self.pass_clock.pass_ms() else { return 2 };
        if self.order_sends.are_lost() {
            let passes = LOSSY_ARM_MS.div_ceil(pass_ms.max(1)) + 1;
            return passes.min(MOST_STEPS_AHEAD) as u8;
        }
        if pass_ms >= LONG_PASS_MS { 1 } else { 2 }
    }

    /// The rank that is to hold a pass: the next one after the leader's own.
    ///
    /// A machine that freezes takes its rank along: the rank makes passes but takes no orders. If the
    /// leader held its own pass and froze, nobody could let it go; one would see a group that stands
    /// for as long as the freeze. The rank beside another agent can be let go by that agent.
    fn choose_holder(&self) -> u16 {
        self.others_heard().next().unwrap_or(self.own_rank)
    }

    /// Waits until the pass is held and all ranks have answered since.
    ///
    /// An order to arm that a frozen machine does not answer leaves in doubt whether its rank is armed, and
    /// nobody can let the pass go before it wakes. So none is given while any rank is silent.
    pub(super) fn hold(
        &mut self,
        now: BootMs,
        epoch: u64,
        holding: Holding,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Holding { version, holder, asked_at, .. } = holding;
        if holding.orders.any(OrderOutcome::Refused) {
            self.note("not-held", version, epoch, None, actions);
            return;
        }
        let held_step = self.status_of(holder).and_then(|status| status.held_step);
        let Some(step) = held_step.filter(|_| holding.orders.all_done()) else {
            self.phase = Phase::Holding(holding);
            return;
        };
        if self.all_answered(asked_at) {
            let but = [self.own_rank];
            let orders = self.orders_but(&but, epoch, &OrderKind::Arm { version, step });
            let (own_armed_by, give_up_at) = (None, now.after(ARM_MS));
            self.phase =
                Phase::Arming(Arming { version, holder, step, own_armed_by, orders, give_up_at });
            self.note("held", version, epoch, None, actions);
        } else if now >= asked_at.after(ROLL_CALL_MS) {
            self.let_go(epoch, vec![(holder, step)], version, "rank-silent", actions);
        } else {
            self.phase = Phase::Holding(holding);
        }
    }

    /// Waits until all ranks are armed, the leader's own after all others and by the holder's agent.
    ///
    /// Whoever ends the change while the leader's machine is frozen cannot ask the rank there. If nobody
    /// but the holder's agent arms that rank, that agent knows without asking whether it is armed.
    pub(super) fn arm(
        &mut self,
        now: BootMs,
        epoch: u64,
        mut arming: Arming,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Arming { version, holder, step, own_armed_by, .. } = arming;
        // Once the own rank may be armed a change is not undone: the holder's agent may say that it is.
        let is_late = now >= arming.give_up_at && own_armed_by.is_none();
        if arming.orders.any(OrderOutcome::Refused) || is_late {
            let held = vec![(holder, step)];
            self.begin_undo(epoch, held, Vec::new(), "not-armed", actions);
        } else if !arming.orders.all_done() {
            // An agent that died knows nothing any more that would be worth the wait.
            if own_armed_by == Some(holder) && !self.is_fresh(holder, now) {
                self.arm_own(epoch, &mut arming, self.own_rank);
            }
            self.phase = Phase::Arming(arming);
        } else if own_armed_by.is_some() {
            let orders = self.orders_to(&[holder], epoch, &OrderKind::Go { step });
            self.phase = Phase::Releasing { version, holder, orders };
            self.note("armed", version, epoch, None, actions);
        } else {
            self.arm_own(epoch, &mut arming, holder);
            self.phase = Phase::Arming(arming);
        }
    }

    /// Has the leader's own rank armed by the agent of the rank `delivered_by`.
    fn arm_own(&mut self, epoch: u64, arming: &mut Arming, delivered_by: u16) {
        let (version, step) = (arming.version, arming.step);
        let order = self.order(epoch, OrderKind::Arm { version, step });
        arming.orders = Orders::of(epoch);
        arming.orders.add_delivered_by(delivered_by, self.own_rank, self.take_number(), order);
        arming.own_armed_by = Some(delivered_by);
    }

    pub(super) fn release(
        &mut self,
        now: BootMs,
        version: u64,
        holder: u16,
        orders: Orders,
        epoch: u64,
        actions: &mut Vec<LeaderAction>,
    ) {
        let has_switched = self.statuses().all(|status| status.map == version);
        if orders.open() > 0 {
            self.phase = Phase::Releasing { version, holder, orders };
        } else if has_switched {
            // Without this, all ranks would have to tell what they hold before the next change.
            self.map = self.told.clone().filter(|(told, _)| *told == version);
            self.even_clock.note_even(now);
            self.note("switched", version, epoch, None, actions);
        } else {
            // The rank that holds may have refused, and a hold of an earlier leader may have been carried out
            // late. All ranks are armed alike and refuse its other orders, so that its pass may begin as well.
            let held = self.held();
            let orders = self.orders_to_go(epoch, &held);
            self.phase = Phase::Releasing { version, holder, orders };
        }
    }
}
