//! Advances a change through its phases.

use super::leader::Leader;
use super::leader_action::LeaderAction;
use super::order::{OrderKind, OrderOutcome};
use super::phase::{Arming, Holding, Orders, OwnRankArming, Phase, Preparing};
use super::undo::Undo;
use crate::direct::BootMs;
use crate::placement::{ExpertMap, MapDelta};
use std::cmp::Reverse;
use std::sync::Arc;

/// Timeout for the copies of a change. A rank takes about 0.1 s for each.
const PREPARE_MS: u64 = 5_000;

/// Timeout for arming all ranks, after which the change is undone. The group may be stalled
/// meanwhile, and callers abandon a stream after 2 s of silence.
const ARM_MS: u64 = 1_200;

/// Expected time for arming all ranks while orders get lost, when a rank may need several sends in
/// a row.
const LOSSY_ARM_MS: u64 = 180;

/// Largest distance from the running pass to the held one. The change waits for that many passes.
pub(super) const MAX_STEPS_AHEAD: u64 = 5;

/// Time for all ranks to answer a poll before they are armed: one round of polls and another one in
/// case the first is lost.
const ALL_ANSWER_MS: u64 = 150;

/// Pass duration from which the very next pass is held, with no pass in between: one and a half
/// times the duration of arming all ranks, and about the pass duration that callers are promised.
const LONG_PASS_MS: u64 = 110;

/// Experts of a map that a link carries per millisecond. At 1.3 bytes each, compressed, they take
/// half of the smallest link in use (8 Mbit/s). A full link loses datagrams, also the heartbeats of
/// the leader.
const MAP_EXPERTS_PER_MS: usize = 400;

/// Distance between the versions of two consecutive maps. The lower digits identify the leader.
///
/// Two leaders may choose a version at the same time. Ranks compare only versions, so two maps with
/// the same version could be armed together, and passes would run with mixed maps without any
/// error.
pub(super) const VERSION_STEP: u64 = 1 << 20;

/// Distance between two consecutive fencing numbers of one leader. The lower digits identify the
/// leader.
pub(crate) const FENCE_STEP: u64 = 1 << 10;

impl Leader {
    /// Begins a change to `map` by ordering all ranks to prepare it.
    pub(super) fn begin_change(
        &mut self,
        now: BootMs,
        epoch: u64,
        map: ExpertMap,
        bottleneck: Option<(u64, u64)>,
        actions: &mut Vec<LeaderAction>,
    ) {
        // Late orders of an earlier undo could disarm a rank. Ranks that have seen the fencing
        // number of this change refuse them.
        self.fence += FENCE_STEP;
        let version = self.next_version();
        let experts: usize =
            map.layers.iter().flat_map(|it| &it.experts_of_rank).map(Vec::len).sum();
        let ranks = self.ranks_by_copies(&map);
        let kind = self.prepare_order(version, Arc::new(map));
        let mut orders = self.orders_to(&ranks, epoch, &kind);
        orders.schedule(now, (experts / MAP_EXPERTS_PER_MS) as u64);
        let (holder, give_up_at) = (self.choose_holder(), now.after(PREPARE_MS));
        self.phase = Phase::Preparing(Preparing { version, holder, orders, give_up_at });
        self.note("uneven", version, epoch, bottleneck, actions);
    }

    /// Returns the order to prepare a map, as a change if all agents have received the map in use.
    fn prepare_order(&mut self, version: u64, map: Arc<ExpertMap>) -> OrderKind {
        let sent = self.last_sent_map.replace((version, Arc::clone(&map)));
        let in_use = self.known_map();
        match sent.filter(|(sent, _)| Some(*sent) == in_use) {
            Some((base, before)) => {
                let change = Arc::new(MapDelta::between(&before, &map));
                OrderKind::PrepareChange { version, base, change }
            }
            None => OrderKind::Prepare { version, map },
        }
    }

