//! One test a failure of a group, and a table that shows which guard each rests on.

#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_fleet.rs"]
mod group_fleet;
#[path = "support/group_scripts.rs"]
mod group_scripts;
#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_storm.rs"]
mod group_storm;

use group_fleet::{Finding, Fleet};
use group_scripts::{
    change_commits, change_finishes, expect_steps, is_commit, is_lead, start_fleet,
};
use group_storm::{Kind, Storm};
use hickorycross_core::group::{AbandonReason, GroupBody, GroupRecord, Mechanisms};
use std::ops::Range;

const MEMBERS: usize = 4;

/// Seeds searched for the absence of a guard.
const STORM_SEEDS: u64 = 200;

/// A moment of a map change.
#[derive(Clone, Copy, Debug)]
enum Point {
    Idle,
    Staging,
    CommittedToNobodyElse,
    CommittedToOne,
    CommittedToAll,
    Finished,
}

const POINTS: [Point; 6] = [
    Point::Idle,
    Point::Staging,
    Point::CommittedToNobodyElse,
    Point::CommittedToOne,
    Point::CommittedToAll,
    Point::Finished,
];

/// Brings a fresh fleet to a moment of its first change.
fn fleet_at(point: Point, seed: u64) -> Fleet {
    let mut fleet = start_fleet(seed, MEMBERS, Mechanisms::ALL);
    if matches!(point, Point::Idle) {
        return fleet;
    }
    fleet.propose();
    fleet.run_for(100);
    match point {
        Point::Idle | Point::Staging => {}
        Point::CommittedToNobodyElse => fleet.drops = Some(is_commit),
        Point::CommittedToOne => (2..MEMBERS).for_each(|to| fleet.cut_way(0, to)),
        Point::CommittedToAll | Point::Finished => {}
    }
    if !matches!(point, Point::Staging) {
        change_commits(&mut fleet);
        fleet.run_for(10);
    }
    if matches!(point, Point::Finished) {
        change_finishes(&mut fleet);
    }
    fleet
}

/// Ends what kept the group apart and lets it step again.
fn recover(fleet: &mut Fleet, label: &str) {
    fleet.heal();
    fleet.drops = None;
    fleet.start_all();
    expect_steps(fleet, label);
}

#[test]
fn coordinator_killed_at_each_point_of_a_change() {
    // Symptom: after a coordinator's death some ranks go on with the old map and some with the new.
    // Sequence: a change is under way, the coordinator dies, having granted the new map to none,
    // one or all of the members; another member takes over.
    // Cause: the successor extends the old map past the step from which the new one was granted.
    for point in POINTS {
        let mut fleet = fleet_at(point, 1);
        fleet.kill(0);
        fleet.run_for(2_000);
        recover(&mut fleet, &format!("{point:?}"));
    }
}

#[test]
fn a_takeover_costs_no_step() {
    // Symptom: callers see a pause whenever an agent is replaced.
    // Sequence: the coordinator's agent dies and comes back two seconds later.
    // Cause: grants run out before another member leads.
    let mut fleet = start_fleet(2, MEMBERS, Mechanisms::ALL);
    fleet.run_for(5_000);
    fleet.longest_gap_ms = 0;
    fleet.kill(0);
    fleet.run_for(500);
    fleet.start(0);
    fleet.run_for(5_000);
    assert_eq!(fleet.longest_gap_ms, fleet.weather.step_ms);
    assert!(fleet.coordinator().is_some());
}

#[test]
fn frozen_coordinator_wakes_while_another_leads() {
    // Symptom: a process that slept gives grants that were overtaken long ago.
    // Sequence: the coordinator freezes at some point of a change; its instance is given to a new
    // agent later, or it wakes itself, finds its timers due and acts before it reads its messages.
    // Cause: the sleeper still believes that it leads.
    for point in POINTS {
        for asleep_ms in [300, 1_500, 6_000] {
            let mut fleet = fleet_at(point, 3);
            fleet.freeze(0);
            fleet.run_for(asleep_ms);
            fleet.thaw(0);
            fleet.propose();
            recover(&mut fleet, &format!("{point:?}, {asleep_ms} ms"));
        }
    }
}

