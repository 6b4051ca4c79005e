//! Tests that all ranks use one expert map in every pass, whatever happens to orders and leaders.

mod map_change_support;

use googletest::prelude::*;
use hickorycross_core::map_change::Leader;
use map_change_support::{DIMENSIONS, Faults, RANKS, World};

/// Virtual duration of one run.
const RUN_MS: u64 = 40_000;

/// Longest time for which a group may stall although all ranks are reachable. Arming times out
/// after 1.2 s, and an undo takes three rounds, each of which may meet several unanswered orders.
const MAX_STALL_MS: u64 = 4_500;

/// Longest stall when the instance of a leader freezes for 3 to 5 s and no order is lost. Its
/// silence is noticed after 0.1 s, the other ranks are polled within 60 ms, and an undo takes three
/// rounds.
const MAX_STALL_FROZEN_LEADER_MS: u64 = 500;

/// Longest stall when orders are lost as well. It may be unknown whether the rank of the frozen
/// leader is armed until its instance resumes, after at most 5 s, and the next leader may freeze
/// before that.
const MAX_STALL_UNKNOWN_ARM_MS: u64 = 8_000;

/// Longest stall without faults.
const MAX_STALL_WITHOUT_FAULTS_MS: u64 = 0;

struct Case {
    name: &'static str,
    faults: Faults,
    seeds: std::ops::Range<u64>,
    min_switches: u64,
    longest_stall_ms: u64,
}

/// Guards against a pass that begins while two ranks have different maps, which corrupts answers.
/// It happens when a held pass is released before every rank refuses the orders of the abandoned
/// change: an unanswered order to arm is carried out seconds later, after its leader has given up
/// or crashed, or a frozen leader resumes where it stopped. The model asserts that all ranks have
/// one map in each pass that begins.
#[gtest]
fn all_ranks_use_the_same_map_in_every_pass() {
    let cases = [
        Case {
            name: "no faults",
            faults: Faults::default(),
            seeds: 0..3,
            min_switches: 5,
            longest_stall_ms: MAX_STALL_FROZEN_LEADER_MS,
        },
        Case {
            name: "instances freeze right after ordering a hold",
            faults: Faults { hold_sender_freezes_permille: 400, ..Faults::default() },
            seeds: 0..25,
            min_switches: 2,
            longest_stall_ms: MAX_STALL_FROZEN_LEADER_MS,
        },
        Case {
            name: "instances of leaders freeze while a rank holds a pass",
            faults: Faults { leader_freezes_permille: 60, ..Faults::default() },
            seeds: 0..25,
            min_switches: 2,
            longest_stall_ms: MAX_STALL_FROZEN_LEADER_MS,
        },
        Case {
            name: "instances freeze, ranks ignore fencing numbers and orders are delayed",
            faults: Faults {
                hold_sender_freezes_permille: 200,
                leader_freezes_permille: 30,
                late_permille: 200,
                answer_lost_permille: 100,
                ignores_fences: true,
                ..Faults::default()
            },
            seeds: 0..20,
            min_switches: 0,
            longest_stall_ms: MAX_STALL_UNKNOWN_ARM_MS,
        },
        Case {
            name: "answers are lost",
            faults: Faults { answer_lost_permille: 400, ..Faults::default() },
            seeds: 0..20,
            min_switches: 3,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "orders are delayed",
            faults: Faults { late_permille: 400, ..Faults::default() },
            seeds: 0..30,
            min_switches: 1,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "ranks occasionally refuse orders",
            faults: Faults { refused_permille: 100, ..Faults::default() },
            seeds: 0..30,
            min_switches: 3,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "leaders crash and freeze",
            faults: Faults { leader_fails_permille: 10, ..Faults::default() },
            seeds: 0..30,
            min_switches: 3,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "agents restart and lose their maps",
            faults: Faults { agent_restarts_permille: 5, ..Faults::default() },
            seeds: 0..20,
            min_switches: 3,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "agents restart, leaders crash and orders are delayed",
            faults: Faults {
                agent_restarts_permille: 3,
                leader_fails_permille: 5,
                late_permille: 200,
                ..Faults::default()
            },
            seeds: 0..20,
            min_switches: 0,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "all faults combined",
            faults: Faults {
                late_permille: 300,
                answer_lost_permille: 200,
                leader_fails_permille: 5,
                ..Faults::default()
            },
            seeds: 0..50,
            min_switches: 0,
            longest_stall_ms: MAX_STALL_MS,
        },
    ];
    for case in cases {
        for seed in case.seeds {
            let mut world = World::new(seed, case.faults);
            world.run(RUN_MS);
            expect_that!(world.switches, ge(case.min_switches), "{} seed {seed}", case.name);
            expect_that!(
                world.longest_stall_ms,
                le(case.longest_stall_ms),
                "{} seed {seed}: the group stalled",
                case.name
            );
            expect_that!(world.step, gt(RUN_MS / 50 / 4), "{} seed {seed}", case.name);
        }
    }
}

/// Guards against orders built from the statuses of another group. A service may have two groups
/// whose ranks have the same numbers, and the leader of one may receive statuses of the other.
#[gtest]
fn statuses_of_another_group_are_ignored() {
    let mut world = World::new(1, Faults::default());
    let mut leader = Leader::new("another group", 0, 1, 1);
    for _ in 0..20 {
        world.run(100);
        for rank in 0..usize::from(RANKS) {
            leader.on_status(world.now, world.status(rank), &DIMENSIONS);
        }
        expect_that!(leader.tick(world.now, &DIMENSIONS), is_empty());
    }
    expect_that!(leader.known_map(), none());
}

/// Guards against a stall of some tens of milliseconds in every change. It happens when a rank
/// holds the very next pass, because arming all ranks takes longer than the rest of the running
/// pass.
#[gtest]
fn a_change_without_faults_does_not_stall_the_group() {
    for seed in 0..10 {
        let mut world = World::new(seed, Faults::default());
        world.run(RUN_MS);
        expect_that!(world.switches, ge(5), "seed {seed}");
        expect_that!(world.longest_stall_ms, le(MAX_STALL_WITHOUT_FAULTS_MS), "seed {seed}");
        expect_that!(world.leader_count(), eq(1), "seed {seed}");
    }
}
