//! How soon a group that was formed anew has an even map, wherever its last change stood.

mod map_change_support;

use googletest::prelude::*;
use map_change_support::{TICK_MS, Trouble, World};

/// Virtual time of one run.
const RUN_MS: u64 = 40_000;

/// Time after which a group that is whole and heard has a change under way.
const CHANGE_BEGUN_MS: u64 = 700;

/// Time that a change takes from its beginning until its map is in force, copies included.
const CHANGE_MS: u64 = 700;

/// The same while half of all orders are left unanswered.
const LOSSY_CHANGE_MS: u64 = 3_000;

struct Case {
    name: &'static str,
    trouble: Trouble,
    longest_change_ms: u64,
}

fn cases() -> [Case; 6] {
    [
        Case {
            name: "nothing else",
            trouble: Trouble { group_breaks_permille: 30, ..Trouble::default() },
            longest_change_ms: CHANGE_MS,
        },
        Case {
            name: "answers are lost",
            trouble: Trouble {
                group_breaks_permille: 30,
                lost_permille: 400,
                ..Trouble::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "orders are carried out late",
            trouble: Trouble {
                group_breaks_permille: 20,
                late_permille: 300,
                ..Trouble::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "ranks heed no fence and answers are lost",
            trouble: Trouble {
                group_breaks_permille: 30,
                lost_permille: 200,
                ignores_fences: true,
                ..Trouble::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "ranks refuse orders at times",
            trouble: Trouble {
                group_breaks_permille: 30,
                refused_permille: 60,
                ..Trouble::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
        Case {
            name: "leaders die and freeze",
            trouble: Trouble {
                group_breaks_permille: 20,
                leader_gone_permille: 3,
                ..Trouble::default()
            },
            longest_change_ms: LOSSY_CHANGE_MS,
        },
    ]
}

// Guards against a leader that waits for the end of a change of an epoch that is over.
#[gtest]
fn a_group_formed_anew_gets_an_even_map() {
    for case in cases() {
        for seed in 0..40 {
            let mut world = World::new(seed, case.trouble);
            world.run(RUN_MS);
            expect_that!(world.formations, ge(1), "{} seed {seed}", case.name);
            let most_ms = CHANGE_BEGUN_MS + case.longest_change_ms;
            expect_that!(
                world.longest_formed_map_ms,
                le(most_ms),
                "{} seed {seed}: the group kept the map that it was formed with",
                case.name
            );
        }
    }
}

// Guards against the same, with a crash at each moment of a change in turn.
#[gtest]
fn a_crash_at_any_moment_of_a_change_leaves_no_leader_waiting() {
    /// From before a change is decided upon until its map is in force.
    const MOMENTS: u64 = 100;
    for moment in 0..MOMENTS {
        for crashed in 0..6 {
            let mut world = World::new(moment, Trouble::default());
            world.run(moment * TICK_MS);
            world.break_group(&[crashed]);
            world.run(4_000);
            expect_that!(
                world.longest_formed_map_ms,
                le(CHANGE_BEGUN_MS + CHANGE_MS),
                "the rank {crashed} crashes at {} ms",
                moment * TICK_MS
            );
        }
    }
}