    /// Returns a version that is higher than those of all maps that ranks report or that this
    /// leader has sent, void ones included.
    ///
    /// Ranks do not report a map that they are still copying, and refuse another map with the same
    /// version, or take it for the one that they have.
    pub(super) fn next_version(&mut self) -> u64 {
        let newest = self.statuses().flat_map(|status| {
            let armed = status.armed.map_or(0, |armed| armed.version);
            [status.map, status.prepared.unwrap_or(0), armed]
        });
        let newest = newest.max().unwrap_or(0).max(self.newest_version);
        self.newest_version = (newest / VERSION_STEP + 1) * VERSION_STEP + self.salt;
        self.newest_version
    }

    /// Returns the ranks in descending order of the number of experts that they have to copy.
    ///
    /// Sending a map to the ranks one after the other takes 0.4 s in a group of 63. If a rank with
    /// five copies came last, all others would wait for another half second.
    fn ranks_by_copies(&self, map: &ExpertMap) -> Vec<u16> {
        let mut ranks: Vec<u16> = self.rank_entries.keys().copied().collect();
        let Some((_, present)) = &self.current_map else { return ranks };
        let mut copies = vec![0_u32; present.ranks()];
        for load in present.weight_loads_for(map) {
            copies[usize::from(load.rank)] += 1;
        }
        ranks.sort_by_key(|rank| Reverse(copies.get(usize::from(*rank)).copied()));
        ranks
    }

    /// Waits until all ranks have copied the map and can be polled, then orders a pass to be held.
    pub(super) fn advance_preparing(
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
        if orders.has_outcome(OrderOutcome::Refused) || is_held || now >= give_up_at {
            // No rank is armed and no pass is held, so the copies can be left unused.
            self.note("not-prepared", version, epoch, None, actions);
            return;
        }
        let may_hold =
            self.may_hold(holder, now) && self.may_hold_pass(epoch, self.newest_step() + 1);
        if !orders.all_done() || !is_ready || !may_hold {
            if !self.is_responsive(holder, now) {
                preparing.holder = self.choose_holder();
            }
            self.phase = Phase::Preparing(preparing);
            return;
        }
        let order = self.order(epoch, OrderKind::HoldAhead { steps: self.steps_ahead() });
        let mut orders = Orders::for_epoch(epoch);
        orders.add_delivered_by(self.own_rank, holder, self.take_number(), order);
        self.phase = Phase::Holding(Holding { version, holder, orders, polled_since: now });
        self.note("prepared", version, epoch, None, actions);
    }

    /// Returns whether a pass may be held by `holder`: its agent knows which leader it holds for,
    /// and all ranks respond.
    ///
    /// If the instance of a rank has just frozen, it remains unknown whether the rank is armed, and
    /// the group would stall until the instance resumes.
    fn may_hold(&self, holder: u16, now: BootMs) -> bool {
        let (fence, rank) = (self.fence, self.own_rank);
        let witness = self.status_of(holder).and_then(|status| status.witness);
        let is_known = witness.is_some_and(|it| it.fence == fence && it.rank == rank);
        let is_alone = holder == self.own_rank;
        (is_known || is_alone)
            && self.rank_entries.keys().all(|rank| self.is_responsive(*rank, now))
    }

    /// Returns the distance from the running pass to the pass to hold.
    ///
    /// All ranks are armed some 70 ms after the order to hold. If the very next pass is held, the
    /// group is stalled for the rest of that time: 0.7 s over 21 changes of a group of 72 ranks.
    /// With one pass in between, the held pass is released before it would begin. That pass still
    /// runs with the old map, so the very next pass is held where passes take longer than arming.
    ///
    /// If orders get lost, arming takes several sends, and a later pass is held.
    fn steps_ahead(&self) -> u8 {
        let Some(pass_ms) = self.pass_clock.pass_ms() else { return 2 };
        if self.order_sends.is_lossy() {
            let passes = LOSSY_ARM_MS.div_ceil(pass_ms.max(1)) + 1;
            return passes.min(MAX_STEPS_AHEAD) as u8;
        }
        if pass_ms >= LONG_PASS_MS { 1 } else { 2 }
    }