#[test]
fn messages_late_doubled_and_reordered() {
    // Symptom: a grant that arrives late undoes a newer one.
    // Sequence: changes go on while a third of the messages come twice, up to four seconds late.
    // Cause: messages are taken in the order of arrival.
    let mut fleet = start_fleet(4, MEMBERS, Mechanisms::ALL);
    fleet.weather.delay_max_ms = 200;
    fleet.weather.doubled_permille = 333;
    for _ in 0..20 {
        fleet.propose();
        fleet.run_for(1_700);
    }
    recover(&mut fleet, "late messages");
    let finished = |record: &GroupRecord| matches!(record, GroupRecord::ChangeFinished { .. });
    assert!(fleet.has_record(0, finished), "no change came through");
}

#[test]
fn a_cut_between_any_two_members() {
    // Symptom: the group stalls although some member reaches all others.
    // Sequence: two members lose each other; one of them coordinates, or wants to.
    // Cause: each of the two campaigns again before anybody else does, and neither can succeed.
    for a in 0..MEMBERS {
        for b in (0..MEMBERS).filter(|&b| b != a) {
            let mut fleet = start_fleet(5, MEMBERS, Mechanisms::ALL);
            fleet.propose();
            fleet.cut(a, b);
            fleet.run_for(4_000);
            expect_steps(&mut fleet, &format!("cut {a}-{b}"));
        }
    }
}

#[test]
fn agents_restarted_at_each_point_of_a_change() {
    // Symptom: a restarted agent leads or follows on a map that its engine has left.
    // Sequence: one agent, or all of them, restart during a change; the engines go on.
    // Cause: an agent has no disk, and what it was told before its restart is gone.
    for point in POINTS {
        for restarted in 0..=MEMBERS {
            let mut fleet = fleet_at(point, 6);
            let hit = |index: &usize| restarted == MEMBERS || *index == restarted;
            (0..MEMBERS).filter(hit).for_each(|index| fleet.kill(index));
            fleet.run_for(50);
            recover(&mut fleet, &format!("{point:?}, agent {restarted}"));
            let known = fleet.run_until(5_000, Fleet::is_map_known);
            assert!(known.is_some(), "{point:?}, agent {restarted}: no map to start from");
        }
    }
}

#[test]
fn a_rank_replaced_at_each_point_of_a_change() {
    // Symptom: a new engine joins without a map, or on an older one, and the group mixes or stalls.
    // Sequence: an engine, or each of them, is replaced by an empty one, with and without its agent.
    // Cause: what the old engine held and was granted is gone; the agent believes that it holds.
    for point in POINTS {
        for replaced in 0..=MEMBERS {
            for with_agent in [false, true] {
                let mut fleet = fleet_at(point, 7);
                for index in (0..MEMBERS).filter(|&i| replaced == MEMBERS || i == replaced) {
                    fleet.replace_engine(index);
                    if with_agent {
                        fleet.kill(index);
                    }
                }
                recover(&mut fleet, &format!("{point:?}, {replaced}, {with_agent}"));
            }
        }
    }
}

#[test]
fn the_only_engine_with_the_granted_map_is_replaced() {
    // Symptom: the group waits for ever for a map that nobody can hand out.
    // Sequence: a new group's first map is granted to the coordinator's engine only; its agent is
    // replaced, another member leads and continues that grant, and then the engine is replaced.
    // Cause: the map's content is gone, and the term clings to the grant.
    let mut fleet = Fleet::new(8, MEMBERS);
    fleet.drops = Some(|message| {
        message.from.0 == 0 && matches!(message.body, GroupBody::Lead(_) | GroupBody::Stage(_))
    });
    fleet.start_all();
    fleet.run_for(1_500);
    fleet.weather.order_min_ms = 20;
    fleet.weather.order_max_ms = 20;
    fleet.kill(0);
    fleet.start(0);
    let taken_over = fleet.run_until(5_000, |fleet| fleet.is_coordinator(1));
    assert!(taken_over.is_some());
    fleet.replace_engine(0);
    recover(&mut fleet, "first map lost");
}

