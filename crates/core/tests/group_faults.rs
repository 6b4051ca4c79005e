//! Tests of a group under faults, and a check that each mechanism of the agreement is needed.

#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_fleet.rs"]
mod group_fleet;
#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_random_run.rs"]
mod group_random_run;
#[path = "support/group_scripts.rs"]
mod group_scripts;

use group_fleet::{Finding, Fleet};
use group_random_run::{EpochHandling, RandomRun};
use group_scripts::{
    expect_steps, is_commit_heartbeat, is_heartbeat, run_until_committed, run_until_finished,
    start_fleet,
};
use hickorycross_core::group::{AbandonReason, GroupBody, GroupRecord, Mechanisms};
use std::ops::Range;

const MEMBERS: usize = 4;

/// Number of random runs searched for a failure with one mechanism disabled.
const RANDOM_RUN_SEEDS: u64 = 200;

/// Phase of a map change, in which a test injects a fault.
#[derive(Clone, Copy, Debug)]
enum ChangePhase {
    Idle,
    Staging,
    CommittedAtCoordinatorOnly,
    CommittedToOneFollower,
    CommittedToAll,
    Finished,
}

const CHANGE_PHASES: [ChangePhase; 6] = [
    ChangePhase::Idle,
    ChangePhase::Staging,
    ChangePhase::CommittedAtCoordinatorOnly,
    ChangePhase::CommittedToOneFollower,
    ChangePhase::CommittedToAll,
    ChangePhase::Finished,
];

/// Creates a fleet and runs it to the given phase of its first map change.
fn fleet_at(phase: ChangePhase, seed: u64) -> Fleet {
    let mut fleet = start_fleet(seed, MEMBERS, Mechanisms::ALL);
    if matches!(phase, ChangePhase::Idle) {
        return fleet;
    }
    fleet.propose();
    fleet.run_for(100);
    match phase {
        ChangePhase::Idle | ChangePhase::Staging => {}
        ChangePhase::CommittedAtCoordinatorOnly => fleet.drop_filter = Some(is_commit_heartbeat),
        ChangePhase::CommittedToOneFollower => (2..MEMBERS).for_each(|to| fleet.block_link(0, to)),
        ChangePhase::CommittedToAll | ChangePhase::Finished => {}
    }
    if !matches!(phase, ChangePhase::Staging) {
        run_until_committed(&mut fleet);
        fleet.run_for(10);
    }
    if matches!(phase, ChangePhase::Finished) {
        run_until_finished(&mut fleet);
    }
    fleet
}

/// Ends the partitions and drops, restarts all agents and checks that the group steps again.
fn recover(fleet: &mut Fleet, label: &str) {
    fleet.heal();
    fleet.drop_filter = None;
    fleet.start_all();
    expect_steps(fleet, label);
}

#[test]
fn coordinator_killed_in_each_phase_of_a_change() {
    // Ranks must not use different maps after the coordinator dies during a change, having granted
    // the new map to none, one or all of the members. They would if its successor extended the old
    // grant past the first step of the new one.
    for phase in CHANGE_PHASES {
        let mut fleet = fleet_at(phase, 1);
        fleet.kill(0);
        fleet.run_for(2_000);
        recover(&mut fleet, &format!("{phase:?}"));
    }
}

#[test]
fn a_takeover_delays_no_step() {
    // Replacing the coordinator's agent must not pause the group: the steps granted ahead have to
    // last until another member coordinates.
    let mut fleet = start_fleet(2, MEMBERS, Mechanisms::ALL);
    fleet.run_for(5_000);
    fleet.longest_gap_ms = 0;
    fleet.kill(0);
    fleet.run_for(500);
    fleet.start(0);
    fleet.run_for(5_000);
    assert_eq!(fleet.longest_gap_ms, fleet.conditions.step_ms);
    assert!(fleet.coordinator().is_some());
}

#[test]
fn paused_coordinator_resumes_after_a_takeover() {
    // A coordinator whose process was paused still believes that it coordinates. When it resumes,
    // its timers are due and it acts on them before it reads its messages. Its outdated grants must
    // have no effect.
    for phase in CHANGE_PHASES {
        for paused_ms in [300, 1_500, 6_000] {
            let mut fleet = fleet_at(phase, 3);
            fleet.pause(0);
            fleet.run_for(paused_ms);
            fleet.resume(0);
            fleet.propose();
            recover(&mut fleet, &format!("{phase:?}, {paused_ms} ms"));
        }
    }
}