    /// Returns the rank that is to hold a pass: the next responsive one after the leader's own
    /// rank.
    ///
    /// The rank of a frozen instance still runs passes but takes no orders. If the leader held the
    /// pass at its own rank and froze, nobody could release it, and the group would stall until the
    /// instance resumes. At another rank, the agent of that rank can release it.
    fn choose_holder(&self) -> u16 {
        self.other_responsive_ranks().next().unwrap_or(self.own_rank)
    }

    /// Waits until the pass is held and all ranks have answered since.
    ///
    /// If a frozen instance does not answer an order to arm, it remains unknown whether its rank is
    /// armed, and nobody can release the pass before the instance resumes. No rank is therefore
    /// armed while any rank is silent.
    pub(super) fn advance_holding(
        &mut self,
        now: BootMs,
        epoch: u64,
        holding: Holding,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Holding { version, holder, polled_since, .. } = holding;
        if holding.orders.has_outcome(OrderOutcome::Refused) {
            self.note("not-held", version, epoch, None, actions);
            return;
        }
        let held_step = self.status_of(holder).and_then(|status| status.held_step);
        let Some(step) = held_step.filter(|_| holding.orders.all_done()) else {
            self.phase = Phase::Holding(holding);
            return;
        };
        if !self.may_hold_pass(epoch, step) {
            // A late order of an earlier change has held the rank at its pass.
            self.release_unchanged(epoch, vec![(holder, step)], version, "pass-used", actions);
            return;
        }
        if self.all_answered(polled_since) {
            let except = [self.own_rank];
            let orders = self.orders_except(&except, epoch, &OrderKind::Arm { version, step });
            let (own_rank, give_up_at) = (OwnRankArming::Waiting, now.after(ARM_MS));
            self.phase =
                Phase::Arming(Arming { version, holder, step, own_rank, orders, give_up_at });
            self.note("held", version, epoch, None, actions);
        } else if now >= polled_since.after(ALL_ANSWER_MS) {
            self.release_unchanged(epoch, vec![(holder, step)], version, "rank-silent", actions);
        } else {
            self.phase = Phase::Holding(holding);
        }
    }

    /// Waits until all ranks are armed. The leader's own rank comes last and is armed by the agent
    /// of the holder.
    ///
    /// A successor that ends the change while the instance of the leader is frozen cannot query the
    /// rank there. Since only the agent of the holder arms that rank, this agent knows whether it
    /// is armed.
    pub(super) fn advance_arming(
        &mut self,
        now: BootMs,
        epoch: u64,
        mut arming: Arming,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Arming { version, holder, step, own_rank, .. } = arming;
        let is_refused = arming.orders.has_outcome(OrderOutcome::Refused);
        let is_done = arming.orders.all_done();
        // A change is not undone for lack of time once the own rank may be armed, because the witness
        // may already report it as armed. A witness that refuses knows that it is not, or has
        // restarted and has no record.
        let has_failed = match own_rank {
            OwnRankArming::Waiting => is_refused || now >= arming.give_up_at,
            OwnRankArming::Requested => is_refused,
            OwnRankArming::Fencing => false,
        };
        if has_failed {
            return self.begin_undo(epoch, Undo::unreleased((holder, step)), "not-armed", actions);
        }
        match own_rank {
            OwnRankArming::Fencing => return self.advance_own_fence(epoch, arming, actions),
            OwnRankArming::Waiting if is_done => self.arm_own_rank(epoch, &mut arming),
            OwnRankArming::Requested if is_done => {
                return self.release(version, holder, step, epoch, actions);
            }
            OwnRankArming::Requested if self.may_replace_witness(holder, now) => {
                self.fence_own_rank(epoch, &mut arming);
            }
            OwnRankArming::Waiting | OwnRankArming::Requested => {}
        }
        self.phase = Phase::Arming(arming);
    }

