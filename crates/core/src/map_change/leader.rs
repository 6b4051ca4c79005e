//! The agent that decides for its group.

use super::change::VERSION_STEP;
use super::demand::Demand;
use super::order::{OrderEnd, OrderKind, RankOrder};
use super::pass_clock::PassClock;
use super::phase::{Orders, Phase};
use super::status::{CountsSample, RankStatus};
use crate::direct::{BootMs, GroupDimensions};
use crate::placement::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;

/// Age from which a rank's status is not decided upon.
const STATUS_AGE_MS: u64 = 1_000;

/// Pause after which an order without an answer is sent again.
const AGAIN_MS: u64 = 120;

/// The same for an order with a map. The agent answers within a few milliseconds; on a link that is
/// full of maps, for a quarter of a second in a group of 63 ranks, the answer may come later.
const MAP_AGAIN_MS: u64 = 300;

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Have an order given to a rank.
    Send {
        /// The rank.
        rank: u16,
        /// The rank whose agent gives the order: usually the same.
        giver: u16,
        /// The rank whose agent passes the order on, which has one of the same kind in the same tick.
        via: Option<u16>,
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

/// A leader that went silent while a rank holds a pass for it, as the holder's agent knows it.
///
/// Only the holder's agent orders the rank beside that leader to switch, after all others are armed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deposed {
    /// The rank beside it.
    pub rank: u16,
    /// Whether that rank is armed. It is known not to be otherwise.
    pub is_armed: bool,
}

/// One rank as the leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Seat {
    pub(super) status: RankStatus,
    heard_at: BootMs,
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
    pub(super) demand: Demand,
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
    /// Whether ranks refuse orders with an old fence.
    pub(super) heeds_fences: bool,
    /// The leader in whose place this one leads, if its machine went silent.
    pub(super) deposed: Option<Deposed>,
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
            demand: Demand::default(),
            experts_per_layer: 0,
            shift_seen_at: None,
            map: None,
            told: None,
            phase: Phase::Steady,
            pass_clock: PassClock::default(),
            decide_at: BootMs(0),
            heeds_fences: true,
            deposed: None,
            is_deposed: false,
        }
    }

    /// Begins to lead, in place of a leader that went silent while `own_rank` holds a pass for it if
    /// there is one. The rank beside that leader may be out of reach as well; see [`Deposed`].
    #[must_use]
    pub fn take_over(
        group: &str,
        own_rank: u16,
        fence: u64,
        salt: u64,
        deposed: Option<Deposed>,
    ) -> Self {
        Self { deposed, ..Self::new(group, own_rank, fence, salt) }
    }

    /// Says that ranks carry out orders with an old fence as well.
    #[must_use]
    pub fn without_fences(self) -> Self {
        Self { heeds_fences: false, ..self }
    }

    /// The rank that holds a pass for a change under way, whose agent is to hear this leader often.
    #[must_use]
    pub fn holder(&self) -> Option<u16> {
        self.phase.holder().filter(|holder| *holder != self.own_rank)
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
            let seat = self.seats.get(rank).filter(|seat| !seat.status.is_from_afar);
            seat.is_some_and(|seat| now.since(seat.heard_at) <= silent_ms)
        };
        (0..own.status.ranks).filter(|rank| !is_heard(rank)).collect()
    }

    /// Whether a change is under way, in which statuses should come often.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
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
        let known = self.seats.get(&status.rank).and_then(|seat| seat.status.experts.clone());
        let mut status = status;
        let same_map = self.seats.get(&status.rank).is_some_and(|it| it.status.map == status.map);
        if status.experts.is_none() && same_map {
            status.experts = known;
        }
        self.seats.insert(status.rank, Seat { status, heard_at: now });
    }

    /// Takes the counts that another agent has summed over a section of the group.
    pub fn on_collected(&mut self, now: BootMs, section: u16, counts: &CountsSample) {
        let experts = usize::from(self.experts_per_layer);
        self.demand.add(now, section, experts, counts);
    }

    /// Takes the end of an order.
    pub fn on_end(&mut self, rank: u16, number: u64, end: OrderEnd) {
        let Some(orders) = self.phase.orders() else { return };
        if end == OrderEnd::LacksMap {
            let Some((version, map)) = &self.told else { return };
            let whole = OrderKind::Prepare { version: *version, map: Arc::clone(map) };
            orders.replace(rank, number, whole);
        } else if orders.end(rank, number, end) && end == OrderEnd::Fenced {
            self.is_deposed = true;
        }
    }

    /// Decides and gives what is due, where a decision takes no time. To be called often.
    pub fn tick(&mut self, now: BootMs, dimensions: &GroupDimensions) -> Vec<LeaderAction> {
        let mut actions = self.decide(now, dimensions);
        actions.extend(self.due(now));
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
    pub fn due(&mut self, now: BootMs) -> Vec<LeaderAction> {
        let has_map = matches!(self.phase, Phase::Preparing { .. });
        let again_ms = if has_map { MAP_AGAIN_MS } else { AGAIN_MS };
        self.phase.orders().map(|orders| orders.due(now, again_ms)).unwrap_or_default()
    }

    fn advance(
        &mut self,
        now: BootMs,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(epoch) = self.epoch(now) else { return self.rescue(now, actions) };
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Steady => self.look(now, epoch, dimensions, actions),
            Phase::Preparing { version, orders, give_up_at } => {
                self.prepare(now, epoch, version, orders, give_up_at, actions);
            }
            Phase::Holding { version, holder, orders } => {
                self.hold(now, epoch, version, holder, orders, actions);
            }
            Phase::Arming(arming) => self.arm(now, epoch, arming, actions),
            Phase::Releasing { version, holder, orders } => {
                self.release(version, holder, orders, epoch, actions);
            }
            Phase::Undoing { stage, held, version, orders } => {
                self.undo(epoch, stage, held, version, orders, actions);
            }
        }
    }

    /// The epoch, when all ranks of the group were heard lately and agree on it.
    ///
    /// In a new epoch nothing is prepared, armed or held: a change of the old one is over.
    fn epoch(&mut self, now: BootMs) -> Option<u64> {
        let own = &self.seats.get(&self.own_rank)?.status;
        let (epoch, ranks) = (own.epoch, own.ranks);
        self.seats.retain(|_, seat| seat.status.epoch >= epoch);
        let is_over = matches!(self.phase.orders(), Some(orders) if !orders.is_of(epoch));
        if is_over {
            self.phase = Phase::Steady;
        }
        (0..ranks).all(|rank| self.is_present(rank, epoch, now)).then_some(epoch)
    }

    /// Whether a rank was heard lately, in `epoch`.
    pub(super) fn is_present(&self, rank: u16, epoch: u64, now: BootMs) -> bool {
        self.seats.get(&rank).is_some_and(|seat| {
            seat.status.epoch == epoch && now.since(seat.heard_at) <= STATUS_AGE_MS
        })
    }

    pub(super) fn statuses(&self) -> impl Iterator<Item = &RankStatus> {
        self.seats.values().map(|seat| &seat.status)
    }

    fn newest_step(&self) -> u64 {
        self.statuses().map(|status| status.step).max().unwrap_or(0)
    }

    pub(super) fn orders_to_all(&mut self, epoch: u64, kind: &OrderKind) -> Orders {
        let ranks: Vec<u16> = self.seats.keys().copied().collect();
        self.orders_to(&ranks, epoch, kind)
    }

    pub(super) fn orders_to(&mut self, ranks: &[u16], epoch: u64, kind: &OrderKind) -> Orders {
        let mut orders = Orders::default();
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
