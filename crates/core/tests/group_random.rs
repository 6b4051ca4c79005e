//! Long randomised runs of a group under faults: never two maps in one step, and steps again
//! within the stated bound once every member is reachable.
//!
//! `HICKORYCROSS_SEEDS` sets the number of seeds, `HICKORYCROSS_SEED` runs a single one.

#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_fleet.rs"]
mod group_fleet;

#[path = "support/group_storm.rs"]
mod group_storm;

use group_storm::{Kind, Storm};
use hickorycross_core::group::Mechanisms;

const DEFAULT_SEEDS: u64 = 200;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn a_group_never_mixes_maps_and_steps_again_after_faults() {
    let seeds = match number("HICKORYCROSS_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("HICKORYCROSS_SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    let mut failed = Vec::new();
    let mut totals = group_storm::Totals::default();
    for seed in seeds.clone() {
        let kind = if seed % 2 == 0 { Kind::Matching } else { Kind::Ignoring };
        let outcome = Storm::new(seed, kind, Mechanisms::ALL).run();
        totals.add(&outcome);
        if let Some(fault) = outcome.fault {
            println!("HICKORYCROSS_SEED={seed}: {fault}");
            failed.push(seed);
        }
    }
    println!("seeds {seeds:?}: {totals:?}");
    assert!(failed.is_empty(), "failing seeds: {failed:?}");
}