#[test]
fn messages_delayed_duplicated_and_reordered() {
    // A late grant must not replace a newer one. A third of the messages are duplicated and arrive
    // up to four seconds late while the map changes repeatedly.
    let mut fleet = start_fleet(4, MEMBERS, Mechanisms::ALL);
    fleet.conditions.delay_max_ms = 200;
    fleet.conditions.duplicated_permille = 333;
    for _ in 0..20 {
        fleet.propose();
        fleet.run_for(1_700);
    }
    recover(&mut fleet, "late messages");
    let finished = |record: &GroupRecord| matches!(record, GroupRecord::ChangeFinished { .. });
    assert!(fleet.has_record(0, finished), "no change was finished");
}

#[test]
fn partition_between_any_two_members() {
    // The group must not stall while some member can reach all others. Two members that cannot
    // reach each other could keep campaigning before anyone else does, and neither can succeed.
    for a in 0..MEMBERS {
        for b in (0..MEMBERS).filter(|&b| b != a) {
            let mut fleet = start_fleet(5, MEMBERS, Mechanisms::ALL);
            fleet.propose();
            fleet.partition(a, b);
            fleet.run_for(4_000);
            expect_steps(&mut fleet, &format!("partition {a}-{b}"));
        }
    }
}

#[test]
fn agents_restarted_in_each_phase_of_a_change() {
    // An agent keeps no state on disk. After one or all agents restart during a change, they must
    // not coordinate or follow with a map that their engines no longer use.
    for phase in CHANGE_PHASES {
        for restarted in 0..=MEMBERS {
            let mut fleet = fleet_at(phase, 6);
            let is_restarted = |index: &usize| restarted == MEMBERS || *index == restarted;
            (0..MEMBERS).filter(is_restarted).for_each(|index| fleet.kill(index));
            fleet.run_for(50);
            recover(&mut fleet, &format!("{phase:?}, agent {restarted}"));
            let known = fleet.run_until(5_000, Fleet::is_map_known);
            assert!(known.is_some(), "{phase:?}, agent {restarted}: map in use is unknown");
        }
    }
}

#[test]
fn engines_replaced_in_each_phase_of_a_change() {
    // When one or all engines are replaced by empty ones, with or without their agents, the maps
    // and grants of the old engines are lost. The agents must notice this; otherwise the group
    // stalls or its ranks use different maps.
    for phase in CHANGE_PHASES {
        for replaced in 0..=MEMBERS {
            for with_agent in [false, true] {
                let mut fleet = fleet_at(phase, 7);
                for index in (0..MEMBERS).filter(|&i| replaced == MEMBERS || i == replaced) {
                    fleet.replace_engine(index);
                    if with_agent {
                        fleet.kill(index);
                    }
                }
                recover(&mut fleet, &format!("{phase:?}, {replaced}, {with_agent}"));
            }
        }
    }
}

#[test]
fn the_only_engine_with_the_granted_map_is_replaced() {
    // The first map of a group is granted only to the coordinator's engine. Its agent is replaced,
    // another member continues the grant, and then the engine is replaced, so that the content of
    // the map is lost. The group must not wait for it forever.
    let mut fleet = Fleet::new(8, MEMBERS);
    fleet.drop_filter = Some(|message| {
        message.from.0 == 0 && matches!(message.body, GroupBody::Lead(_) | GroupBody::Stage(_))
    });
    fleet.start_all();
    fleet.run_for(1_500);
    fleet.conditions.order_min_ms = 20;
    fleet.conditions.order_max_ms = 20;
    fleet.kill(0);
    fleet.start(0);
    let taken_over = fleet.run_until(5_000, |fleet| fleet.is_coordinator(1));
    assert!(taken_over.is_some());
    fleet.replace_engine(0);
    recover(&mut fleet, "first map lost with its engine");
}

#[test]
fn groups_that_mix_engines_with_and_without_fencing_checks() {
    // An agent is killed while its order with a commit is in transit to the engine. The order may
    // arrive after the next agent has inspected the engine, and an engine that ignores fencing
    // tokens still executes it. Covers every combination of engines.
    for mixture in 0..1 << MEMBERS {
        let mut fleet = Fleet::new(9, MEMBERS);
        for index in 0..MEMBERS {
            fleet.set_checks_fencing(index, mixture & (1 << index) != 0);
        }
        fleet.start_all();
        fleet.run_for(4_000);
        fleet.conditions.order_max_ms = 400;
        fleet.propose();
        run_until_committed(&mut fleet);
        for victim in 0..MEMBERS {
            fleet.kill(victim);
            fleet.start(victim);
            fleet.run_for(300);
        }
        recover(&mut fleet, &format!("mixture {mixture:04b}"));
    }
}

