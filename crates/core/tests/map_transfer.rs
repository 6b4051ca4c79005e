//! Tests of how much of the link of a leader the maps of a large group take.

#[path = "support/rank_status.rs"]
mod rank_status;

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, GroupDimensions};
use hickorycross_core::map_change::{
    CountsSample, KnownMaps, Leader, LeaderAction, OrderKind, OrderOutcome, RankOrder, RankStatus,
    Witness,
};
use hickorycross_core::placement::{ExpertMap, LayerPlacement, MapDelta};
use indexmap::IndexMap;
use proptest::collection;
use proptest::prelude::{Strategy, any, prop_assert_eq, proptest};
use rank_status::open_rank;
use std::sync::Arc;

const RANKS: u16 = 129;
const LAYERS: u16 = 16;
const EXPERTS: u16 = 258;
const DIMENSIONS: GroupDimensions = GroupDimensions {
    layers: LAYERS,
    experts_per_layer: EXPERTS,
    expert_slots_per_rank: 3,
    spare_slots_per_rank: 2,
};

/// Interval between two ticks of a leader and between two statuses of a rank.
const TICK_MS: u64 = 50;

/// Duration of a decision on a sixth of a core.
const DECISION_MS: u64 = 200;

/// Orders with a map that a link of 6 Mbit/s carries in 0.1 s with half of its capacity.
const MAX_RESENT_IN_100_MS: usize = 8;

/// Returns the status of a rank while a quarter of the layers have popular experts.
fn status(rank: u16, map: u64, prepared: Option<u64>, step: u64, shift: u16) -> RankStatus {
    let is_popular = |layer: u16, expert: u16| layer % 4 == shift % 4 && expert % 8 == shift % 8;
    let choices = (0..LAYERS).flat_map(|layer| {
        (0..EXPERTS).map(move |it| if is_popular(layer, it) { 9_000 } else { 1_000 })
    });
    let choices: Vec<u32> = choices.collect();
    let held = (0..EXPERTS).filter(|expert| expert % RANKS == rank).collect();
    RankStatus {
        step,
        map,
        prepared,
        counts: CountsSample::of(&choices),
        experts: (map == 0).then(|| vec![held; usize::from(LAYERS)]),
        ..open_rank(rank, RANKS)
    }
}

/// Simulates map changes by a leader that receives all statuses at once, and records the orders to
/// prepare.
struct Group {
    leader: Leader,
    now_ms: u64,
    map: u64,
    held_step: Option<u64>,
    prepares: Vec<RankOrder>,
}

impl Group {
    fn new() -> Self {
        let leader = Leader::new("g", 0, 1 << 20, 1);
        Self { leader, now_ms: 10_000, map: 0, held_step: None, prepares: Vec::new() }
    }

    /// Runs until the group has another map.
    fn change(&mut self, shift: u16) {
        let before = self.map;
        let mut prepared = None;
        while self.map == before {
            self.now_ms += TICK_MS;
            assert!(self.now_ms < 60_000, "no change");
            let (now, step) = (BootMs(self.now_ms), self.now_ms / 60);
            for rank in 0..RANKS {
                let status = status(rank, self.map, prepared, step, shift);
                let held_step = self.held_step.filter(|_| rank == 1);
                let fence = self.leader.fence();
                let witness = Some(Witness { fence, rank: 0, ordered: None });
                let status = RankStatus { held_step, witness, ..status };
                self.leader.on_status(now, status, &DIMENSIONS);
            }
            for action in self.leader.tick(now, &DIMENSIONS) {
                let LeaderAction::Send { rank, number, order, .. } = action else { continue };
                match &order.kind {
                    OrderKind::Prepare { version, .. }
                    | OrderKind::PrepareChange { version, .. } => {
                        prepared = Some(*version);
                        self.prepares.push(order.clone());
                    }
                    OrderKind::HoldAhead { .. } => self.held_step = Some(step + 2),
                    OrderKind::Go { .. } => {
                        self.held_step = None;
                        self.map = prepared.expect("a map is prepared");
                    }
                    _ => {}
                }
                self.leader.on_order_outcome(rank, number, OrderOutcome::Done);
            }
        }
        // The leader observes that all ranks have switched.
        for _ in 0..2 {
            self.now_ms += TICK_MS;
            for rank in 0..RANKS {
                let status = status(rank, self.map, None, self.now_ms / 60, shift);
                self.leader.on_status(BootMs(self.now_ms), status, &DIMENSIONS);
            }
            self.leader.tick(BootMs(self.now_ms), &DIMENSIONS);
        }
    }
}

fn map_of(order: &RankOrder, known: &mut KnownMaps) -> Arc<ExpertMap> {
    match known.resolve(&order.kind) {
        Ok(OrderKind::Prepare { map, .. }) => map,
        other => panic!("no complete map: {other:?}"),
    }
}

/// Guards against preparation times that grow from change to change, from 0.16 s to 0.5 s. It
/// happens when complete maps are sent although a change moves a tenth of the experts: the first
/// map compresses well, and each change makes it less regular until it has 6 KB, which are sent to
/// 129 agents.
#[gtest]
fn maps_after_the_first_are_sent_as_changes() {
    let mut group = Group::new();
    for shift in 0..4 {
        group.change(shift);
    }
    let mut orders: IndexMap<u64, RankOrder> = IndexMap::new();
    for order in group.prepares {
        orders.entry(order.fence).or_insert(order);
    }
    expect_that!(orders.len(), ge(4));
    let mut known = KnownMaps::default();
    for (index, order) in orders.values().enumerate() {
        let is_complete = matches!(order.kind, OrderKind::Prepare { .. });
        expect_that!(is_complete, eq(index == 0), "change {index}");
        let map = map_of(order, &mut known);
        let sent = postcard::to_stdvec(&order.kind).expect("serialises").len();
        let whole = postcard::to_stdvec(&*map).expect("serialises").len();
        let max_len = if index == 0 { whole + 20 } else { whole / 2 };
        expect_that!(sent, le(max_len), "change {index}, a complete map has {whole} bytes");
    }
}

