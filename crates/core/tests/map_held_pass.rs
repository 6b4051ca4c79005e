//! Tests of how long a pass is held when instances and agents fail.

mod map_change_support;
#[path = "support/rank_status.rs"]
mod rank_status;

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    ArmAttempt, Armed, CountsSample, Leader, LeaderAction, OrderKind, OrderOutcome, RankStatus,
    Witness,
};
use map_change_support::{DIMENSIONS, Faults, World};
use rank_status::open_rank;

/// Virtual duration of one run.
const RUN_MS: u64 = 40_000;

/// Longest time for which a group stalls on a held pass while the instance of the holder works.
const MAX_STALL_MS: u64 = 300;

/// Longest stall while half of all orders are delayed.
const MAX_STALL_LATE_ORDERS_MS: u64 = 500;

struct Case {
    name: &'static str,
    faults: Faults,
    seeds: std::ops::Range<u64>,
    longest_stall_ms: u64,
}

// Guards against a group that stalls on a held pass because it waits for a frozen instance whose
// answer is not needed.
#[gtest]
fn a_held_pass_does_not_wait_for_a_silent_instance() {
    let cases = [
        Case {
            name: "the instance of a rank freezes while a map is prepared",
            faults: Faults { bystander_freezes_permille: 50, ..Faults::default() },
            seeds: 0..60,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "a third of all agents crash while a pass is held",
            faults: Faults { agents_die_permille: 60, ..Faults::default() },
            seeds: 0..60,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "the agents of the leader and the holder crash together",
            faults: Faults { leader_and_holder_die_permille: 60, ..Faults::default() },
            seeds: 0..60,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "successive leaders freeze after an order to hold",
            faults: Faults {
                hold_sender_freezes_permille: 600,
                leader_freezes_permille: 60,
                ..Faults::default()
            },
            seeds: 0..60,
            longest_stall_ms: MAX_STALL_MS,
        },
        Case {
            name: "leaders freeze after an order to hold, and half of all orders are delayed",
            faults: Faults {
                hold_sender_freezes_permille: 400,
                late_permille: 500,
                ..Faults::default()
            },
            seeds: 0..60,
            longest_stall_ms: MAX_STALL_LATE_ORDERS_MS,
        },
    ];
    for case in cases {
        for seed in case.seeds {
            let mut world = World::new(seed, case.faults);
            world.run(RUN_MS);
            expect_that!(
                world.longest_stall_ms,
                le(case.longest_stall_ms),
                "{} seed {seed}",
                case.name
            );
        }
    }
}

/// Number of ranks of the group with an abandoned change, the rank that holds and the rank of the
/// previous leader.
const RANKS: u16 = 5;
const HOLDER: u16 = 3;
const PREVIOUS_RANK: u16 = 2;
/// The held pass.
const HELD_STEP: u64 = 40;
/// Version of the map of the change.
const VERSION: u64 = 7 << 20;
/// Fencing number of the previous leader.
const PREVIOUS_FENCE: u64 = 1 << 20;

struct Abandoned {
    name: &'static str,
    /// Rank of the new leader.
    leader_rank: u16,
    /// The attempt of the holder's agent to arm the rank of the previous leader.
    ordered: Option<ArmAttempt>,
    /// Whether the other ranks are armed.
    are_armed: bool,
    /// Whether the rank of the previous leader responds.
    previous_responds: bool,
    /// Expected kinds of orders in the order of their first send, without consecutive repeats.
    orders: &'static [&'static str],
}

const UNCONFIRMED: ArmAttempt = ArmAttempt { step: HELD_STEP, is_armed: false };
const ARMED: ArmAttempt = ArmAttempt { step: HELD_STEP, is_armed: true };
const EARLIER: ArmAttempt = ArmAttempt { step: HELD_STEP - 9, is_armed: true };

impl Abandoned {
    fn status(&self, rank: u16, fence: u64) -> RankStatus {
        let holds = rank == HOLDER;
        let witness = Witness { fence: PREVIOUS_FENCE, rank: PREVIOUS_RANK, ordered: self.ordered };
        RankStatus {
            step: HELD_STEP - 1,
            prepared: Some(VERSION),
            armed: self.are_armed.then_some(Armed { version: VERSION, step: HELD_STEP }),
            held_step: holds.then_some(HELD_STEP),
            witness: holds.then_some(witness),
            highest_fence: fence,
            ..open_rank(rank, RANKS)
        }
    }