#[test]
fn members_change_during_a_map_change() {
    // During a map change, a document removes a member, replaces one or changes the number of
    // ranks, and the agents adopt it at different times. If promises and grants of the two member
    // lists were confused, a new rank could use a different map or the group could stall.
    let lists: [(&[usize], u16); 4] =
        [(&[0, 1, 2], 1), (&[1, 2, 3, 4], 1), (&[4, 3, 2, 1], 1), (&[0, 1, 2, 3, 4], 2)];
    for phase in CHANGE_PHASES {
        for (indices, ranks) in lists {
            let mut fleet = fleet_at(phase, 10);
            fleet.add_server(4, false);
            fleet.start_all();
            fleet.change_membership(indices, ranks, 3_000);
            fleet.run_for(3_000);
            recover(&mut fleet, &format!("{phase:?}, {indices:?}"));
        }
    }
}

#[test]
fn unrelated_document_changes_do_not_pause_the_group() {
    // The agents adopt documents that leave the group unchanged, one after another. A new revision
    // alone must not count as a different membership, or every change would pause all groups.
    let mut fleet = start_fleet(11, MEMBERS, Mechanisms::ALL);
    fleet.run_for(3_000);
    fleet.longest_gap_ms = 0;
    for _ in 0..10 {
        fleet.change_membership(&[0, 1, 2, 3], 1, 8_000);
        fleet.run_for(2_000);
        fleet.propose();
    }
    fleet.run_for(8_000);
    assert_eq!(fleet.longest_gap_ms, fleet.conditions.step_ms);
    expect_steps(&mut fleet, "unrelated document changes");
}

#[test]
fn member_list_that_returns_to_an_earlier_one() {
    // A rank is removed while its agent is down, the others change the map, and the rank returns.
    // The next coordinator dies before all ranks have stepped. The returning rank's old grant has
    // the same members as the current list; if its successor took it for the predecessor of the
    // newest grant, it would grant a long replaced map for steps made since.
    let mut fleet = start_fleet(12, MEMBERS, Mechanisms::ALL);
    fleet.joining_engines_keep_grants = true;
    fleet.add_server(4, false);
    fleet.start_all();
    fleet.kill(0);
    fleet.change_membership(&[1, 2, 3, 4], 1, 0);
    fleet.run_for(5_000);
    fleet.propose();
    run_until_finished(&mut fleet);
    fleet.change_membership(&[0, 1, 2, 3], 1, 0);
    fleet.run_for(1);
    fleet.start(0);
    fleet.drop_filter = Some(is_heartbeat);
    let taken_over = fleet.run_until(5_000, |fleet| fleet.coordinator().is_some());
    assert!(taken_over.is_some());
    fleet.run_for(5);
    let coordinator = fleet.coordinator().expect("a coordinator was observed");
    fleet.kill(coordinator);
    recover(&mut fleet, "return to an earlier member list");
}

#[test]
fn maps_of_held_grants_stay_loaded() {
    // The number of ranks changes and changes back before any engine has loaded the first map of
    // the intermediate membership. If members unloaded the old map as soon as the coordinator named
    // another one, the next coordinator would continue grants of a map that no member holds, and
    // the group would stall forever.
    let mut fleet = start_fleet(13, MEMBERS, Mechanisms::ALL);
    fleet.conditions.stage_ms = 2_000;
    fleet.change_membership(&[0, 1, 2, 3], 2, 0);
    fleet.run_for(1_900);
    fleet.change_membership(&[0, 1, 2, 3], 1, 0);
    recover(&mut fleet, "number of ranks changed and restored");
}

#[test]
fn change_is_abandoned_if_a_map_cannot_be_loaded() {
    // An engine fails to load the new map, or does not load it in time. The old grant must be
    // extended meanwhile, so that a failed load does not stop the group.
    type InjectFault = fn(&mut Fleet);
    let cases: [(InjectFault, AbandonReason); 2] = [
        (|fleet| fleet.fail_staging(2, true), AbandonReason::StageFailed),
        (|fleet| fleet.conditions.stage_ms = 60_000, AbandonReason::StageDeadline),
    ];
    for (inject_fault, expected) in cases {
        let mut fleet = start_fleet(14, MEMBERS, Mechanisms::ALL);
        fleet.run_for(3_000);
        fleet.longest_gap_ms = 0;
        inject_fault(&mut fleet);
        fleet.propose();
        fleet.run_for(31_000);
        let is_expected = |record: &GroupRecord| matches!(record, GroupRecord::ChangeAbandoned { reason, .. } if *reason == expected);
        assert!(fleet.has_record(0, is_expected), "{expected:?}");
        assert_eq!(fleet.longest_gap_ms, fleet.conditions.step_ms, "{expected:?}");
    }
}

