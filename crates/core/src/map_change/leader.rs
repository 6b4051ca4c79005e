//! State machine of the agent that leads a group.

use super::change::VERSION_STEP;
use super::demand::DemandEstimator;
use super::leader_action::{LeaderAction, LeaderNote};
use super::leader_ranks::{POLL_ANSWER_MS, RankEntry};
use super::order::{OrderKind, OrderOutcome, OrderResult, RankOrder};
use super::order_sends::OrderSends;
use super::pass_clock::PassClock;
use super::phase::{Orders, Phase};
use super::released_passes::ReleasedPasses;
use super::status::{CountsSample, RankStatus};
use super::uneven::ImbalanceClock;
use crate::direct::{BootMs, GroupDimensions};
use crate::placement::ExpertMap;
use indexmap::IndexMap;
use std::iter;
use std::sync::Arc;

/// Interval after which an unanswered order is sent again. The group may be stalled meanwhile. An
/// agent whose answer alone was lost repeats it at once.
const RESEND_MS: u64 = 40;

/// Interval after which an unanswered order with a map is sent again. An agent answers within a few
/// milliseconds, but the answer may be delayed while the link is full of maps, which takes a
/// quarter of a second in a group of 63 ranks.
const RESEND_MAP_MS: u64 = 300;

/// Time after which a leader that took over has learned of every rank whether it holds a pass.
/// Statuses that are read over the network are some hundred milliseconds old.
const FIND_HOLD_MS: u64 = 1_000;

/// Number of agents that watch the leader in addition to the agent of the holder.
const EXTRA_WATCHERS: usize = 2;

/// State of the agent that leads a group.
#[derive(Clone, Debug)]
pub struct Leader {
    group: String,
    pub(super) own_rank: u16,
    pub(super) fence: u64,
    /// The fencing number with which this leader began.
    pub(super) first_fence: u64,
    /// Lower digits of the map versions of this leader.
    pub(super) salt: u64,
    /// The highest map version that this leader has given.
    pub(super) newest_version: u64,
    next_number: u64,
    pub(super) rank_entries: IndexMap<u16, RankEntry>,
    pub(super) demand: DemandEstimator,
    /// Number of experts in a layer, as configured by the operators.
    pub(super) experts_per_layer: u16,
    /// When the first sign of a shift of demand was seen, if no decision has been made since.
    pub(super) shift_seen_at: Option<BootMs>,
    pub(super) current_map: Option<(u64, Arc<ExpertMap>)>,
    /// The newest map that was sent to all ranks, with its version.
    pub(super) last_sent_map: Option<(u64, Arc<ExpertMap>)>,
    pub(super) phase: Phase,
    pub(super) pass_clock: PassClock,
    pub(super) next_decision_at: BootMs,
    pub(super) imbalance_clock: ImbalanceClock,
    /// Whether ranks refuse orders with an outdated fencing number.
    pub(super) enforces_fences: bool,
    /// Average number of sends per order.
    pub(super) order_sends: OrderSends,
    /// Until when a rank that has not reported yet may turn out to hold a pass.
    may_be_held_until: BootMs,
    /// When agents that answer have answered this leader for the first time.
    pub(super) first_answers_due_at: BootMs,
    /// The held pass for which a rank refused to be armed once more.
    pub(super) unfinishable_step: Option<u64>,
    pub(super) released_passes: ReleasedPasses,
    is_deposed: bool,
}

impl Leader {
    /// Creates a leader of `group` on the agent of `own_rank`. `fence` must be higher than the
    /// fencing numbers of earlier leaders, and `salt` must differ from theirs.
    #[must_use]
    pub fn new(group: &str, own_rank: u16, fence: u64, salt: u64) -> Self {
        Self {
            group: group.to_owned(),
            own_rank,
            fence,
            first_fence: fence,
            salt: salt % VERSION_STEP,
            newest_version: 0,
            next_number: 1,
            rank_entries: IndexMap::new(),
            demand: DemandEstimator::default(),
            experts_per_layer: 0,
            shift_seen_at: None,
            current_map: None,
            last_sent_map: None,
            phase: Phase::Steady,
            pass_clock: PassClock::default(),
            next_decision_at: BootMs(0),
            imbalance_clock: ImbalanceClock::default(),
            enforces_fences: true,
            order_sends: OrderSends::default(),
            may_be_held_until: BootMs(0),
            first_answers_due_at: BootMs(0),
            unfinishable_step: None,
            released_passes: ReleasedPasses::default(),
            is_deposed: false,
        }
    }

