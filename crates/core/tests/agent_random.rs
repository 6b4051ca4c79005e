//! Long random runs of one agent between entries that lose touch and a backend server that fails,
//! judged by an observer that shares nothing with the agent.

mod agent_rig;
mod agent_world;

use agent_rig::{Mechanism, mechanisms};
use agent_world::World;
use hickorycross_core::agent::Mechanisms;
use std::panic::catch_unwind;

const RUNS: u64 = 200;
const STEPS: usize = 600;

fn run(seed: u64, mechanisms: Mechanisms) -> World {
    let mut world = World::with_mechanisms(seed, mechanisms);
    for _ in 0..STEPS {
        world.step();
    }
    world.finish();
    world
}

#[test]
fn invariants_hold_in_random_runs() {
    let mut starts = 0;
    let mut replays = 0;
    for seed in 0..RUNS {
        let world = run(seed, Mechanisms::default());
        starts += world.observer.starts();
        replays += world.rig.core.counters().key_replays;
    }
    println!("{starts} starts, {replays} replays in {RUNS} runs");
    assert!(starts > 10 * RUNS as usize && replays > RUNS, "the runs exercise little");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let log = |seed| {
        let mut world = World::new(seed);
        (0..STEPS).for_each(|_| world.step());
        world.rig.log
    };
    for seed in [1, 2, 3] {
        assert!(log(seed) == log(seed), "seed {seed}");
    }
}

const SEEN: &[Mechanism] = mechanisms!(
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

// The observer is worth something only if it sees what each mechanism prevents. The agent's own
// guard is off as well, so that the observer is alone.
#[test]
fn the_observer_sees_each_mechanism_missing() {
    for mechanism in SEEN {
        let unguarded = Mechanisms { start_guard: false, ..Mechanisms::default() };
        let mechanisms = mechanism.without(unguarded);
        let seen = (0..RUNS).any(|seed| catch_unwind(|| drop(run(seed, mechanisms))).is_err());
        assert!(seen, "{} is missing and nothing was seen", mechanism.name);
    }
}
