//! The whole system under random failures: callers, entries, agents, backend servers and the
//! platform in one thread and in virtual time, judged by an observer that shares nothing with the
//! cores.

#[path = "whole_system/mod.rs"]
mod world;

use world::World;
use world::adapter::Switches;

/// Seeds of the run in CI.
const SEEDS: u64 = 16;
/// How many seeds to try instead.
const WIDEN: &str = "HICKORYCROSS_SEEDS";
/// The one seed to replay.
const REPLAY: &str = "HICKORYCROSS_SEED";

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn what_must_always_hold_holds_under_failure() {
    let seeds = match (number(REPLAY), number(WIDEN)) {
        (Some(seed), _) => seed..seed + 1,
        (None, Some(count)) => 0..count,
        (None, None) => 0..SEEDS,
    };
    println!("seeds {seeds:?}");
    let outcomes = world::run_all(seeds.clone(), Switches::default());
    println!("{:?}", outcomes.sums);
    for failure in &outcomes.failures {
        println!("{failure}");
    }
    assert!(outcomes.failures.is_empty(), "{} seeds failed", outcomes.failures.len());
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let sums = |seed| {
        let mut world = World::new(seed, Switches::default());
        let outcome = world.run();
        (outcome, world.elapsed_ms(), format!("{:?}", world.observer.tally))
    };
    assert_eq!(sums(3), sums(3));
}