    /// Asks the witness to arm the leader's own rank.
    fn arm_own_rank(&mut self, epoch: u64, arming: &mut Arming) {
        let (version, step) = (arming.version, arming.step);
        let order = self.order(epoch, OrderKind::Arm { version, step });
        arming.orders = Orders::for_epoch(epoch);
        arming.orders.add_delivered_by(arming.holder, self.own_rank, self.take_number(), order);
        arming.own_rank = OwnRankArming::Requested;
    }

    /// Returns whether the own rank can be fenced against a witness that has gone silent.
    ///
    /// Where ranks do not enforce fencing numbers, an order of the witness that is still in flight
    /// could arm the rank later, so only the witness can tell.
    fn may_replace_witness(&self, holder: u16, now: BootMs) -> bool {
        let is_silent = holder != self.own_rank && !self.is_responsive(holder, now);
        self.enforces_fences && is_silent
    }

    /// Orders the own rank to refuse the order of the silent witness.
    ///
    /// The leader must not arm the rank in place of the witness. A witness that was only cut off or
    /// frozen comes back with the record that the rank is not armed, takes over and disarms the
    /// other ranks, and the pass would begin with two maps.
    fn fence_own_rank(&mut self, epoch: u64, arming: &mut Arming) {
        self.fence += FENCE_STEP;
        arming.orders = self.orders_to(&[self.own_rank], epoch, &OrderKind::FenceUnarmed);
        arming.own_rank = OwnRankArming::Fencing;
    }

    /// Waits until the own rank is known to be armed, or not to be and to refuse older orders to arm.
    fn advance_own_fence(
        &mut self,
        epoch: u64,
        mut arming: Arming,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Arming { version, holder, step, .. } = arming;
        if self.version_of_armed(self.own_rank, step) == Some(version) {
            self.release(version, holder, step, epoch, actions);
        } else if arming.orders.all_done() {
            self.begin_undo(epoch, Undo::unreleased((holder, step)), "witness-silent", actions);
        } else {
            if arming.orders.has_outcome(OrderOutcome::Refused) {
                self.fence_own_rank(epoch, &mut arming);
            }
            self.phase = Phase::Arming(arming);
        }
    }

    /// Releases the held pass after all ranks have been armed.
    fn release(
        &mut self,
        version: u64,
        holder: u16,
        step: u64,
        epoch: u64,
        actions: &mut Vec<LeaderAction>,
    ) {
        let orders = self.release_orders(epoch, &[(holder, step)]);
        self.phase = Phase::Releasing { version, holder, orders };
        self.note("armed", version, epoch, None, actions);
    }

    /// Waits until the held pass is released and all ranks have switched.
    pub(super) fn advance_releasing(
        &mut self,
        now: BootMs,
        version: u64,
        holder: u16,
        orders: Orders,
        epoch: u64,
        actions: &mut Vec<LeaderAction>,
    ) {
        let has_switched = self.statuses().all(|status| status.map == version);
        if orders.unanswered() > 0 {
            self.phase = Phase::Releasing { version, holder, orders };
        } else if has_switched {
            // This saves all ranks from reporting their experts before the next change.
            self.current_map = self.last_sent_map.clone().filter(|(sent, _)| *sent == version);
            self.imbalance_clock.note_balanced(now);
            self.note("switched", version, epoch, None, actions);
        } else {
            // The holder may have refused, or a late order of an earlier leader may hold another
            // pass. All ranks are armed for the same switch and refuse other orders of that leader,
            // so any held pass may begin.
            let held = self.held_passes();
            let orders = self.release_orders(epoch, &held);
            self.phase = Phase::Releasing { version, holder, orders };
        }
    }
}
