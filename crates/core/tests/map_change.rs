//! One expert map in every pass, whatever becomes of orders and leaders.

mod map_change_support;

use googletest::prelude::*;
use hickorycross_core::map_change::Leader;
use map_change_support::{DIMENSIONS, RANKS, Trouble, World};

/// Virtual time of one run.
const RUN_MS: u64 = 40_000;

/// Longest time for which a group may stand still although all ranks can be reached.
///
/// Arming is given up after 1.2 s; undoing takes three rounds, each of which may meet unanswered
/// orders several times.
const LONGEST_STANDING_MS: u64 = 4_500;

/// The same when a machine that led freezes for 3 to 5 s and no order is lost: its silence is noticed
/// after 0.1 s, the others are polled within 60 ms, and undoing takes three rounds.
const LONGEST_WITH_FROZEN_LEADER_MS: u64 = 500;

/// The same when orders are lost as well: the rank beside a frozen leader may have taken the order to
/// switch or not, and only its machine can tell when it wakes, after 5 s at most. The next leader may
/// freeze before that.
const LONGEST_IN_DOUBT_MS: u64 = 8_000;

/// The same when nothing fails.
const LONGEST_WITHOUT_TROUBLE_MS: u64 = 0;

struct Case {
    name: &'static str,
    trouble: Trouble,
    seeds: std::ops::Range<u64>,
    least_switches: u64,
    longest_standing_ms: u64,
}

/// Symptom: a pass begins while two ranks have different maps, and answers are spoiled.
///
/// Events: an order to switch gets no answer and is carried out seconds later, after the leader has
/// given up or died, or a frozen leader wakes and goes on where it stopped.
///
/// Cause: letting a held pass go before every rank refuses the orders of the abandoned change. The
/// model asserts one map in each pass that begins.
#[gtest]
fn every_pass_has_one_map() {
    let cases = [
        Case {
            name: "no trouble",
            trouble: Trouble::default(),
            seeds: 0..3,
            least_switches: 5,
            longest_standing_ms: LONGEST_WITH_FROZEN_LEADER_MS,
        },
        Case {
            name: "machines freeze that have just ordered a hold",
            trouble: Trouble { giver_freezes_permille: 400, ..Trouble::default() },
            seeds: 0..25,
            least_switches: 2,
            longest_standing_ms: LONGEST_WITH_FROZEN_LEADER_MS,
        },
        Case {
            name: "machines that lead freeze while a rank holds",
            trouble: Trouble { leader_freezes_permille: 60, ..Trouble::default() },
            seeds: 0..25,
            least_switches: 2,
            longest_standing_ms: LONGEST_WITH_FROZEN_LEADER_MS,
        },
        Case {
            name: "machines freeze, ranks heed no fence and orders come late",
            trouble: Trouble {
                giver_freezes_permille: 200,
                leader_freezes_permille: 30,
                late_permille: 200,
                lost_permille: 100,
                ignores_fences: true,
                ..Trouble::default()
            },
            seeds: 0..20,
            least_switches: 0,
            longest_standing_ms: LONGEST_IN_DOUBT_MS,
        },
        Case {
            name: "answers are lost",
            trouble: Trouble { lost_permille: 400, ..Trouble::default() },
            seeds: 0..20,
            least_switches: 3,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
        Case {
            name: "orders are carried out late",
            trouble: Trouble { late_permille: 400, ..Trouble::default() },
            seeds: 0..30,
            least_switches: 1,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
        Case {
            name: "ranks refuse orders at times",
            trouble: Trouble { refused_permille: 100, ..Trouble::default() },
            seeds: 0..30,
            least_switches: 3,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
        Case {
            name: "leaders die and freeze",
            trouble: Trouble { leader_gone_permille: 10, ..Trouble::default() },
            seeds: 0..30,
            least_switches: 3,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
        Case {
            name: "agents start anew and know no map",
            trouble: Trouble { agent_restarts_permille: 5, ..Trouble::default() },
            seeds: 0..20,
            least_switches: 3,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
        Case {
            name: "agents start anew, leaders die and orders come late",
            trouble: Trouble {
                agent_restarts_permille: 3,
                leader_gone_permille: 5,
                late_permille: 200,
                ..Trouble::default()
            },
            seeds: 0..20,
            least_switches: 0,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
        Case {
            name: "everything together",
            trouble: Trouble {
                late_permille: 300,
                lost_permille: 200,
                leader_gone_permille: 5,
                ..Trouble::default()
            },
            seeds: 0..50,
            least_switches: 0,
            longest_standing_ms: LONGEST_STANDING_MS,
        },
    ];
    for case in cases {
        for seed in case.seeds {
            let mut world = World::new(seed, case.trouble);
            world.run(RUN_MS);
            expect_that!(world.switches, ge(case.least_switches), "{} seed {seed}", case.name);
            expect_that!(
                world.longest_standing_ms,
                le(case.longest_standing_ms),
                "{} seed {seed}: the group stood still",
                case.name
            );
            expect_that!(world.step, gt(RUN_MS / 50 / 4), "{} seed {seed}", case.name);
        }
    }
}

/// Symptom: a group is told to hold passes and to switch maps that are another group's.
///
/// Events: a service has two groups, whose ranks have the same numbers; the leader of one hears the
/// ranks of the other.
///
/// Cause: taking a rank's number for its name.
#[gtest]
fn another_groups_ranks_are_not_heard() {
    let mut world = World::new(1, Trouble::default());
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

/// Symptom: a group stands for some tens of milliseconds in every change of its map.
///
/// Events: nothing fails; a rank holds the very next pass, and all ranks are armed after that pass should
/// have begun.
///
/// Cause: arming takes longer than what is left of the pass that runs.
#[gtest]
fn a_change_that_meets_no_trouble_holds_nothing_up() {
    for seed in 0..10 {
        let mut world = World::new(seed, Trouble::default());
        world.run(RUN_MS);
        expect_that!(world.switches, ge(5), "seed {seed}");
        expect_that!(world.longest_standing_ms, le(LONGEST_WITHOUT_TROUBLE_MS), "seed {seed}");
        expect_that!(world.leaders_begun(), eq(1), "seed {seed}");
    }
}
