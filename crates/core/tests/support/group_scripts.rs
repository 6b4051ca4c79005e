//! Scripted scenarios, each of which fails without one mechanism of the agreement.

use crate::group_fleet::{Conditions, Finding, Fleet};
use hickorycross_core::Incarnation;
use hickorycross_core::group::{GroupBody, GroupMessage, GroupRecord, Mechanisms};

const MEMBERS: usize = 4;

/// Creates a fleet and runs it until the group steps.
pub(crate) fn start_fleet(seed: u64, members: usize, mechanisms: Mechanisms) -> Fleet {
    let mut fleet = Fleet::new(seed, members).with_mechanisms(mechanisms);
    fleet.start_all();
    fleet.run_for(4_000);
    assert!(fleet.last_step > 0, "the group has not started");
    fleet
}

/// Checks that the group steps within the bound and keeps stepping, without any finding.
pub(crate) fn expect_steps(fleet: &mut Fleet, label: &str) {
    let bound_ms = fleet.stall_bound_ms();
    let before = fleet.last_step;
    let stepped = fleet.run_until(bound_ms, |fleet| fleet.last_step > before);
    fleet.run_for(4_000);
    assert!(fleet.findings.is_empty(), "{label}: {:?}", fleet.findings);
    assert!(stepped.is_some(), "{label}: no step within {bound_ms} ms");
    assert!(fleet.last_step > before + 100, "{label}: stalled again");
}

/// Runs until a change is committed.
pub(crate) fn run_until_committed(fleet: &mut Fleet) {
    let since_ms = fleet.now_ms;
    let is = |record: &GroupRecord| matches!(record, GroupRecord::ChangeCommitted { .. });
    let took = fleet.run_until(10_000, |fleet| fleet.has_record(since_ms, is));
    assert!(took.is_some(), "the change is not committed");
}

/// Runs until a change is finished.
pub(crate) fn run_until_finished(fleet: &mut Fleet) {
    let since_ms = fleet.now_ms;
    let is = |record: &GroupRecord| matches!(record, GroupRecord::ChangeFinished { .. });
    let took = fleet.run_until(20_000, |fleet| fleet.has_record(since_ms, is));
    assert!(took.is_some(), "the change is not finished");
}

pub(crate) fn is_heartbeat(message: &GroupMessage) -> bool {
    matches!(message.body, GroupBody::Lead(_))
}

/// Returns whether the message is a heartbeat that grants two maps.
pub(crate) fn is_commit_heartbeat(message: &GroupMessage) -> bool {
    matches!(&message.body, GroupBody::Lead(heartbeat) if heartbeat.grants.len() > 1)
}

fn first_finding(fleet: &Fleet) -> Option<String> {
    fleet.findings.first().map(|finding| format!("{finding:?}"))
}

/// A restarted agent must not accept messages that were addressed to its earlier incarnation.
///
/// Coordinator 0 extends the old grant without any member receiving it, and its engine is replaced.
/// Member 1 takes over and commits a new map that does not reach member 2, whose agent restarts and
/// loses its promise of a higher token. Then late copies of member 0's prepare message and
/// heartbeats reach member 2.
pub(crate) fn messages_for_an_earlier_incarnation(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = Fleet::new(21, MEMBERS).with_mechanisms(mechanisms);
    fleet.conditions.stage_ms = 5;
    fleet.copy_filter = Some(|message| {
        message.from.0 == 0 && matches!(message.body, GroupBody::Prepare | GroupBody::Lead(_))
    });
    fleet.start_all();
    fleet.run_for(4_000);
    fleet.drop_filter = Some(|message| message.from.0 == 0 && is_heartbeat(message));
    fleet.run_for(255);
    fleet.copy_filter = None;
    fleet.replace_engine(0);
    fleet.pause(0);
    fleet.run_until(2_000, |fleet| has_campaigned(fleet, 1));
    fleet.resume(0);
    let took_over = fleet.run_until(2_000, |fleet| fleet.is_coordinator(1));
    assert!(took_over.is_some(), "member 1 is not coordinator");
    fleet.drop_filter =
        Some(|message| message.target == Some(FIRST_INCARNATION) && is_commit_heartbeat(message));
    fleet.propose();
    run_until_committed(&mut fleet);
    fleet.partition(1, 2);
    fleet.kill(2);
    fleet.start(2);
    fleet.run_for(520);
    fleet.release_held_messages();
    fleet.run_for(3_000);
    first_finding(&fleet)
}