/// Guards against a group that gets no new map while one of its agents has just started. It happens
/// when that agent receives a change of a map that it lacks and nobody sends it the complete map.
#[gtest]
fn an_agent_without_the_base_map_receives_the_complete_map() {
    let mut group = Group::new();
    group.change(0);
    let mut sent = Vec::new();
    let mut number_of_5 = None;
    for _ in 0..100 {
        group.now_ms += TICK_MS;
        let now = BootMs(group.now_ms);
        for rank in 0..RANKS {
            let status = status(rank, group.map, None, group.now_ms / 60, 3);
            group.leader.on_status(now, status, &DIMENSIONS);
        }
        for action in group.leader.tick(now, &DIMENSIONS) {
            let LeaderAction::Send { rank, number, order, .. } = action else { continue };
            if rank == 5 {
                sent.push(order.kind.as_str());
                let is_first = number_of_5.replace(number).is_none();
                let end = if is_first { OrderOutcome::LacksMap } else { OrderOutcome::Done };
                group.leader.on_order_outcome(rank, number, end);
            } else {
                group.leader.on_order_outcome(rank, number, OrderOutcome::Done);
            }
        }
    }
    expect_that!(sent, eq(&vec!["prepare-change", "prepare"]));
}

/// Guards against a leader that goes silent for 0.7 s after each decision and is replaced. It
/// happens when the resend interval of 0.3 s counts from before a decision that takes 0.2 s, so
/// that 105 maps are resent at once to agents that have just received them.
#[gtest]
fn resent_maps_do_not_fill_the_link() {
    let mut leader = Leader::new("g", 0, 1 << 20, 1);
    let mut first_ms: Option<u64> = None;
    let mut resent_ms = Vec::new();
    let mut sent: IndexMap<u16, u32> = IndexMap::new();
    for tick in 0..60 {
        let mut now_ms = 10_000 + tick * TICK_MS + first_ms.map_or(0, |_| DECISION_MS);
        for rank in 0..RANKS {
            leader.on_status(BootMs(now_ms), status(rank, 0, None, tick, 0), &DIMENSIONS);
        }
        let decided = leader.decide(BootMs(now_ms), &DIMENSIONS);
        if !decided.is_empty() {
            now_ms += DECISION_MS;
            first_ms.get_or_insert(now_ms);
        }
        for action in leader.due_orders(BootMs(now_ms)) {
            let LeaderAction::Send { rank, .. } = action else { continue };
            let times = sent.entry(rank).or_default();
            *times += 1;
            if *times > 1 {
                resent_ms.push(now_ms);
            }
        }
    }
    let first_ms = first_ms.expect("a decision");
    expect_that!(resent_ms.iter().all(|at| *at >= first_ms + 300), eq(true), "{resent_ms:?}");
    expect_that!(resent_ms.len(), gt(MAX_RESENT_IN_100_MS), "no order was resent");
    for at in &resent_ms {
        let within = resent_ms.iter().filter(|it| (*at..at + 100).contains(*it)).count();
        expect_that!(within, le(MAX_RESENT_IN_100_MS), "from {at} ms on");
    }
}

/// A change does not apply to a map of another shape.
#[gtest]
fn a_change_does_not_apply_to_a_map_of_another_shape() {
    let map = |layers: usize, ranks: u16| {
        let held = vec![vec![0]; usize::from(ranks)];
        ExpertMap::from_known_rank(0, ranks, &vec![held[0].clone(); layers], 8)
    };
    let change =
        MapDelta::between(&map(2, 4), &ExpertMap::from_known_rank(1, 4, &[vec![1], vec![2]], 8));
    expect_that!(change.apply(&map(2, 4)), some(anything()));
    expect_that!(change.apply(&map(3, 4)), none());
    expect_that!(change.apply(&map(2, 1)), none());
}

/// Generates a map of 3 layers and 7 ranks with up to 4 experts each.
fn any_map() -> impl Strategy<Value = ExpertMap> {
    let experts = collection::vec(0..20_u16, 0..4);
    let layer = collection::vec(experts, 7).prop_map(|it| LayerPlacement { experts_of_rank: it });
    collection::vec(layer, 3).prop_map(|layers| ExpertMap { layers })
}

proptest! {
    /// The change between any two maps turns one into the other, also after serialisation.
    #[test]
    fn a_change_turns_the_base_into_the_target(base in any_map(), target in any_map()) {
        let bytes = postcard::to_stdvec(&MapDelta::between(&base, &target)).expect("serialises");
        let change: MapDelta = postcard::from_bytes(&bytes).expect("deserialises");
        prop_assert_eq!(change.apply(&base), Some(target));
    }

    /// Arbitrary bytes yield no map or one with the shape of the base, without a panic.
    #[test]
    fn arbitrary_bytes_never_change_the_shape(base in any_map(), bytes in collection::vec(any::<u8>(), 0..80)) {
        let change: Result<MapDelta, _> = postcard::from_bytes(&bytes);
        if let Some(map) = change.ok().and_then(|change| change.apply(&base)) {
            prop_assert_eq!(map.layers.len(), base.layers.len());
            prop_assert_eq!(map.ranks(), base.ranks());
        }
    }
}