#[test]
fn deferred_loads_do_not_block_the_group() {
    // Every agent defers the load of a change and starts it before or after the coordinator has
    // abandoned the change. Grants must not wait for the deferred load, the map must not be sent
    // over and over, and a load that is no longer wanted must not be ordered.
    type Expected = fn(&GroupRecord) -> bool;
    let cases: [(&str, u64, Expected); 2] = [
        ("in time", 10_000, |record| matches!(record, GroupRecord::ChangeFinished { .. })),
        ("too late", 31_000, |record| {
            let reason = AbandonReason::StageDeadline;
            matches!(record, GroupRecord::ChangeAbandoned { reason: found, .. } if *found == reason)
        }),
    ];
    for (name, held_ms, expected) in cases {
        let mut fleet = start_fleet(15, MEMBERS, Mechanisms::ALL);
        fleet.run_for(3_000);
        fleet.longest_gap_ms = 0;
        fleet.defers_loads = true;
        let proposed_ms = fleet.now_ms;
        fleet.propose();
        fleet.run_for(held_ms);
        assert_eq!(fleet.release_deferred_loads(), MEMBERS, "{name}: each load is ordered once");
        fleet.run_for(10_000);
        assert!(fleet.has_record(proposed_ms, expected), "{name}");
        assert_eq!(fleet.longest_gap_ms, fleet.conditions.step_ms, "{name}");
        assert!(fleet.findings.is_empty(), "{name}: {:?}", fleet.findings);
    }
}

#[test]
fn grant_lost_with_replaced_engines() {
    // A commit reaches only one other member. Both engines and the coordinator's agent are then
    // replaced, and the group continues on the old map past the commit. A member that checked step
    // reports against the grant of its former engine would report a false violation.
    let mut fleet = start_fleet(17, MEMBERS, Mechanisms::ALL);
    fleet.propose();
    fleet.run_for(250);
    fleet.block_link(0, 1);
    fleet.block_link(0, 3);
    run_until_committed(&mut fleet);
    fleet.run_for(20);
    fleet.drop_filter = Some(is_commit_heartbeat);
    fleet.replace_engine(0);
    fleet.replace_engine(2);
    fleet.kill(0);
    recover(&mut fleet, "lost grant");
}

#[test]
fn step_reports_that_overtake_answers_are_no_violation() {
    // Engines answer orders slowly but report steps at once, while maps change and engines are
    // replaced. Step reports must be checked against grants that the engine has but not confirmed
    // yet, and not against lost ones; otherwise a healthy group halts.
    for seed in 0..20 {
        let mut fleet = start_fleet(seed, MEMBERS, Mechanisms::ALL);
        fleet.conditions.order_max_ms = 300;
        for turn in 0..8 {
            fleet.propose();
            fleet.run_for(1_100);
            fleet.replace_engine(turn % MEMBERS);
            fleet.run_for(400);
            fleet.kill((turn + 1) % MEMBERS);
            fleet.start_all();
        }
        recover(&mut fleet, &format!("slow answers, seed {seed}"));
    }
}

#[test]
fn engines_slower_than_the_inspection_interval() {
    // Each order takes longer than the interval after which an inspection is repeated. Heartbeats
    // and repeated inspections must not queue orders without bound, or no member could ever become
    // coordinator.
    let mut fleet = Fleet::new(16, MEMBERS);
    fleet.conditions.order_min_ms = 350;
    fleet.conditions.order_max_ms = 350;
    fleet.start_all();
    recover(&mut fleet, "slow engines");
}

#[test]
fn a_step_on_the_wrong_map_halts_the_group() {
    // An engine reports a step on a map that it was not granted, because of a fault outside the
    // agreement. The group must halt and report the violation, or wrong answers go unnoticed.
    let mut fleet = start_fleet(15, MEMBERS, Mechanisms::ALL);
    fleet.report_wrong_map(2);
    fleet.run_for(3_000);
    assert!(matches!(fleet.findings.first(), Some(Finding::Violation(_))), "{:?}", fleet.findings);
    let stopped_at = fleet.last_step;
    fleet.kill(0);
    fleet.start(0);
    fleet.run_for(10_000);
    assert_eq!(fleet.last_step, stopped_at);
    fleet.replace_engine(2);
    (0..MEMBERS).for_each(|index| fleet.kill(index));
    fleet.findings.clear();
    recover(&mut fleet, "all agents restarted");
}

