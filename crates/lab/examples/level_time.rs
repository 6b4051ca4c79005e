//! Measures the time that a leader takes to find a map for a group whose demand has shifted, by the size
//! of the group. Ranks hold 2 experts of each of 16 layers and have a slot more.

use hickorycross_core::placement::{
    ExpertMap, LayerPlacement, RebalanceLimits, bottleneck_load, rebalance_map,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

const LAYERS: usize = 16;
const EXPERTS_PER_RANK: u16 = 2;
const SETTINGS: RebalanceLimits = RebalanceLimits {
    slots_per_rank: 3,
    max_new_per_rank_and_layer: 2,
    max_new_per_rank: 5,
    target_imbalance: 1.08,
};
/// Shifts of demand; the first one finds the map that the group was formed with.
const SHIFTS: u64 = 6;

fn main() {
    println!("| ranks | longest ms | mean ms | bottleneck before | after |");
    println!("|---|---|---|---|---|");
    for ranks in [32, 63, 129, 256, 512] {
        measure(ranks);
    }
}

fn measure(ranks: u16) {
    let experts = ranks * EXPERTS_PER_RANK;
    let of_rank = |rank| (0..experts).filter(|expert| expert % ranks == rank).collect();
    let layer = LayerPlacement { experts_of_rank: (0..ranks).map(of_rank).collect() };
    let mut map = ExpertMap { layers: vec![layer; LAYERS] };
    let paces = vec![1.0; usize::from(ranks)];
    let (mut sum_ms, mut longest_ms) = (0.0, 0.0_f64);
    let (mut before, mut after) = (0.0, 0.0);
    for seed in 0..SHIFTS {
        let loads = loads(seed, experts);
        let even = loads.iter().flatten().sum::<f64>() / f64::from(ranks);
        before += bottleneck_load(&map, &loads, &paces) / even;
        let begun = Instant::now();
        map = rebalance_map(&map, &loads, &paces, &SETTINGS);
        let took_ms = begun.elapsed().as_secs_f64() * 1e3;
        sum_ms += took_ms;
        longest_ms = longest_ms.max(took_ms);
        after += bottleneck_load(&map, &loads, &paces) / even;
    }
    let mean = |sum: f64| sum / SHIFTS as f64;
    println!(
        "| {ranks} | {longest_ms:.1} | {:.1} | {:.2} | {:.2} |",
        mean(sum_ms),
        mean(before),
        mean(after)
    );
}

/// Loads whose most chosen experts carry three times the mean.
fn loads(seed: u64, experts: u16) -> Vec<Vec<f64>> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut layer = || {
        let mut loads: Vec<f64> = (1..=experts).map(|place| f64::from(place).powf(-0.45)).collect();
        for index in (1..loads.len()).rev() {
            loads.swap(index, random.random_range(0..=index));
        }
        loads
    };
    (0..LAYERS).map(|_| layer()).collect()
}