/// First incarnation of member 2's agent; the fleet numbers its processes from 1.
const FIRST_INCARNATION: Incarnation = Incarnation(3);

/// Second incarnation of member 2's agent.
const SECOND_INCARNATION: Incarnation = Incarnation(5);

fn has_campaigned(fleet: &Fleet, index: usize) -> bool {
    let id = crate::group_fleet::server(index);
    let is = |record: &GroupRecord| matches!(record, GroupRecord::Campaigned { .. });
    fleet.records.iter().any(|(_, server, record)| *server == id && is(record))
}

/// An order of a killed agent may reach the engine after the next agent has inspected it, because
/// an order in the engine's receive buffer cannot be recalled.
///
/// Coordinator 0 commits a change that reaches only member 2. Agent 2 is replaced while the order
/// to its engine, which ignores fencing tokens, is in transit; engine 0 is replaced as well. The
/// coordinator collects new promises, finds no new grant and extends the old one. Then the order
/// arrives, and the coordinator loses contact with member 2.
pub(crate) fn late_order_of_a_killed_agent(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = start_fleet(22, MEMBERS, mechanisms);
    fleet.propose();
    fleet.run_for(250);
    fleet.block_link(0, 1);
    fleet.block_link(0, 3);
    run_until_committed(&mut fleet);
    fleet.conditions = Conditions { order_min_ms: 400, order_max_ms: 400, ..fleet.conditions };
    fleet.run_for(5);
    fleet.conditions = Conditions { order_min_ms: 0, order_max_ms: 1, ..fleet.conditions };
    fleet.heal();
    fleet.drop_filter =
        Some(|message| is_commit_heartbeat(message) && message.target != Some(FIRST_INCARNATION));
    fleet.replace_engine(0);
    fleet.kill(2);
    fleet.start(2);
    let deposed = |record: &GroupRecord| matches!(record, GroupRecord::Deposed { .. });
    fleet.run_until(400, |fleet| fleet.has_record(0, deposed));
    fleet.drop_filter =
        Some(|message| is_heartbeat(message) && message.target == Some(SECOND_INCARNATION));
    fleet.run_for(500);
    fleet.drop_filter = None;
    fleet.partition(0, 2);
    fleet.run_for(3_000);
    fleet.heal();
    fleet.run_for(3_000);
    first_finding(&fleet)
}

/// A late duplicate of an old heartbeat must not revoke the grants of a newer one, which would
/// pause the group.
pub(crate) fn duplicated_late_heartbeats(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = start_fleet(23, MEMBERS, mechanisms);
    fleet.copy_filter = Some(is_heartbeat);
    fleet.run_for(300);
    fleet.copy_filter = None;
    fleet.run_for(4_100);
    fleet.longest_gap_ms = 0;
    fleet.release_held_messages();
    fleet.run_for(2_000);
    let gap_ms = fleet.longest_gap_ms;
    (gap_ms > 2 * fleet.conditions.step_ms).then(|| format!("{gap_ms} ms without a step"))
}

/// An engine reports steps on a map that it was not granted, because of a fault outside the
/// agreement. Without the check the group continues and the fault goes unnoticed.
pub(crate) fn engine_reports_wrong_map(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = start_fleet(25, MEMBERS, mechanisms);
    fleet.report_wrong_map(2);
    fleet.run_for(3_000);
    let is_reported = matches!(fleet.findings.first(), Some(Finding::Violation(_)));
    (!is_reported).then(|| "a step on the wrong map was not reported".to_owned())
}