#[test]
fn engines_that_check_fencing_beside_engines_that_do_not() {
    // Symptom: an order of a dead agent reaches an engine after its successor has read the state.
    // Sequence: each mixture of engines; an agent dies with a commit on its way to the engine.
    // Cause: an engine that ignores fencing tokens carries out whatever comes.
    for mixture in 0..1 << MEMBERS {
        let mut fleet = Fleet::new(9, MEMBERS);
        for index in 0..MEMBERS {
            fleet.set_checks_fencing(index, mixture & (1 << index) != 0);
        }
        fleet.start_all();
        fleet.run_for(4_000);
        fleet.weather.order_max_ms = 400;
        fleet.propose();
        change_commits(&mut fleet);
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
    // Symptom: a rank that joined uses another map than the rest, or the group never steps again.
    // Sequence: at some point of a map change the document drops a member, swaps one or changes the
    // number of ranks; the agents read it at different moments.
    // Cause: promises and grants of two member lists are taken for one another.
    let lists: [(&[usize], u16); 4] =
        [(&[0, 1, 2], 1), (&[1, 2, 3, 4], 1), (&[4, 3, 2, 1], 1), (&[0, 1, 2, 3, 4], 2)];
    for point in POINTS {
        for (indices, ranks) in lists {
            let mut fleet = fleet_at(point, 10);
            fleet.add_server(4, false);
            fleet.start_all();
            fleet.change_membership(indices, ranks, 3_000);
            fleet.run_for(3_000);
            recover(&mut fleet, &format!("{point:?}, {indices:?}"));
        }
    }
}

#[test]
fn a_change_of_the_document_elsewhere_disturbs_nothing() {
    // Symptom: every change of the document makes all groups pause.
    // Sequence: a document with the same group is read by the agents one after another.
    // Cause: its revision is taken for another membership.
    let mut fleet = start_fleet(11, MEMBERS, Mechanisms::ALL);
    fleet.run_for(3_000);
    fleet.longest_gap_ms = 0;
    for _ in 0..10 {
        fleet.change_membership(&[0, 1, 2, 3], 1, 8_000);
        fleet.run_for(2_000);
        fleet.propose();
    }
    fleet.run_for(8_000);
    assert_eq!(fleet.longest_gap_ms, fleet.weather.step_ms);
    expect_steps(&mut fleet, "other changes of the document");
}

#[test]
fn a_member_list_that_returns_to_an_earlier_one() {
    // Symptom: a map that was replaced long ago is granted again for steps made since.
    // Sequence: a rank is left out while its agent is down, the others change the map, the rank
    // comes back; the next coordinator dies before all have stepped, and another takes over.
    // Cause: that rank's grant carries the same members as the present list and passes for the
    // grant before the newest.
    let mut fleet = start_fleet(12, MEMBERS, Mechanisms::ALL);
    fleet.joining_engines_keep_grants = true;
    fleet.add_server(4, false);
    fleet.start_all();
    fleet.kill(0);
    fleet.change_membership(&[1, 2, 3, 4], 1, 0);
    fleet.run_for(5_000);
    fleet.propose();
    change_finishes(&mut fleet);
    fleet.change_membership(&[0, 1, 2, 3], 1, 0);
    fleet.run_for(1);
    fleet.start(0);
    fleet.drops = Some(is_lead);
    let led = fleet.run_until(5_000, |fleet| fleet.coordinator().is_some());
    assert!(led.is_some());
    fleet.run_for(5);
    let leader = fleet.coordinator().expect("has just been seen");
    fleet.kill(leader);
    recover(&mut fleet, "returning member list");
}

#[test]
fn a_map_unloaded_while_a_grant_still_names_it() {
    // Symptom: the group stalls for good: every member asks for a map that nobody holds.
    // Sequence: the number of ranks changes and changes back before any engine has loaded the
    // first map of the list in between.
    // Cause: members unloaded the old map as soon as the coordinator named another one, while
    // their engines' grants, which the next coordinator continues, still named it.
    let mut fleet = start_fleet(13, MEMBERS, Mechanisms::ALL);
    fleet.weather.stage_ms = 2_000;
    fleet.change_membership(&[0, 1, 2, 3], 2, 0);
    fleet.run_for(1_900);
    fleet.change_membership(&[0, 1, 2, 3], 1, 0);
    recover(&mut fleet, "ranks there and back");
}

#[test]
fn a_map_that_cannot_be_loaded_is_abandoned() {
    // Symptom: a failed load stops the group.
    // Sequence: an engine fails to load the new map, or an agent does not answer in time.
    // Cause: the old map is no longer extended while the new one is prepared.
    type Spoil = fn(&mut Fleet);
    let spoils: [(Spoil, AbandonReason); 2] = [
        (|fleet| fleet.fail_staging(2, true), AbandonReason::StageFailed),
        (|fleet| fleet.weather.stage_ms = 60_000, AbandonReason::StageDeadline),
    ];
    for (spoil, expected) in spoils {
        let mut fleet = start_fleet(14, MEMBERS, Mechanisms::ALL);
        fleet.run_for(3_000);
        fleet.longest_gap_ms = 0;
        spoil(&mut fleet);
        fleet.propose();
        fleet.run_for(31_000);
        let is_expected = |record: &GroupRecord| matches!(record, GroupRecord::ChangeAbandoned { reason, .. } if *reason == expected);
        assert!(fleet.has_record(0, is_expected), "{expected:?}");
        assert_eq!(fleet.longest_gap_ms, fleet.weather.step_ms, "{expected:?}");
    }
}

#[test]
fn loads_kept_back_stop_nothing_else() {
    // Symptom: a group stands still, or floods its links, while a load waits for the weight store.
    // Sequence: every agent keeps back the load of a change; it lets it pass later, some before
    // and some after the coordinator has given the change up.
    // Cause: grants wait behind the load, the map is handed out anew all the time, or a load that
    // nobody wants any more is ordered all the same.
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
        fleet.holds_loads = true;
        let proposed_ms = fleet.now_ms;
        fleet.propose();
        fleet.run_for(held_ms);
        assert_eq!(fleet.release_loads(), MEMBERS, "{name}: each load is ordered once");
        fleet.run_for(10_000);
        assert!(fleet.has_record(proposed_ms, expected), "{name}");
        assert_eq!(fleet.longest_gap_ms, fleet.weather.step_ms, "{name}");
        assert!(fleet.findings.is_empty(), "{name}: {:?}", fleet.findings);
    }
}

