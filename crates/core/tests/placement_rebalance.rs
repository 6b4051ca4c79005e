//! Balancing the ranks of a group with a bounded number of weight loads.

use googletest::prelude::*;
use hickorycross_core::placement::{
    ExpertMap, GroupShape, LayerPlacement, RebalanceLimits, bottleneck_load, rebalance_map,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: u16 = 12;
const EXPERTS: u16 = 72;
const LAYERS: u16 = 4;
const LIMITS: RebalanceLimits = RebalanceLimits {
    slots_per_rank: 8,
    max_new_per_rank_and_layer: 3,
    max_new_per_rank: 5,
    target_imbalance: 1.08,
};

fn round_robin_map() -> ExpertMap {
    let of_rank = |rank| (0..EXPERTS).filter(|expert| expert % RANKS == rank).collect();
    let layer = LayerPlacement { experts_of_rank: (0..RANKS).map(of_rank).collect() };
    ExpertMap { layers: vec![layer; usize::from(LAYERS)] }
}

/// Returns loads whose hottest experts carry several times the mean, as in real model groups.
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

fn balanced_load(loads: &[Vec<f64>]) -> f64 {
    loads.iter().flatten().sum::<f64>() / f64::from(RANKS)
}

struct Case {
    name: &'static str,
    slow_rank: Option<(usize, f64)>,
    limits: RebalanceLimits,
    /// Maximum ratio of the bottleneck after one rebalance to a perfectly balanced load.
    max_bottleneck_ratio: f64,
}

/// One rebalance brings the bottleneck near a balanced load, within the limits on weight loads.
#[gtest]
fn one_rebalance_balances_ranks_within_its_limits() {
    let cases = [
        Case { name: "usual", slow_rank: None, limits: LIMITS, max_bottleneck_ratio: 1.35 },
        Case {
            name: "few weight loads",
            slow_rank: None,
            limits: RebalanceLimits { max_new_per_rank: 2, ..LIMITS },
            max_bottleneck_ratio: 2.0,
        },
        Case {
            name: "a slow rank",
            slow_rank: Some((3, 4.0)),
            limits: RebalanceLimits { max_new_per_rank: 12, ..LIMITS },
            max_bottleneck_ratio: 1.6,
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
            let (present, loads) = (round_robin_map(), loads(seed));
            let mut slowdowns = vec![1.0; usize::from(RANKS)];
            if let Some((rank, slowdown)) = case.slow_rank {
                slowdowns[rank] = slowdown;
            }
            let map = rebalance_map(&present, &loads, &slowdowns, &case.limits);
            expect_that!(map.validate(&shape), ok(anything()), "{} seed {seed}", case.name);
            let after = bottleneck_load(&map, &loads, &slowdowns) / balanced_load(&loads);
            expect_that!(after, le(case.max_bottleneck_ratio), "{} seed {seed}", case.name);
            let weight_loads = present.weight_loads_for(&map);
            for rank in 0..RANKS {
                let of_rank = weight_loads.iter().filter(|load| load.rank == rank);
                expect_that!(
                    of_rank.clone().count(),
                    le(usize::from(case.limits.max_new_per_rank)),
                    "{} seed {seed}",
                    case.name
                );
                for layer in 0..LAYERS {
                    let of_layer = of_rank.clone().filter(|load| load.layer == layer).count();
                    expect_that!(of_layer, le(3), "{} seed {seed}", case.name);
                }
            }
        }
    }
}

/// A balanced map is returned unchanged.
#[gtest]
fn balanced_map_is_unchanged() {
    let loads = vec![vec![100.0; usize::from(EXPERTS)]; usize::from(LAYERS)];
    let slowdowns = vec![1.0; usize::from(RANKS)];
    let map = rebalance_map(&round_robin_map(), &loads, &slowdowns, &LIMITS);
    expect_that!(map, eq(&round_robin_map()));
}
