//! Evening out the ranks of a group by a bounded number of copies.

use googletest::prelude::*;
use hickorycross_core::placement::{
    ExpertMap, GroupShape, LayerPlacement, RebalanceLimits, bottleneck_load, rebalance_map,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: u16 = 12;
const EXPERTS: u16 = 72;
const LAYERS: u16 = 4;
const SETTINGS: RebalanceLimits = RebalanceLimits {
    slots_per_rank: 8,
    max_new_per_rank_and_layer: 3,
    max_new_per_rank: 5,
    target_imbalance: 1.08,
};

fn in_turn() -> ExpertMap {
    let of_rank = |rank| (0..EXPERTS).filter(|expert| expert % RANKS == rank).collect();
    let layer = LayerPlacement { experts_of_rank: (0..RANKS).map(of_rank).collect() };
    ExpertMap { layers: vec![layer; usize::from(LAYERS)] }
}

/// Loads whose hottest experts carry several times the mean, as seen on model groups.
fn loads(seed: u64) -> Vec<Vec<f64>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut layer = || {
        let mut loads: Vec<f64> =
            (1..=EXPERTS).map(|rank| 1e5 / f64::from(rank).powf(1.1)).collect();
        for index in (1..loads.len()).rev() {
            loads.swap(index, rng.random_range(0..=index));
        }
        loads
    };
    (0..LAYERS).map(|_| layer()).collect()
}

fn even(loads: &[Vec<f64>]) -> f64 {
    loads.iter().flatten().sum::<f64>() / f64::from(RANKS)
}

struct Case {
    name: &'static str,
    slow_rank: Option<(usize, f64)>,
    settings: RebalanceLimits,
    /// Bottleneck after one change, against an even load.
    most_after: f64,
}

/// One change brings the bottleneck near an even load, within the bounds of copies.
#[gtest]
fn one_change_evens_out_within_its_bounds() {
    let cases = [
        Case { name: "usual", slow_rank: None, settings: SETTINGS, most_after: 1.35 },
        Case {
            name: "few copies",
            slow_rank: None,
            settings: RebalanceLimits { max_new_per_rank: 2, ..SETTINGS },
            most_after: 2.0,
        },
        Case {
            name: "a slow rank",
            slow_rank: Some((3, 4.0)),
            settings: RebalanceLimits { max_new_per_rank: 12, ..SETTINGS },
            most_after: 1.6,
        },
    ];
    let shape = GroupShape {
        ranks: RANKS,
        layers: LAYERS,
        experts_per_layer: EXPERTS,
        expert_slots_per_rank: 8,
        expert_bytes: 1,
    };
    for case in cases {
        for seed in 0..20 {
            let (present, loads) = (in_turn(), loads(seed));
            let mut paces = vec![1.0; usize::from(RANKS)];
            if let Some((rank, pace)) = case.slow_rank {
                paces[rank] = pace;
            }
            let map = rebalance_map(&present, &loads, &paces, &case.settings);
            expect_that!(map.validate(&shape), ok(anything()), "{} seed {seed}", case.name);
            let after = bottleneck_load(&map, &loads, &paces) / even(&loads);
            expect_that!(after, le(case.most_after), "{} seed {seed}", case.name);
            let copies = present.weight_loads_for(&map);
            for rank in 0..RANKS {
                let of_rank = copies.iter().filter(|copy| copy.rank == rank);
                expect_that!(
                    of_rank.clone().count(),
                    le(usize::from(case.settings.max_new_per_rank)),
                    "{} seed {seed}",
                    case.name
                );
                for layer in 0..LAYERS {
                    let of_layer = of_rank.clone().filter(|copy| copy.layer == layer).count();
                    expect_that!(of_layer, le(3), "{} seed {seed}", case.name);
                }
            }
        }
    }
}

/// An even map is left as it is.
#[gtest]
fn an_even_map_is_left_alone() {
    let loads = vec![vec![100.0; usize::from(EXPERTS)]; usize::from(LAYERS)];
    let paces = vec![1.0; usize::from(RANKS)];
    let map = rebalance_map(&in_turn(), &loads, &paces, &SETTINGS);
    expect_that!(map, eq(&in_turn()));
}