    /// Assumes for some time that a rank that has not reported yet may hold a pass for the previous
    /// leader.
    #[must_use]
    pub fn with_possible_hold(self, now: BootMs) -> Self {
        Self {
            may_be_held_until: now.after(FIND_HOLD_MS),
            first_answers_due_at: now.after(POLL_ANSWER_MS),
            ..self
        }
    }

    /// Declares that ranks also carry out orders with an outdated fencing number.
    #[must_use]
    pub fn without_fences(self) -> Self {
        Self { enforces_fences: false, ..self }
    }

    /// Returns the ranks whose agents watch this leader and take over if it goes silent, each with
    /// the number of agents that take over before it. That number is zero only for the rank that
    /// holds a pass or is about to.
    #[must_use]
    pub fn watchers(&self) -> Vec<(u8, u16)> {
        let Some(holder) = self.phase.holder() else { return Vec::new() };
        let others =
            self.other_responsive_ranks().filter(|rank| *rank != holder).take(EXTRA_WATCHERS);
        let all = (0..).zip(iter::once(holder).chain(others));
        all.filter(|(_, rank)| *rank != self.own_rank).collect()
    }

    /// Returns the rank whose agent is to become the witness: only this agent arms the rank of this
    /// leader.
    ///
    /// No agent becomes the witness once ranks are being armed. One that has restarted since would
    /// record that it has not armed the leader's rank, though it may have done so before.
    #[must_use]
    pub fn witness_rank(&self) -> Option<u16> {
        let is_unarmed = matches!(self.phase, Phase::Preparing(_) | Phase::Holding(_));
        self.phase.holder().filter(|_| is_unarmed)
    }

    /// Returns the rank that holds a pass for the change of this leader, or is about to.
    #[must_use]
    pub fn holder(&self) -> Option<u16> {
        let is_change = !matches!(self.phase, Phase::Undoing(_));
        self.phase.holder().filter(|_| is_change)
    }