    /// Returns the kinds of orders that a new leader sends in this state if all are carried out at
    /// once.
    fn sent_orders(&self) -> Vec<&'static str> {
        let mut leader = Leader::new("g", self.leader_rank, 2 << 20, 1);
        let mut kinds = Vec::new();
        let mut is_held = true;
        for now in (0..500).step_by(20).map(BootMs) {
            let heard = (0..RANKS).filter(|rank| self.previous_responds || *rank != PREVIOUS_RANK);
            for rank in heard {
                let status = self.status(rank, leader.fence());
                let held_step = status.held_step.filter(|_| is_held);
                leader.on_status(now, RankStatus { held_step, ..status }, &DIMENSIONS);
            }
            for action in leader.tick(now, &DIMENSIONS) {
                let LeaderAction::Send { rank, number, order, .. } = action else { continue };
                is_held &= !matches!(order.kind, OrderKind::Go { .. });
                kinds.push(order.kind.as_str());
                leader.on_order_outcome(rank, number, OrderOutcome::Done);
            }
        }
        kinds.dedup();
        kinds
    }
}

// Guards against an abandoned change that is never ended. A successor may fail to end it if only
// the agent of the holder can, if it makes the instance of the holder hold the pass once more, or
// if it waits for an instance whose answer is not needed.
#[gtest]
fn the_next_leader_ends_a_change_by_the_witness_record() {
    let undo: &[&str] = &["fence", "disarm", "go"];
    let cases = [
        Abandoned {
            name: "nothing was armed, the agent of the holder leads",
            leader_rank: HOLDER,
            ordered: None,
            are_armed: false,
            previous_responds: false,
            orders: undo,
        },
        Abandoned {
            name: "nothing was armed, a third agent leads",
            leader_rank: 0,
            ordered: None,
            are_armed: false,
            previous_responds: false,
            orders: undo,
        },
        Abandoned {
            name: "the other ranks were armed, the rank of the leader was not",
            leader_rank: 0,
            ordered: None,
            are_armed: true,
            previous_responds: false,
            orders: undo,
        },
        Abandoned {
            name: "the rank of the leader was armed for an earlier pass",
            leader_rank: 0,
            ordered: Some(EARLIER),
            are_armed: false,
            previous_responds: false,
            orders: undo,
        },
        Abandoned {
            name: "all were armed",
            leader_rank: 0,
            ordered: Some(ARMED),
            are_armed: true,
            previous_responds: false,
            orders: &["arm", "go"],
        },
        Abandoned {
            name: "unknown whether the rank of the leader is armed",
            leader_rank: 0,
            ordered: Some(UNCONFIRMED),
            are_armed: true,
            previous_responds: false,
            orders: &[],
        },
        Abandoned {
            name: "unknown, but that rank responds",
            leader_rank: 0,
            ordered: Some(UNCONFIRMED),
            are_armed: true,
            previous_responds: true,
            orders: undo,
        },
    ];
    for case in cases {
        expect_that!(case.sent_orders(), eq(case.orders), "{}", case.name);
    }
}

// Guards against agents that take over from a live leader when its change is over. Each new leader
// would have to learn the demand anew.
#[gtest]
fn no_agent_takes_over_from_a_live_leader() {
    for seed in 0..10 {
        let mut world = World::new(seed, Faults::default());
        world.run(RUN_MS);
        expect_that!(world.switches, ge(5), "seed {seed}");
        expect_that!(world.leader_count(), eq(1), "seed {seed}");
    }
}

// Guards against an agent that is taken for the agent of the holder and therefore never takes over.
#[gtest]
fn only_the_agent_of_the_holder_takes_over_first() {
    for leader_rank in [0, HOLDER] {
        let abandoned = Abandoned {
            name: "nothing was armed",
            leader_rank,
            ordered: None,
            are_armed: false,
            previous_responds: false,
            orders: &[],
        };
        let mut leader = Leader::new("g", leader_rank, 2 << 20, 1);
        for rank in (0..RANKS).filter(|rank| *rank != PREVIOUS_RANK) {
            leader.on_status(BootMs(0), abandoned.status(rank, leader.fence()), &DIMENSIONS);
        }
        leader.tick(BootMs(0), &DIMENSIONS);
        let watchers = leader.watchers();
        expect_that!(watchers, not(is_empty()), "rank {leader_rank} leads");
        for (place, rank) in watchers {
            expect_that!(
                place == 0,
                eq(rank == HOLDER),
                "rank {leader_rank} leads, rank {rank} watches"
            );
        }
    }
}

