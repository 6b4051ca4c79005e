//! The agent that decides for its group.

use super::change::VERSION_STEP;
use super::demand::DemandEstimator;
use super::order::{OrderKind, OrderOutcome, OrderResult, RankOrder};
use super::order_sends::OrderSends;
use super::pass_clock::PassClock;
use super::phase::{Orders, Phase};
use super::status::{CountsSample, RankStatus};
use super::uneven::EvenClock;
use crate::direct::{BootMs, GroupDimensions};
use crate::placement::ExpertMap;
use indexmap::IndexMap;
use std::iter;
use std::sync::Arc;

/// Age from which a rank's status is not decided upon.
const STATUS_AGE_MS: u64 = 1_000;

/// Pause after which an order without an answer is sent again. The group may stand meanwhile; an agent whose
/// word alone was lost answers again at once.
const AGAIN_MS: u64 = 40;

/// The same for an order with a map. The agent answers within a few milliseconds; on a link that is
/// full of maps, for a quarter of a second in a group of 63 ranks, the answer may come later.
const MAP_AGAIN_MS: u64 = 300;

/// Time between two statuses of a rank during a change, in a small group.
const SHORT_ROUND_MS: u64 = 60;

/// Time for an answer to a poll, on a machine that is busy.
const ANSWER_MS: u64 = 40;

/// Time after which a leader that took over has read of every rank whether it holds a pass: what ranks say of
/// themselves to other machines is some hundred milliseconds old.
const FIND_HELD_MS: u64 = 1_000;

/// Agents that watch a leader beside that of the rank that holds.
const FURTHER_WATCHERS: usize = 2;

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Have an order given to a rank.
    Send {
        /// The rank.
        rank: u16,
        /// The rank whose agent gives the order: usually the same.
        delivered_by: u16,
        /// The rank whose agent passes the order on, which has one of the same kind in the same tick.
        relayed_by: Option<u16>,
        /// Names the order; the agent answers with it.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// Log a decision.
    Note(LeaderNote),
}

/// A decision of a leader, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderNote {
    /// The phase that begins.
    pub phase: &'static str,
    /// Why.
    pub cause: &'static str,
    /// The map concerned.
    pub version: u64,
    /// The group's epoch.
    pub epoch: u64,
    /// The fence in use.
    pub fence: u64,
    /// The newest pass known.
    pub step: u64,
    /// Bottleneck before and after the change, in thousandths of an even load.
    pub bottleneck_permille: Option<(u64, u64)>,
}

/// One rank as the leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Seat {
    pub(super) status: RankStatus,
    heard_at: BootMs,
    /// Time between the last two of its statuses.
    gap_ms: u64,
}

/// The state of the agent that leads.
#[derive(Clone, Debug)]
pub struct Leader {
    group: String,
    pub(super) own_rank: u16,
    pub(super) fence: u64,
    pub(super) salt: u64,
    next_number: u64,
    pub(super) seats: IndexMap<u16, Seat>,
    pub(super) demand: DemandEstimator,
    /// Experts of a layer, by the operators' word.
    pub(super) experts_per_layer: u16,
    /// When the first sign of a shift of demand was seen that is not decided upon yet.
    pub(super) shift_seen_at: Option<BootMs>,
    pub(super) map: Option<(u64, Arc<ExpertMap>)>,
    /// The newest map that all ranks were told of.
    pub(super) told: Option<(u64, Arc<ExpertMap>)>,
    pub(super) phase: Phase,
    pub(super) pass_clock: PassClock,
    pub(super) decide_at: BootMs,
    pub(super) even_clock: EvenClock,
    /// Whether ranks refuse orders with an old fence.
    pub(super) heeds_fences: bool,
    /// How many times orders were given lately, against how many of them.
    pub(super) order_sends: OrderSends,
    /// Until when a rank whose agent was not heard yet may be found to hold a pass.
    may_be_held_until: BootMs,
    is_deposed: bool,
}