    /// Returns whether a pass is held or may be held. Meanwhile the link is reserved for orders and
    /// their outcomes.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.may_be_held_until > BootMs(0) || self.phase.is_held() || !self.held_passes().is_empty()
    }

    /// Returns the fencing number in use, which also identifies the leader to the agents.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether another leader with a higher fencing number was found.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Returns the version of the map that the leader knows completely, so that agents need not
    /// send their experts.
    #[must_use]
    pub fn known_map(&self) -> Option<u64> {
        self.current_map.as_ref().map(|(version, _)| *version)
    }

    /// Returns the ranks of the group whose agents have been silent for longer than `silent_ms`.
    #[must_use]
    pub fn silent_ranks(&self, now: BootMs, silent_ms: u64) -> Vec<u16> {
        let Some(own) = self.rank_entries.get(&self.own_rank) else { return Vec::new() };
        let is_heard = |rank: &u16| {
            let entry = self.rank_entries.get(rank).filter(|entry| !entry.status.is_read_remotely);
            entry.is_some_and(|entry| now.since(entry.heard_at) <= silent_ms)
        };
        (0..own.status.ranks).filter(|rank| !is_heard(rank)).collect()
    }

    /// Returns whether a change is in progress, when statuses are needed more often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.is_changing() || self.is_held()
    }

    /// Returns whether a change, or the undo of one, is in progress.
    pub(super) const fn is_changing(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// Returns the name of the group.
    #[must_use]
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Processes the status of a rank.
    ///
    /// A service may have several groups whose ranks have the same numbers. Statuses of another
    /// group are ignored, because the map would otherwise be built from ranks that never receive
    /// the orders of this leader.
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
        let before = self.rank_entries.get(&status.rank);
        let status_interval_ms = before.map_or(0, |entry| now.since(entry.heard_at));
        let known = before.and_then(|entry| entry.status.experts.clone());
        let mut status = status;
        let same_map = before.is_some_and(|entry| entry.status.map == status.map);
        if status.experts.is_none() && same_map {
            status.experts = known;
        }
        self.rank_entries
            .insert(status.rank, RankEntry { status, heard_at: now, status_interval_ms });
    }

    /// Processes the counts that another agent has summed over a section of the group.
    pub fn on_section_counts(&mut self, now: BootMs, section: u16, counts: &CountsSample) {
        let experts = usize::from(self.experts_per_layer);
        self.demand.add(now, section, experts, counts);
    }

    /// Processes the result of an order that an agent reports.
    pub fn on_order_result(&mut self, rank: u16, number: u64, result: OrderResult) {
        // Other orders are sent several times at once, whether they get lost or not.
        if matches!(self.phase, Phase::Preparing(_)) {
            self.order_sends.note(result.sends);
        }
        self.on_order_outcome(rank, number, result.end);
    }

    /// Processes the outcome of an order.
    pub fn on_order_outcome(&mut self, rank: u16, number: u64, end: OrderOutcome) {
        let Some(orders) = self.phase.orders() else { return };
        if end == OrderOutcome::LacksMap {
            let Some((version, map)) = &self.last_sent_map else { return };
            let complete = OrderKind::Prepare { version: *version, map: Arc::clone(map) };
            orders.replace(rank, number, complete);
        } else if orders.set_outcome(rank, number, end) && end == OrderOutcome::Fenced {
            self.is_deposed = true;
        }
    }

    /// Decides what comes next and returns the resulting actions with all due orders. For callers
    /// whose decisions take no time. To be called frequently.
    pub fn tick(&mut self, now: BootMs, dimensions: &GroupDimensions) -> Vec<LeaderAction> {
        let mut actions = self.decide(now, dimensions);
        actions.extend(self.due_orders(now));
        actions
    }

    /// Advances the state machine and returns the log records of its decisions.
    pub fn decide(&mut self, now: BootMs, dimensions: &GroupDimensions) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        self.advance(now, dimensions, &mut actions);
        actions
    }

    /// Returns the orders to send now. `now` must be read after the decision, which may take long.
    ///
    /// A decision takes 0.2 s on a sixth of a core. With a time from before it, unanswered orders
    /// would be due again 0.1 s after they were first sent. For 105 maps of 5 KB, that fills the
    /// link of the leader for 0.7 s, and the group takes the leader for failed.
    pub fn due_orders(&mut self, now: BootMs) -> Vec<LeaderAction> {
        let resend_ms = match self.phase {
            Phase::Preparing(_) => RESEND_MAP_MS,
            _ => RESEND_MS,
        };
        self.phase.orders().map(|orders| orders.due(now, resend_ms)).unwrap_or_default()
    }

    fn advance(
        &mut self,
        now: BootMs,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(epoch) = self.epoch() else { return };
        self.note_earlier_releases(epoch);
        // A held pass must not wait for ranks that are not needed for its release.
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Holding(holding) => return self.advance_holding(now, epoch, holding, actions),
            Phase::Arming(arming) => return self.advance_arming(now, epoch, arming, actions),
            Phase::Releasing { version, holder, orders } => {
                return self.advance_releasing(now, version, holder, orders, epoch, actions);
            }
            Phase::Undoing(undoing) => return self.advance_undoing(epoch, undoing, actions),
            phase @ (Phase::Steady | Phase::Preparing(_)) => self.phase = phase,
        }
        if now >= self.may_be_held_until || self.all_answered(BootMs(0)) {
            self.may_be_held_until = BootMs(0);
        }
        if !self.all_statuses_current(epoch, now) {
            if matches!(self.phase, Phase::Steady) {
                self.resolve_abandoned(epoch, now, actions);
            }
            return;
        }
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Preparing(preparing) => self.advance_preparing(now, epoch, preparing, actions),
            _ => self.consider_change(now, epoch, dimensions, actions),
        }
    }

    /// Creates orders to all ranks except some.
    pub(super) fn orders_except(&mut self, except: &[u16], epoch: u64, kind: &OrderKind) -> Orders {
        let ranks = self.status_of(self.own_rank).map_or(0, |own| own.ranks);
        let ranks: Vec<u16> = (0..ranks).filter(|rank| !except.contains(rank)).collect();
        self.orders_to(&ranks, epoch, kind)
    }

    pub(super) fn orders_to(&mut self, ranks: &[u16], epoch: u64, kind: &OrderKind) -> Orders {
        let mut orders = Orders::for_epoch(epoch);
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
