//! How the map for a large group reaches its ranks.

#[path = "support/rank_status.rs"]
mod rank_status;

use hickorycross_core::direct::{BootMs, GroupDimensions};
use hickorycross_core::map_change::{
    CountsSample, Leader, LeaderAction, OrderKind, OrderOutcome, RankStatus,
};
use indexmap::{IndexMap, IndexSet};
use rank_status::open_rank;

const LAYERS: u16 = 8;
const EXPERTS_PER_RANK: u16 = 4;
const SLOTS: u16 = 5;

/// Time in which every rank is to have its map, if all agents are heard.
const REACHED_MS: u64 = 100;
/// Time in which it is to be told by the leader itself if nobody passes the order on.
const TOLD_AGAIN_MS: u64 = 400;

struct Case {
    name: &'static str,
    ranks: u16,
    /// The agent, by its place among those that pass orders on, that is gone.
    gone: Option<usize>,
    /// Orders that the leader itself sends in one moment, at most.
    most_sent: usize,
}

const CASES: &[Case] = &[
    Case { name: "a small group", ranks: 12, gone: None, most_sent: 12 },
    Case { name: "a large group", ranks: 64, gone: None, most_sent: 9 },
    Case { name: "a large group, an agent is gone", ranks: 64, gone: Some(2), most_sent: 9 },
    Case { name: "a very large group", ranks: 144, gone: None, most_sent: 13 },
];

const fn dimensions(case: &Case) -> GroupDimensions {
    GroupDimensions {
        layers: LAYERS,
        experts_per_layer: case.ranks * EXPERTS_PER_RANK,
        expert_slots_per_rank: SLOTS,
        spare_slots_per_rank: 2,
    }
}

/// A rank's word while every second expert is in demand, all of which ranks with even numbers hold.
fn status(case: &Case, rank: u16) -> RankStatus {
    let experts = dimensions(case).experts_per_layer;
    let held: Vec<u16> = (0..EXPERTS_PER_RANK).map(|row| row * case.ranks + rank).collect();
    let choices = (0..experts).map(|it| if it % 2 == 0 { 9_000 } else { 1_000 });
    let choices: Vec<u32> = choices.collect::<Vec<_>>().repeat(usize::from(LAYERS));
    RankStatus {
        counts: CountsSample::of(&choices),
        experts: Some(vec![held; usize::from(LAYERS)]),
        ..open_rank(rank, case.ranks)
    }
}

/// When each rank's agent was first sent its map, and what the leader sent itself at once at most.
struct Told {
    begun_at_ms: Option<u64>,
    reached_at_ms: IndexMap<u16, u64>,
    most_sent: usize,
}

fn tell(case: &Case) -> Told {
    let mut leader = Leader::new("g", 0, 1 << 20, 1);
    let mut told = Told { begun_at_ms: None, reached_at_ms: IndexMap::new(), most_sent: 0 };
    let mut gone = None;
    for now_ms in (0..700).step_by(20) {
        let now = BootMs(now_ms);
        (0..case.ranks).for_each(|it| leader.on_status(now, status(case, it), &dimensions(case)));
        let orders = leader.tick(now, &dimensions(case)).into_iter().filter_map(|action| {
            let LeaderAction::Send { rank, relayed_by, number, order, .. } = action else {
                return None;
            };
            matches!(order.kind, OrderKind::Prepare { .. }).then_some((rank, relayed_by, number))
        });
        let orders: Vec<_> = orders.collect();
        if !orders.is_empty() && told.begun_at_ms.is_none() {
            told.begun_at_ms = Some(now_ms);
            let relays: IndexSet<u16> =
                orders.iter().filter_map(|(_, relayed_by, _)| *relayed_by).collect();
            gone = case.gone.map(|place| relays[place]);
        }
        let sent: Vec<u16> = orders
            .iter()
            .filter(|(_, relayed_by, _)| relayed_by.is_none())
            .map(|it| it.0)
            .collect();
        told.most_sent = told.most_sent.max(sent.len());
        for (rank, relayed_by, number) in orders {
            assert!(
                relayed_by.is_none_or(|relayed_by| sent.contains(&relayed_by)),
                "rank {rank} relayed_by {relayed_by:?}"
            );
            if relayed_by.is_some() && relayed_by == gone {
                continue;
            }
            told.reached_at_ms.entry(rank).or_insert(now_ms);
            if Some(rank) != gone {
                leader.on_order_outcome(rank, number, OrderOutcome::Done);
            }
        }
    }
    told
}

// Symptom: a group of 72 ranks is uneven for 0.75 s after each shift of demand.
// Sequence: a new map of 3 KB goes from the leader to one rank after the other, for 0.45 s.
// Cause: one small machine's link carried every copy.
#[test]
fn maps_for_large_groups_are_passed_on() {
    for case in CASES {
        let told = tell(case);
        assert_eq!(told.reached_at_ms.len(), usize::from(case.ranks), "{}", case.name);
        assert!(told.most_sent <= case.most_sent, "{}: {} at once", case.name, told.most_sent);
        let last_ms = told.reached_at_ms.values().max().copied().unwrap_or_default();
        let bound_ms = if case.gone.is_some() { TOLD_AGAIN_MS } else { REACHED_MS };
        let took_ms = last_ms - told.begun_at_ms.expect("a change");
        assert!(took_ms <= bound_ms, "{}: reached after {took_ms} ms", case.name);
    }
}