impl Leader {
    /// Begins to lead `group` from `own_rank`. `fence` must be higher than those of earlier leaders, `salt`
    /// must differ from theirs.
    #[must_use]
    pub fn new(group: &str, own_rank: u16, fence: u64, salt: u64) -> Self {
        Self {
            group: group.to_owned(),
            own_rank,
            fence,
            salt: salt % VERSION_STEP,
            next_number: 1,
            seats: IndexMap::new(),
            demand: DemandEstimator::default(),
            experts_per_layer: 0,
            shift_seen_at: None,
            map: None,
            told: None,
            phase: Phase::Steady,
            pass_clock: PassClock::default(),
            decide_at: BootMs(0),
            even_clock: EvenClock::default(),
            heeds_fences: true,
            order_sends: OrderSends::default(),
            may_be_held_until: BootMs(0),
            is_deposed: false,
        }
    }

    /// Says that a rank that is not heard yet may hold a pass for the leader before.
    #[must_use]
    pub fn with_possible_hold(self, now: BootMs) -> Self {
        Self { may_be_held_until: now.after(FIND_HELD_MS), ..self }
    }

    /// Says that ranks carry out orders with an old fence as well.
    #[must_use]
    pub fn without_fences(self) -> Self {
        Self { heeds_fences: false, ..self }
    }

    /// Ranks whose agents are to hear this leader often, and to take over if they do not, each with the number
    /// of those that do so sooner. Only the agent of the rank that holds a pass, or is about to, has none.
    #[must_use]
    pub fn watchers(&self) -> Vec<(u8, u16)> {
        let Some(holder) = self.phase.holder() else { return Vec::new() };
        let others = self.others_heard().filter(|rank| *rank != holder).take(FURTHER_WATCHERS);
        let all = (0..).zip(iter::once(holder).chain(others));
        all.filter(|(_, rank)| *rank != self.own_rank).collect()
    }

    /// The rank whose agent is to know that it alone orders the rank beside this leader to switch.
    #[must_use]
    pub fn witness_rank(&self) -> Option<u16> {
        let is_change = !matches!(self.phase, Phase::Undoing(_));
        self.phase.holder().filter(|_| is_change)
    }

