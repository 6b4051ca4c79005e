//! Tests of how soon a reformed group has a balanced map, whatever the phase of its last change.

mod map_change_support;

use googletest::prelude::*;
use map_change_support::{Faults, TICK_MS, World};

/// Virtual duration of one run.
const RUN_MS: u64 = 40_000;

/// Time within which a change begins in a group that is complete and responds.
const CHANGE_BEGUN_MS: u64 = 700;

/// Duration of a change until its map is in use, copies included.
const CHANGE_MS: u64 = 700;

/// Duration of a change when many orders are lost or delayed.
const LOSSY_CHANGE_MS: u64 = 3_000;

struct Case {
    name: &'static str,
    faults: Faults,
    longest_change_ms: u64,
}

fn cases() -> [Case; 6] {
    [
        Case {
            name: "no further faults",
            faults: Faults { rank_crashes_permille: 30, ..Faults::default() },
            longest_change_ms: CHANGE_MS,
        },
        Case {
            name: "answers are lost",
            faults: Faults {
                rank_crashes_permille: 30,
                answer_lost_permille: 400,
                ..Faults::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "orders are delayed",
            faults: Faults { rank_crashes_permille: 20, late_permille: 300, ..Faults::default() },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "ranks ignore fencing numbers and answers are lost",
            faults: Faults {
                rank_crashes_permille: 30,
                answer_lost_permille: 200,
                ignores_fences: true,
                ..Faults::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "ranks occasionally refuse orders",
            faults: Faults { rank_crashes_permille: 30, refused_permille: 60, ..Faults::default() },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "leaders crash and freeze",
            faults: Faults {
                rank_crashes_permille: 20,
                leader_fails_permille: 3,
                ..Faults::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
    ]
}

// Guards against a leader that waits for the end of a change of a previous epoch.
#[gtest]
fn a_reformed_group_gets_a_balanced_map() {
    for case in cases() {
        for seed in 0..40 {
            let mut world = World::new(seed, case.faults);
            world.run(RUN_MS);
            expect_that!(world.formations, ge(1), "{} seed {seed}", case.name);
            let max_ms = CHANGE_BEGUN_MS + case.longest_change_ms;
            expect_that!(
                world.longest_initial_map_ms,
                le(max_ms),
                "{} seed {seed}: the group kept its initial map",
                case.name
            );
        }
    }
}

// Guards against the same fault, with a crash at every moment of a change.
#[gtest]
fn a_crash_at_any_moment_of_a_change_does_not_block_the_leader() {
    /// Number of moments, from before the decision for a change until its map is in use.
    const MOMENTS: u64 = 100;
    for moment in 0..MOMENTS {
        for crashed in 0..6 {
            let mut world = World::new(moment, Faults::default());
            world.run(moment * TICK_MS);
            world.crash_ranks(&[crashed]);
            world.run(4_000);
            expect_that!(
                world.longest_initial_map_ms,
                le(CHANGE_BEGUN_MS + CHANGE_MS),
                "rank {crashed} crashes at {} ms",
                moment * TICK_MS
            );
        }
    }
}
