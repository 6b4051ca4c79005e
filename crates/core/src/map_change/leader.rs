//! The agent that decides for its group.

use super::demand::Demand;
use super::order::{OrderEnd, OrderKind, RankOrder};
use super::phase::{Orders, Phase, UndoStage};
use super::status::RankStatus;
use crate::direct::{BootMs, GroupDimensions};
use crate::placement::{ExpertMap, LayerPlacement, LevelSettings, bottleneck_load, level_map};
use indexmap::IndexMap;

/// Age from which a rank's status is not decided upon.
const STATUS_AGE_MS: u64 = 1_000;

/// Pause after which an order without an answer is sent again.
const AGAIN_MS: u64 = 120;

/// The same for an order with a map. All of them together fill a small machine's link for a quarter
/// of a second in a group of 63 ranks, and the agent itself gives the order again when its rank does
/// not answer.
const MAP_AGAIN_MS: u64 = 1_000;

/// Experts of a map that a link takes in a millisecond: at up to 2 bytes each, half of the smallest
/// link in use (8 Mbit/s). A link that is full loses datagrams, also those that say who leads.
const MAP_EXPERTS_PER_MS: usize = 250;

/// Time for the copies of a change: a rank's share of copies takes about 0.1 s each.
const PREPARE_MS: u64 = 5_000;

/// Time for all ranks to be armed, after which the change is undone. The group may stand still
/// meanwhile; callers leave a stream after 2 s of silence.
const ARM_MS: u64 = 1_200;

/// Least part of the bottleneck that a change must take away. Below it, copies cost more time than
/// they bring before demand shifts again.
const LEAST_GAIN: f64 = 0.12;

/// Copies for one rank in one change: at 0.1 s each, the change is there in half a second.
const NEW_PER_RANK: u16 = 5;

/// Most loaded rank against the mean from which a layer is even enough.
const EVEN_ENOUGH: f64 = 1.08;

/// Choices that an estimate needs: about as many as a group of 12 ranks makes in two passes.
const LEAST_CHOICES: f64 = 20_000.0;

/// Pause between two decisions.
const DECIDE_MS: u64 = 150;

/// Distance between the fences of two phases of one leader; lower digits tell leaders apart.
pub(crate) const FENCE_STEP: u64 = 1 << 10;