/// Returns the orders, by first send, of a leader whose ranks ignore fencing numbers and which
/// finds a pass held while `is_held` says so of the orders sent so far. `refuses` tells which orders are
/// refused.
fn orders_after_sending_a_map(
    is_held: fn(&[OrderKind]) -> bool,
    refuses: fn(&OrderKind) -> bool,
) -> Vec<OrderKind> {
    let abandoned = Abandoned {
        name: "a delayed order to hold",
        leader_rank: 0,
        ordered: None,
        are_armed: false,
        previous_responds: true,
        orders: &[],
    };
    let experts = |rank: u16| {
        let own = (0..DIMENSIONS.experts_per_layer).filter(|expert| expert % RANKS == rank);
        Some(vec![own.collect(); usize::from(DIMENSIONS.layers)])
    };
    let choices: Vec<u32> = (0..DIMENSIONS.layers * DIMENSIONS.experts_per_layer)
        .map(|expert| if expert == 0 { 90_000 } else { 10_000 })
        .collect();
    let mut leader = Leader::new("g", 0, 2 << 20, 1).without_fences();
    let mut kinds: Vec<OrderKind> = Vec::new();
    for now in (0..1_500).step_by(20).map(BootMs) {
        let is_held = is_held(&kinds);
        for rank in 0..RANKS {
            let status = abandoned.status(rank, leader.fence());
            let held_step = status.held_step.filter(|_| is_held);
            let counts = CountsSample::of(&choices);
            let experts = experts(rank);
            let status = RankStatus { held_step, counts, experts, prepared: None, ..status };
            leader.on_status(now, status, &DIMENSIONS);
        }
        // The leader runs once more before the next statuses.
        let again = BootMs(now.0 + 10);
        let actions = leader.tick(now, &DIMENSIONS).into_iter();
        for action in actions.chain(leader.tick(again, &DIMENSIONS)) {
            let LeaderAction::Send { rank, number, order, .. } = action else { continue };
            let end = if refuses(&order.kind) { OrderOutcome::Refused } else { OrderOutcome::Done };
            leader.on_order_outcome(rank, number, end);
            if kinds.last().map(OrderKind::as_str) != Some(order.kind.as_str()) {
                kinds.push(order.kind);
            }
        }
    }
    kinds
}

// Guards against a stall of seconds that occurs when each undo gives its void map the same version
// as a map that ranks are copying.
#[gtest]
fn a_void_map_has_a_higher_version_than_a_sent_one() {
    let kinds = orders_after_sending_a_map(|sent| !sent.is_empty(), |_| false);
    let sent = kinds.iter().find_map(|kind| match kind {
        OrderKind::Prepare { version, .. } => Some(*version),
        _ => None,
    });
    let void = kinds.iter().find_map(|kind| match kind {
        OrderKind::Void { version, .. } => Some(*version),
        _ => None,
    });
    expect_that!(sent, some(anything()));
    expect_that!(void, gt(sent));
}

// Guards against ranks that switch to their void maps, each of which has other contents: the next change
// begins before a rank has reported its void map, and takes the same version.
#[gtest]
fn a_map_has_a_higher_version_than_a_void_one() {
    let is_void = |kind: &OrderKind| matches!(kind, OrderKind::Void { .. });
    let kinds = orders_after_sending_a_map(
        |sent| !sent.is_empty() && !sent.iter().any(|kind| matches!(kind, OrderKind::Void { .. })),
        |_| false,
    );
    let position = kinds.iter().position(is_void).expect("a void map");
    let OrderKind::Void { version: void, .. } = kinds[position] else { return };
    let next = kinds[position..].iter().find_map(|kind| match kind {
        OrderKind::Prepare { version, .. } | OrderKind::PrepareChange { version, .. } => {
            Some(*version)
        }
        _ => None,
    });
    expect_that!(next, some(gt(void)));
}

// Guards against a change that begins while a pass is held, because an order of the undo was
// refused.
#[gtest]
fn a_refused_undo_is_restarted() {
    let is_void = |kind: &OrderKind| matches!(kind, OrderKind::Void { .. });
    let kinds = orders_after_sending_a_map(|sent| !sent.is_empty(), is_void);
    let names: Vec<&str> = kinds.iter().map(OrderKind::as_str).collect();
    expect_that!(names[..5], eq(&["prepare", "fence", "disarm", "void", "fence"]));
}