    /// Whether a pass is held, or may be by what is known. The link is for orders and their ends then.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.may_be_held_until > BootMs(0) || self.phase.is_held() || !self.held().is_empty()
    }

    /// The fence in use, which also tells agents who leads.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether another leader was found to have a higher fence.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// The map whose experts the leader knows, so that agents need not tell them.
    #[must_use]
    pub fn known_map(&self) -> Option<u64> {
        self.map.as_ref().map(|(version, _)| *version)
    }

    /// Ranks of the group that were not heard lately.
    #[must_use]
    pub fn silent_ranks(&self, now: BootMs, silent_ms: u64) -> Vec<u16> {
        let Some(own) = self.seats.get(&self.own_rank) else { return Vec::new() };
        let is_heard = |rank: &u16| {
            let seat = self.seats.get(rank).filter(|seat| !seat.status.is_read_remotely);
            seat.is_some_and(|seat| now.since(seat.heard_at) <= silent_ms)
        };
        (0..own.status.ranks).filter(|rank| !is_heard(rank)).collect()
    }

    /// Whether a change is under way, in which statuses should come often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.is_changing() || self.is_held()
    }

    /// Whether a change, or the end of one, is under way.
    pub(super) const fn is_changing(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// The group that is led.
    #[must_use]
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Takes a rank's status.
    ///
    /// A service may have several groups whose ranks have the same numbers. Taking one group's word
    /// for another's would order maps from ranks that never hear of each other.
    pub fn on_status(&mut self, now: BootMs, status: RankStatus, dimensions: &GroupDimensions) {
        if status.group != self.group {
            return;
        }
        self.experts_per_layer = dimensions.experts_per_layer;
        let experts = usize::from(dimensions.experts_per_layer);
        self.demand.add(now, status.rank, experts, &status.counts);
        self.pass_clock.note(now, status.epoch, status.step);
        if status.highest_fence > self.fence {
            self.is_deposed = true;
        }
        let before = self.seats.get(&status.rank);
        let gap_ms = before.map_or(0, |seat| now.since(seat.heard_at));
        let known = before.and_then(|seat| seat.status.experts.clone());
        let mut status = status;
        let same_map = before.is_some_and(|seat| seat.status.map == status.map);
        if status.experts.is_none() && same_map {
            status.experts = known;
        }
        self.seats.insert(status.rank, Seat { status, heard_at: now, gap_ms });
    }

    /// Takes the counts that another agent has summed over a section of the group.
    pub fn on_section_counts(&mut self, now: BootMs, section: u16, counts: &CountsSample) {
        let experts = usize::from(self.experts_per_layer);
        self.demand.add(now, section, experts, counts);
    }

    /// Takes the end of an order that an agent tells of.
    pub fn on_order_result(&mut self, rank: u16, number: u64, ended: OrderResult) {
        // Others are given several times at once, whether they get lost or not.
        if matches!(self.phase, Phase::Preparing(_)) {
            self.order_sends.note(ended.sends);
        }
        self.on_order_outcome(rank, number, ended.end);
    }

    /// Takes the end of an order.
    pub fn on_order_outcome(&mut self, rank: u16, number: u64, end: OrderOutcome) {
        let Some(orders) = self.phase.orders() else { return };
        if end == OrderOutcome::LacksMap {
            let Some((version, map)) = &self.told else { return };
            let whole = OrderKind::Prepare { version: *version, map: Arc::clone(map) };
            orders.replace(rank, number, whole);
        } else if orders.end(rank, number, end) && end == OrderOutcome::Fenced {
            self.is_deposed = true;
        }
    }

    /// Decides and gives what is due, where a decision takes no time. To be called often.
    pub fn tick(&mut self, now: BootMs, dimensions: &GroupDimensions) -> Vec<LeaderAction> {
        let mut actions = self.decide(now, dimensions);
        actions.extend(self.due_orders(now));
        actions
    }

    /// Decides what comes next.
    pub fn decide(&mut self, now: BootMs, dimensions: &GroupDimensions) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        self.advance(now, dimensions, &mut actions);
        actions
    }

    /// Orders to be sent now. `now` is to be taken after a decision, which may have taken long.
    ///
    /// On a sixth of a core a decision took 0.2 s. Reckoned from before it, orders without an answer were
    /// due again 0.1 s after they were first sent: 105 maps of 5 KB, which filled the leader's link for
    /// 0.7 s, so that its members took it for gone.
    pub fn due_orders(&mut self, now: BootMs) -> Vec<LeaderAction> {
        let again_ms = match self.phase {
            Phase::Preparing(_) => MAP_AGAIN_MS,
            _ => AGAIN_MS,
        };
        self.phase.orders().map(|orders| orders.due(now, again_ms)).unwrap_or_default()
    }

    fn advance(
        &mut self,
        now: BootMs,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(epoch) = self.epoch() else { return };
        // A pass that is held waits for nobody who need not be asked.
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Holding(holding) => return self.hold(now, epoch, holding, actions),
            Phase::Arming(arming) => return self.arm(now, epoch, arming, actions),
            Phase::Releasing { version, holder, orders } => {
                return self.release(now, version, holder, orders, epoch, actions);
            }
            Phase::Undoing(undoing) => return self.undo(epoch, undoing, actions),
            phase @ (Phase::Steady | Phase::Preparing(_)) => self.phase = phase,
        }
        if now >= self.may_be_held_until || self.all_answered(BootMs(0)) {
            self.may_be_held_until = BootMs(0);
        }
        if !self.all_present(epoch, now) {
            if matches!(self.phase, Phase::Steady) {
                self.settle(epoch, now, actions);
            }
            return;
        }
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Preparing(preparing) => self.prepare(now, epoch, preparing, actions),
            _ => self.look(now, epoch, dimensions, actions),
        }
    }

    /// The epoch by the own rank's word.
    ///
    /// In a new epoch nothing is prepared, armed or held: a change of the old one is over.
    fn epoch(&mut self) -> Option<u64> {
        let epoch = self.seats.get(&self.own_rank)?.status.epoch;
        self.seats.retain(|_, seat| seat.status.epoch >= epoch);
        let is_over = matches!(self.phase.orders(), Some(orders) if !orders.is_of(epoch));
        if is_over {
            self.phase = Phase::Steady;
        }
        Some(epoch)
    }

    /// Whether all ranks of the group were heard lately and agree on the epoch.
    fn all_present(&self, epoch: u64, now: BootMs) -> bool {
        let ranks = self.seats.get(&self.own_rank).map_or(0, |own| own.status.ranks);
        ranks > 0 && (0..ranks).all(|rank| self.is_present(rank, epoch, now))
    }

    /// Whether a rank was heard lately, in `epoch`.
    pub(super) fn is_present(&self, rank: u16, epoch: u64, now: BootMs) -> bool {
        self.seats.get(&rank).is_some_and(|seat| {
            seat.status.epoch == epoch && now.since(seat.heard_at) <= STATUS_AGE_MS
        })
    }

    /// Age of a rank's last word.
    pub(super) fn age_ms(&self, rank: u16, now: BootMs) -> Option<u64> {
        self.seats.get(&rank).map(|seat| now.since(seat.heard_at))
    }

    /// Whether an agent was heard a moment ago.
    pub(super) fn is_fresh(&self, rank: u16, now: BootMs) -> bool {
        let seat = self.seats.get(&rank).filter(|seat| !seat.status.is_read_remotely);
        seat.is_some_and(|seat| now.since(seat.heard_at) <= self.max_silence_ms())
    }

    /// Whether all ranks of the group were heard since `asked_at`, by their own agents.
    pub(super) fn all_answered(&self, asked_at: BootMs) -> bool {
        let ranks = self.status_of(self.own_rank).map_or(0, |own| own.ranks);
        let has_answered = |seat: &Seat| !seat.status.is_read_remotely && seat.heard_at >= asked_at;
        (0..ranks).all(|rank| self.seats.get(&rank).is_some_and(has_answered))
    }

    /// Silence of an agent that polls alone do not explain: two rounds of them are lost.
    #[must_use]
    pub fn max_silence_ms(&self) -> u64 {
        let round_ms = self.seats.get(&self.own_rank).map_or(0, |own| own.gap_ms);
        2 * round_ms.max(SHORT_ROUND_MS) + ANSWER_MS
    }

    /// Other ranks whose agents are heard, from the next one after the own on.
    pub(super) fn others_heard(&self) -> impl Iterator<Item = u16> {
        let ranks = self.seats.len().max(1);
        let after = move |distance: usize| ((usize::from(self.own_rank) + distance) % ranks) as u16;
        let is_heard =
            |rank: &u16| self.seats.get(rank).is_some_and(|seat| !seat.status.is_read_remotely);
        (1..ranks).map(after).filter(is_heard)
    }

    pub(super) fn status_of(&self, rank: u16) -> Option<&RankStatus> {
        self.seats.get(&rank).map(|seat| &seat.status)
    }

    /// Notes that a rank has let its pass go, which its last status does not tell yet.
    pub(super) fn note_let_go(&mut self, rank: u16) {
        if let Some(seat) = self.seats.get_mut(&rank) {
            seat.status.held_step = None;
        }
    }

    pub(super) fn statuses(&self) -> impl Iterator<Item = &RankStatus> {
        self.seats.values().map(|seat| &seat.status)
    }

    fn newest_step(&self) -> u64 {
        self.statuses().map(|status| status.step).max().unwrap_or(0)
    }

    /// Orders to all ranks but some.
    pub(super) fn orders_but(&mut self, but: &[u16], epoch: u64, kind: &OrderKind) -> Orders {
        let ranks = self.status_of(self.own_rank).map_or(0, |own| own.ranks);
        let ranks: Vec<u16> = (0..ranks).filter(|rank| !but.contains(rank)).collect();
        self.orders_to(&ranks, epoch, kind)
    }

    pub(super) fn orders_to(&mut self, ranks: &[u16], epoch: u64, kind: &OrderKind) -> Orders {
        let mut orders = Orders::of(epoch);
        for rank in ranks {
            let order = self.order(epoch, kind.clone());
            orders.add(*rank, self.take_number(), order);
        }
        orders
    }

    pub(super) const fn order(&self, epoch: u64, kind: OrderKind) -> RankOrder {
        RankOrder { epoch, fence: self.fence, kind }
    }

    pub(super) const fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(super) fn note(
        &self,
        cause: &'static str,
        version: u64,
        epoch: u64,
        bottleneck_permille: Option<(u64, u64)>,
        actions: &mut Vec<LeaderAction>,
    ) {
        actions.push(LeaderAction::Note(LeaderNote {
            phase: self.phase.as_str(),
            cause,
            version,
            epoch,
            fence: self.fence,
            step: self.newest_step(),
            bottleneck_permille,
        }));
    }
}