/// Distance between the names of two maps; lower digits tell leaders apart.
///
/// Two leaders may name a map at the same time. Ranks compare only names, so two maps with one name
/// could be armed together; one would notice nothing but passes with mixed maps.
const VERSION_STEP: u64 = 1 << 20;

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Send an order to the agent of a rank.
    Send {
        /// The rank.
        rank: u16,
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
struct Seat {
    status: RankStatus,
    heard_at: BootMs,
}

/// The state of the agent that leads.
#[derive(Clone, Debug)]
pub struct Leader {
    own_rank: u16,
    fence: u64,
    salt: u64,
    next_number: u64,
    seats: IndexMap<u16, Seat>,
    demand: Demand,
    map: Option<(u64, ExpertMap)>,
    phase: Phase,
    decide_at: BootMs,
    is_deposed: bool,
}

impl Leader {
    /// Begins to lead from `own_rank`. `fence` must be higher than those of earlier leaders, `salt`
    /// must differ from theirs.
    #[must_use]
    pub fn new(own_rank: u16, fence: u64, salt: u64) -> Self {
        Self {
            own_rank,
            fence,
            salt: salt % VERSION_STEP,
            next_number: 1,
            seats: IndexMap::new(),
            demand: Demand::default(),
            map: None,
            phase: Phase::Steady,
            decide_at: BootMs(0),
            is_deposed: false,
        }
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

    /// Takes a rank's status.
    pub fn on_status(&mut self, now: BootMs, status: RankStatus, dimensions: &GroupDimensions) {
        let experts = usize::from(dimensions.experts_per_layer);
        self.demand.add(now, experts, &status.counts.choices);
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

    /// Takes the end of an order.
    pub fn on_end(&mut self, rank: u16, number: u64, end: OrderEnd) {
        let Some(orders) = self.phase.orders() else { return };
        if orders.end(rank, number, end) && end == OrderEnd::Fenced {
            self.is_deposed = true;
        }
    }

    /// Decides. To be called often; every call gives what is due.
    pub fn tick(&mut self, now: BootMs, dimensions: &GroupDimensions) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        self.advance(now, dimensions, &mut actions);
        let has_map = matches!(self.phase, Phase::Preparing { .. });
        if let Some(orders) = self.phase.orders() {
            let due = orders.due(now, if has_map { MAP_AGAIN_MS } else { AGAIN_MS });
            let send = |(rank, number, order)| LeaderAction::Send { rank, number, order };
            actions.extend(due.into_iter().map(send));
        }
        actions
    }

    fn advance(
        &mut self,
        now: BootMs,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(epoch) = self.epoch(now) else { return };
        match std::mem::replace(&mut self.phase, Phase::Steady) {
            Phase::Steady => self.decide(now, epoch, dimensions, actions),
            Phase::Preparing { version, orders, give_up_at } => {
                self.prepare(now, epoch, version, orders, give_up_at, actions);
            }
            Phase::Holding { version, orders } => {
                self.hold(now, epoch, version, orders, actions);
            }
            Phase::Arming { version, step, orders, give_up_at } => {
                self.arm(now, epoch, version, step, orders, give_up_at, actions);
            }
            Phase::Releasing { version, orders } => self.release(version, orders, epoch, actions),
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
        let is_present = |rank: u16| {
            self.seats.get(&rank).is_some_and(|seat| {
                seat.status.epoch == epoch && now.since(seat.heard_at) <= STATUS_AGE_MS
            })
        };
        let is_over = matches!(self.phase.orders(), Some(orders) if !orders.is_of(epoch));
        if is_over {
            self.phase = Phase::Steady;
        }
        (0..ranks).all(is_present).then_some(epoch)
    }

    fn statuses(&self) -> impl Iterator<Item = &RankStatus> {
        self.seats.values().map(|seat| &seat.status)
    }

    fn newest_step(&self) -> u64 {
        self.statuses().map(|status| status.step).max().unwrap_or(0)
    }

    fn decide(
        &mut self,
        now: BootMs,
        epoch: u64,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        if now < self.decide_at || self.statuses().any(|status| !status.is_open) {
            return;
        }
        self.decide_at = now.after(DECIDE_MS);
        if self.leftovers(epoch, actions) {
            return;
        }
        self.learn_map();
        let Some((version, present)) = &self.map else { return };
        // A change with a rank whose agent is not heard would hold the group for long.
        let is_aligned =
            self.statuses().all(|status| status.map == *version && !status.is_from_afar);
        if !is_aligned || self.demand.seen() < LEAST_CHOICES {
            return;
        }
        let settings = LevelSettings {
            slots_per_rank: dimensions.expert_slots_per_rank,
            new_per_rank_and_layer: dimensions.spare_slots_per_rank,
            new_per_rank: NEW_PER_RANK,
            even_enough: EVEN_ENOUGH,
        };
        let paces = self.paces(present.ranks());
        let map = level_map(present, self.demand.loads(), &paces, &settings);
        let before = bottleneck_load(present, self.demand.loads(), &paces);
        let after = bottleneck_load(&map, self.demand.loads(), &paces);
        if after < before * (1.0 - LEAST_GAIN) {
            let even = self.demand.seen() / present.ranks().max(1) as f64;
            let permille = |load: f64| (load / even * 1000.0) as u64;
            let bottleneck = Some((permille(before), permille(after)));
            self.begin(now, epoch, map, bottleneck, actions);
        }
    }

    /// How much longer each rank takes for its work than usual.
    fn paces(&self, ranks: usize) -> Vec<f64> {
        let mut paces = vec![1.0; ranks];
        for status in self.statuses() {
            if let Some(pace) = paces.get_mut(usize::from(status.rank)) {
                *pace = f64::from(status.pace_permille.max(1000)) / 1000.0;
            }
        }
        paces
    }

    /// Undoes what an earlier leader left behind. Returns whether there was anything.
    fn leftovers(&mut self, epoch: u64, actions: &mut Vec<LeaderAction>) -> bool {
        let held = self.held();
        let armed: Vec<_> = self.statuses().filter_map(|status| status.armed).collect();
        if held.is_empty() {
            // All ranks armed alike will switch by themselves. Disarming one of them while no pass
            // is held could make that pass begin with two maps.
            return !armed.is_empty();
        }
        let version = armed.first().map_or(0, |armed| armed.version);
        self.begin_undo(epoch, held, version, "left-behind", actions);
        true
    }

    /// Puts the map in use together from what the ranks say they hold.
    fn learn_map(&mut self) {
        let Some(version) = self.statuses().map(|status| status.map).next() else { return };
        if self.map.as_ref().is_some_and(|(known, _)| *known == version) {
            return;
        }
        self.map = None;
        let mut ranks: Vec<&RankStatus> = self.statuses().collect();
        ranks.sort_by_key(|status| status.rank);
        let lists: Option<Vec<&Vec<Vec<u16>>>> = ranks
            .iter()
            .map(|status| status.experts.as_ref().filter(|_| status.map == version))
            .collect();
        let Some(lists) = lists else { return };
        let layers = lists.iter().map(|list| list.len()).min().unwrap_or(0);
        let layers = (0..layers).map(|layer| LayerPlacement {
            experts_of_rank: lists.iter().map(|list| list[layer].clone()).collect(),
        });
        self.map = Some((version, ExpertMap { layers: layers.collect() }));
    }

    fn begin(
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
        let newest = self.statuses().flat_map(|status| {
            let armed = status.armed.map_or(0, |armed| armed.version);
            [status.map, status.prepared.unwrap_or(0), armed]
        });
        let newest = newest.max().unwrap_or(0);
        let version = (newest / VERSION_STEP + 1) * VERSION_STEP + self.salt;
        let experts: usize =
            map.layers.iter().flat_map(|it| &it.experts_of_rank).map(Vec::len).sum();
        let kind = OrderKind::Prepare { version, map };
        let mut orders = self.orders_to_all(epoch, &kind);
        orders.spread(now, (experts / MAP_EXPERTS_PER_MS) as u64);
        self.phase = Phase::Preparing { version, orders, give_up_at: now.after(PREPARE_MS) };
        self.note("uneven", version, epoch, bottleneck, actions);
    }

    fn prepare(
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
        let orders = self.orders_to(&[self.own_rank], epoch, &OrderKind::HoldNext);
        self.phase = Phase::Holding { version, orders };
        self.note("prepared", version, epoch, None, actions);
    }

    fn hold(
        &mut self,
        now: BootMs,
        epoch: u64,
        version: u64,
        orders: Orders,
        actions: &mut Vec<LeaderAction>,
    ) {
        if orders.any(OrderEnd::Refused) {
            self.note("not-held", version, epoch, None, actions);
            return;
        }
        let held_step = self.seats.get(&self.own_rank).and_then(|seat| seat.status.held_step);
        let Some(step) = held_step.filter(|_| orders.all_done()) else {
            self.phase = Phase::Holding { version, orders };
            return;
        };
        let orders = self.orders_to_all(epoch, &OrderKind::Arm { version, step });
        let give_up_at = now.after(ARM_MS);
        self.phase = Phase::Arming { version, step, orders, give_up_at };
        self.note("held", version, epoch, None, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one phase")]
    fn arm(
        &mut self,
        now: BootMs,
        epoch: u64,
        version: u64,
        step: u64,
        orders: Orders,
        give_up_at: BootMs,
        actions: &mut Vec<LeaderAction>,
    ) {
        if orders.all_done() {
            let kind = OrderKind::Go { step };
            let orders = self.orders_to(&[self.own_rank], epoch, &kind);
            self.phase = Phase::Releasing { version, orders };
            self.note("armed", version, epoch, None, actions);
        } else if orders.any(OrderEnd::Refused) || now >= give_up_at {
            let held = vec![(self.own_rank, step)];
            self.begin_undo(epoch, held, version, "not-armed", actions);
        } else {
            self.phase = Phase::Arming { version, step, orders, give_up_at };
        }
    }

    fn release(
        &mut self,
        version: u64,
        orders: Orders,
        epoch: u64,
        actions: &mut Vec<LeaderAction>,
    ) {
        let has_switched = self.statuses().all(|status| status.map == version);
        if !orders.all_done() {
            self.phase = Phase::Releasing { version, orders };
        } else if has_switched {
            self.note("switched", version, epoch, None, actions);
        } else {
            // A hold of an earlier leader may have been carried out late. All ranks are armed alike
            // and refuse its other orders, so that its pass may begin as well.
            let orders = self.orders_to_let_go(epoch);
            self.phase = Phase::Releasing { version, orders };
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
    fn held(&self) -> Vec<(u16, u64)> {
        self.statuses().filter_map(|status| Some((status.rank, status.held_step?))).collect()
    }

    /// Begins to disarm all ranks and to let held passes go after that.
    ///
    /// An order of the old fence may still be on its way and be carried out seconds later. Every
    /// rank is shown a higher fence before anything goes, so that it refuses such an order. The ranks
    /// that hold are shown it first, by holding the same pass again: whoever led before may have let
    /// it go a moment ago, and disarming one rank then would make the pass begin with two maps.
    fn begin_undo(
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

    fn undo(
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
            UndoStage::Disarming => {
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

    fn orders_to_all(&mut self, epoch: u64, kind: &OrderKind) -> Orders {
        let ranks: Vec<u16> = self.seats.keys().copied().collect();
        self.orders_to(&ranks, epoch, kind)
    }

    fn orders_to(&mut self, ranks: &[u16], epoch: u64, kind: &OrderKind) -> Orders {
        let mut orders = Orders::default();
        for rank in ranks {
            let order = self.order(epoch, kind.clone());
            orders.add(*rank, self.take_number(), order);
        }
        orders
    }

    const fn order(&self, epoch: u64, kind: OrderKind) -> RankOrder {
        RankOrder { epoch, fence: self.fence, kind }
    }

    const fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn note(
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