/// A mechanism to disable, and the run that must then fail.
struct Mutation {
    mechanism: &'static str,
    disable: fn(&mut Mechanisms),
    detected_by: DetectedBy,
}

/// How the absence of a mechanism is detected.
enum DetectedBy {
    /// By one of the first random runs.
    RandomRuns,
    /// By the random run with this seed.
    Seed(u64),
    /// By this script, which returns the failure that it found.
    Script(fn(Mechanisms) -> Option<String>),
}

/// Returns the first failing seed and its failure, and checks that it passes with all mechanisms.
fn find_seed(mut seeds: Range<u64>, mechanisms: Mechanisms) -> Option<String> {
    let run =
        |seed, mechanisms| RandomRun::new(seed, EpochHandling::Checked, mechanisms).run().fault;
    let (seed, fault) = seeds.find_map(|seed| Some((seed, run(seed, mechanisms)?)))?;
    assert_eq!(run(seed, Mechanisms::ALL), None, "seed {seed} fails with all mechanisms enabled");
    Some(format!("seed {seed}: {fault}"))
}

impl DetectedBy {
    fn find(&self, mechanisms: Mechanisms) -> Option<String> {
        match self {
            Self::RandomRuns => find_seed(0..RANDOM_RUN_SEEDS, mechanisms),
            Self::Seed(seed) => find_seed(*seed..*seed + 1, mechanisms),
            Self::Script(script) => script(mechanisms),
        }
    }
}

const MUTATIONS: [Mutation; 11] = [
    Mutation {
        mechanism: "refuses_old_terms",
        disable: |m| m.refuses_old_terms = false,
        detected_by: DetectedBy::RandomRuns,
    },
    Mutation {
        mechanism: "checks_target",
        disable: |m| m.checks_target = false,
        detected_by: DetectedBy::Script(group_scripts::messages_for_an_earlier_incarnation),
    },
    Mutation {
        mechanism: "needs_every_promise",
        disable: |m| m.needs_every_promise = false,
        detected_by: DetectedBy::RandomRuns,
    },
    Mutation {
        mechanism: "inspects_engine",
        disable: |m| m.inspects_engine = false,
        detected_by: DetectedBy::RandomRuns,
    },
    Mutation {
        mechanism: "delays_first_promise",
        disable: |m| m.delays_first_promise = false,
        detected_by: DetectedBy::Script(group_scripts::late_order_of_a_killed_agent),
    },
    Mutation {
        mechanism: "continues_highest_grant",
        disable: |m| m.continues_highest_grant = false,
        detected_by: DetectedBy::RandomRuns,
    },
    Mutation {
        mechanism: "drops_late_heartbeats",
        disable: |m| m.drops_late_heartbeats = false,
        detected_by: DetectedBy::Script(group_scripts::duplicated_late_heartbeats),
    },
    Mutation {
        mechanism: "freezes_old_map",
        disable: |m| m.freezes_old_map = false,
        detected_by: DetectedBy::RandomRuns,
    },
    Mutation {
        mechanism: "checks_epoch",
        disable: |m| m.checks_epoch = false,
        detected_by: DetectedBy::Seed(721),
    },
    Mutation {
        mechanism: "skips_old_grants",
        disable: |m| m.skips_old_grants = false,
        detected_by: DetectedBy::RandomRuns,
    },
    Mutation {
        mechanism: "checks_invariants",
        disable: |m| m.checks_invariants = false,
        detected_by: DetectedBy::Script(group_scripts::engine_reports_wrong_map),
    },
];

#[test]
fn each_mechanism_is_needed() {
    for Mutation { mechanism, disable, detected_by } in MUTATIONS {
        if let DetectedBy::Script(script) = detected_by {
            assert_eq!(
                script(Mechanisms::ALL),
                None,
                "{mechanism}: fails with all mechanisms enabled"
            );
        }
        let mut mechanisms = Mechanisms::ALL;
        disable(&mut mechanisms);
        let found = detected_by.find(mechanisms);
        println!("without {mechanism}: {found:?}");
        assert!(found.is_some(), "{mechanism}: no failure without it");
    }
}