#[test]
fn a_grant_that_was_lost_with_its_engines() {
    // Symptom: a sound group stops with an alarm.
    // Sequence: a commit reaches one member besides the coordinator; the engines of both are
    // replaced, the coordinator's agent too. The old map goes on, past the commit.
    // Cause: the member checks step reports against a grant that went with its former engine.
    let mut fleet = start_fleet(17, MEMBERS, Mechanisms::ALL);
    fleet.propose();
    fleet.run_for(250);
    fleet.cut_way(0, 1);
    fleet.cut_way(0, 3);
    change_commits(&mut fleet);
    fleet.run_for(20);
    fleet.drops = Some(is_commit);
    fleet.replace_engine(0);
    fleet.replace_engine(2);
    fleet.kill(0);
    recover(&mut fleet, "lost grant");
}

#[test]
fn step_reports_that_overtake_answers_raise_no_alarm() {
    // Symptom: a sound group stops with an alarm.
    // Sequence: an engine answers orders slowly and reports steps at once, while maps change and
    // engines are replaced.
    // Cause: a report is checked against grants that were ordered and lost, or not against those
    // that the engine already has.
    for seed in 0..20 {
        let mut fleet = start_fleet(seed, MEMBERS, Mechanisms::ALL);
        fleet.weather.order_max_ms = 300;
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
fn engines_slower_than_the_repetition_of_an_inspection() {
    // Symptom: beside a slow engine no member ever becomes coordinator.
    // Sequence: each order takes longer than the agent waits before it repeats its inspection.
    // Cause: heartbeats and repeated inspections queue orders without end.
    let mut fleet = Fleet::new(16, MEMBERS);
    fleet.weather.order_min_ms = 350;
    fleet.weather.order_max_ms = 350;
    fleet.start_all();
    recover(&mut fleet, "slow engines");
}

#[test]
fn a_step_on_another_map_stops_the_group() {
    // Symptom: wrong answers, with nothing in the log.
    // Sequence: an engine reports a step on a map that it was not granted.
    // Cause: a fault outside the agreement; the group must stop and people must hear of it.
    let mut fleet = start_fleet(15, MEMBERS, Mechanisms::ALL);
    fleet.confuse_engine(2);
    fleet.run_for(3_000);
    assert!(matches!(fleet.findings.first(), Some(Finding::Alarm(_))), "{:?}", fleet.findings);
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

/// A guard and where its absence shows.
struct Mutation {
    guard: &'static str,
    turn_off: fn(&mut Mechanisms),
    shows_in: Shows,
}

/// Where the absence of a guard shows.
enum Shows {
    /// In one of the first randomised runs.
    Storm,
    /// In the randomised run of this seed.
    Seed(u64),
    /// In this script, which returns what it found wrong.
    Script(fn(Mechanisms) -> Option<String>),
}

/// The first seed that shows a fault, and the fault. With all guards on it shows none.
fn find_seed(mut seeds: Range<u64>, mechanisms: Mechanisms) -> Option<String> {
    let run = |seed, mechanisms| Storm::new(seed, Kind::Matching, mechanisms).run().fault;
    let (seed, fault) = seeds.find_map(|seed| Some((seed, run(seed, mechanisms)?)))?;
    assert_eq!(run(seed, Mechanisms::ALL), None, "seed {seed} fails with all guards on");
    Some(format!("seed {seed}: {fault}"))
}

impl Shows {
    fn find(&self, mechanisms: Mechanisms) -> Option<String> {
        match self {
            Self::Storm => find_seed(0..STORM_SEEDS, mechanisms),
            Self::Seed(seed) => find_seed(*seed..*seed + 1, mechanisms),
            Self::Script(script) => script(mechanisms),
        }
    }
}

const MUTATIONS: [Mutation; 11] = [
    Mutation {
        guard: "refuses_old_terms",
        turn_off: |m| m.refuses_old_terms = false,
        shows_in: Shows::Storm,
    },
    Mutation {
        guard: "checks_target",
        turn_off: |m| m.checks_target = false,
        shows_in: Shows::Script(group_scripts::order_for_an_earlier_life),
    },
    Mutation {
        guard: "needs_every_promise",
        turn_off: |m| m.needs_every_promise = false,
        shows_in: Shows::Storm,
    },
    Mutation {
        guard: "inspects_engine",
        turn_off: |m| m.inspects_engine = false,
        shows_in: Shows::Storm,
    },
    Mutation {
        guard: "delays_first_promise",
        turn_off: |m| m.delays_first_promise = false,
        shows_in: Shows::Script(group_scripts::order_of_a_dead_agent),
    },
    Mutation {
        guard: "continues_highest_grant",
        turn_off: |m| m.continues_highest_grant = false,
        shows_in: Shows::Storm,
    },
    Mutation {
        guard: "drops_late_heartbeats",
        turn_off: |m| m.drops_late_heartbeats = false,
        shows_in: Shows::Script(group_scripts::late_heartbeats),
    },
    Mutation {
        guard: "freezes_old_map",
        turn_off: |m| m.freezes_old_map = false,
        shows_in: Shows::Storm,
    },
    Mutation {
        guard: "checks_epoch",
        turn_off: |m| m.checks_epoch = false,
        shows_in: Shows::Seed(721),
    },
    Mutation {
        guard: "skips_old_grants",
        turn_off: |m| m.skips_old_grants = false,
        shows_in: Shows::Storm,
    },
    Mutation {
        guard: "checks_invariants",
        turn_off: |m| m.checks_invariants = false,
        shows_in: Shows::Script(group_scripts::engine_on_another_map),
    },
];

#[test]
fn each_guard_is_needed() {
    for Mutation { guard, turn_off, shows_in } in MUTATIONS {
        if let Shows::Script(script) = shows_in {
            assert_eq!(script(Mechanisms::ALL), None, "{guard}: fails with all guards on");
        }
        let mut mechanisms = Mechanisms::ALL;
        turn_off(&mut mechanisms);
        let found = shows_in.find(mechanisms);
        println!("without {guard}: {found:?}");
        assert!(found.is_some(), "{guard}: its absence goes unnoticed");
    }
}
