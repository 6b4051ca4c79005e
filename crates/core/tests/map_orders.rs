//! In which order a leader tells its ranks of a new map.

use hickorycross_core::direct::{BootMs, GroupDimensions};
use hickorycross_core::map_change::{CountsSample, Leader, LeaderAction, OrderKind, RankStatus};
use hickorycross_core::placement::{ExpertMap, LayerPlacement};

const RANKS: u16 = 16;
const SLOTS: u16 = 5;

/// Which experts of the one layer are in demand.
struct Case {
    name: &'static str,
    hot: &'static [usize],
}

const CASES: &[Case] = &[
    Case { name: "one of rank 0", hot: &[0] },
    Case { name: "all of rank 15", hot: &[15, 31, 47, 63] },
    Case { name: "of every second rank", hot: &[1, 3, 5, 7, 9, 11, 13] },
];

fn dimensions() -> GroupDimensions {
    GroupDimensions {
        layers: 1,
        experts_per_layer: RANKS * 4,
        expert_slots_per_rank: SLOTS,
        spare_slots_per_rank: 5,
    }
}

/// Experts in turn, as a group holds them first.
fn held(rank: u16) -> Vec<u16> {
    (0..4).map(|row| row * RANKS + rank).collect()
}

fn status(case: &Case, rank: u16) -> RankStatus {
    let experts = usize::from(dimensions().experts_per_layer);
    let choices: Vec<u32> =
        (0..experts).map(|it| if case.hot.contains(&it) { 60_000 } else { 2_000 }).collect();
    RankStatus {
        group: "g".to_owned(),
        rank,
        ranks: RANKS,
        epoch: 1,
        is_open: true,
        step: 1,
        map: 0,
        prepared: None,
        armed: None,
        held_step: None,
        highest_fence: 0,
        pace_permille: 1_000,
        is_from_afar: false,
        counts: CountsSample::of(&choices),
        experts: Some(vec![held(rank)]),
    }
}

/// How much each rank has to copy, in the order in which ranks are told.
fn copies_in_order(case: &Case) -> Vec<usize> {
    let mut leader = Leader::new("g", 0, 1 << 20, 1);
    let mut actions = Vec::new();
    for now in (0..1_000).step_by(20).map(BootMs) {
        (0..RANKS).for_each(|rank| leader.on_status(now, status(case, rank), &dimensions()));
        actions.extend(leader.tick(now, &dimensions()));
    }
    let layer = LayerPlacement { experts_of_rank: (0..RANKS).map(held).collect() };
    let present = ExpertMap { layers: vec![layer] };
    let told = actions.into_iter().filter_map(|action| match action {
        LeaderAction::Send { rank, order, .. } => match order.kind {
            OrderKind::Prepare { map, .. } => Some((rank, map)),
            _ => None,
        },
        LeaderAction::Note(_) => None,
    });
    let copies = |(rank, map): (u16, ExpertMap)| {
        present.loads_towards(&map).iter().filter(|load| load.rank == rank).count()
    };
    told.take(usize::from(RANKS)).map(copies).collect()
}

// Symptom: a change of a large group takes half a second longer than its copies.
// Sequence: the map goes out to one rank after the other; the rank with most to copy comes last.
// Cause: ranks were told by their numbers.
#[test]
fn ranks_with_most_to_copy_are_told_first() {
    for case in CASES {
        let copies = copies_in_order(case);
        assert_eq!(copies.len(), usize::from(RANKS), "{}", case.name);
        assert!(copies[0] > 0, "{}: nothing is copied", case.name);
        assert!(copies.is_sorted_by(|left, right| left >= right), "{}: {copies:?}", case.name);
    }
}
