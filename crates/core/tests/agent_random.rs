//! Random simulations of one agent with unreliable links and a failing backend server, checked by
//! an observer that shares no state with the agent.

mod agent_harness;
mod agent_simulation;

use agent_harness::{Mechanism, mechanisms};
use agent_simulation::Simulation;
use hickorycross_core::agent::Mechanisms;
use std::panic::catch_unwind;

const RUNS: u64 = 200;
const STEPS: usize = 600;

fn run(seed: u64, mechanisms: Mechanisms) -> Simulation {
    let mut simulation = Simulation::with_mechanisms(seed, mechanisms);
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation.finish();
    simulation
}

#[test]
fn invariants_hold_in_random_runs() {
    let mut starts = 0;
    let mut replays = 0;
    for seed in 0..RUNS {
        let simulation = run(seed, Mechanisms::default());
        starts += simulation.observer.starts();
        replays += simulation.harness.core.counters().key_replays;
    }
    println!("{starts} starts, {replays} replays in {RUNS} runs");
    assert!(
        starts > 10 * RUNS as usize && replays > RUNS,
        "too few starts or replays to be meaningful"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let log = |seed| {
        let mut simulation = Simulation::new(seed);
        (0..STEPS).for_each(|_| simulation.step());
        simulation.harness.log
    };
    for seed in [1, 2, 3] {
        assert!(log(seed) == log(seed), "seed {seed}");
    }
}

const DETECTED_MECHANISMS: &[Mechanism] = mechanisms!(
    duplicate_detection,
    refusal_records,
    tombstones,
    forgotten_watermark,
    deadline_recheck,
    key_table,
    key_recheck_at_start,
    key_content_check,
    key_check_before_refusal,
    refuse_queued_on_drain,
);

// Shows that the observer detects the failures that each mechanism prevents. The agent's own start
// guard is disabled as well, so that it cannot prevent them instead.
#[test]
fn observer_detects_each_disabled_mechanism() {
    for mechanism in DETECTED_MECHANISMS {
        let unguarded = Mechanisms { start_guard: false, ..Mechanisms::default() };
        let mechanisms = mechanism.without(unguarded);
        let detected = (0..RUNS).any(|seed| catch_unwind(|| drop(run(seed, mechanisms))).is_err());
        assert!(detected, "{} is disabled, but no failure was detected", mechanism.name);
    }
}
