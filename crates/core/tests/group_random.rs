//! Random runs of a group under faults.
//!
//! Ranks must never use different maps in one step, and the group must step again within the
//! stated bound once every member is reachable. `HICKORYCROSS_SEEDS` sets the number of seeds;
//! `HICKORYCROSS_SEED` runs a single one.

#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_fleet.rs"]
mod group_fleet;

#[path = "support/group_random_run.rs"]
mod group_random_run;

use group_random_run::{EpochHandling, RandomRun};
use hickorycross_core::group::Mechanisms;

const DEFAULT_SEEDS: u64 = 200;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn group_never_mixes_maps_and_resumes_after_faults() {
    let seeds = match number("HICKORYCROSS_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("HICKORYCROSS_SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    let mut failed = Vec::new();
    let mut totals = group_random_run::Totals::default();
    for seed in seeds.clone() {
        let epoch_handling =
            if seed % 2 == 0 { EpochHandling::Checked } else { EpochHandling::Ignored };
        let outcome = RandomRun::new(seed, epoch_handling, Mechanisms::ALL).run();
        totals.add(&outcome);
        if let Some(fault) = outcome.fault {
            println!("HICKORYCROSS_SEED={seed}: {fault}");
            failed.push(seed);
        }
    }
    println!("seeds {seeds:?}: {totals:?}");
    assert!(failed.is_empty(), "failing seeds: {failed:?}");
}
