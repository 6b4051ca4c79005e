//! Scripted sequences of events, each of which needs one guard.

use crate::group_fleet::{Finding, Fleet, Weather};
use hickorycross_core::Incarnation;
use hickorycross_core::group::{GroupBody, GroupMessage, GroupRecord, Mechanisms};

const MEMBERS: usize = 4;

/// A fleet that steps.
pub(crate) fn start_fleet(seed: u64, members: usize, mechanisms: Mechanisms) -> Fleet {
    let mut fleet = Fleet::new(seed, members).with_mechanisms(mechanisms);
    fleet.start_all();
    fleet.run_for(4_000);
    assert!(fleet.last_step > 0, "the group has not started");
    fleet
}

/// Checks that the group steps within the bound, for a while, and that nothing was found wrong.
pub(crate) fn expect_steps(fleet: &mut Fleet, label: &str) {
    let bound_ms = fleet.stall_bound_ms();
    let before = fleet.last_step;
    let stepped = fleet.run_until(bound_ms, |fleet| fleet.last_step > before);
    fleet.run_for(4_000);
    assert!(fleet.findings.is_empty(), "{label}: {:?}", fleet.findings);
    assert!(stepped.is_some(), "{label}: no step within {bound_ms} ms");
    assert!(fleet.last_step > before + 100, "{label}: stalls again");
}

/// Runs until the present change is committed.
pub(crate) fn change_commits(fleet: &mut Fleet) {
    let since_ms = fleet.now_ms;
    let is = |record: &GroupRecord| matches!(record, GroupRecord::ChangeCommitted { .. });
    let took = fleet.run_until(10_000, |fleet| fleet.has_record(since_ms, is));
    assert!(took.is_some(), "the change is not committed");
}

/// Runs until the present change is finished.
pub(crate) fn change_finishes(fleet: &mut Fleet) {
    let since_ms = fleet.now_ms;
    let is = |record: &GroupRecord| matches!(record, GroupRecord::ChangeFinished { .. });
    let took = fleet.run_until(20_000, |fleet| fleet.has_record(since_ms, is));
    assert!(took.is_some(), "the change is not finished");
}

pub(crate) fn is_lead(message: &GroupMessage) -> bool {
    matches!(message.body, GroupBody::Lead(_))
}

/// A heartbeat that grants two maps.
pub(crate) fn is_commit(message: &GroupMessage) -> bool {
    matches!(&message.body, GroupBody::Lead(heartbeat) if heartbeat.grants.len() > 1)
}

fn first_finding(fleet: &Fleet) -> Option<String> {
    fleet.findings.first().map(|finding| format!("{finding:?}"))
}

/// Symptom: a restarted agent takes an order that was meant for its earlier life.
///
/// Sequence: coordinator 0 extends the old map once more; nobody hears of it, and its engine is
/// replaced. Member 1 leads and commits a new map, unheard by member 2, whose agent restarts. Then
/// late copies of member 0's prepare message and of its heartbeats reach member 2.
///
/// Cause: the restarted agent has forgotten that it had promised more than member 0's token.
pub(crate) fn order_for_an_earlier_life(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = Fleet::new(21, MEMBERS).with_mechanisms(mechanisms);
    fleet.weather.stage_ms = 5;
    fleet.copies = Some(|message| {
        message.from.0 == 0 && matches!(message.body, GroupBody::Prepare | GroupBody::Lead(_))
    });
    fleet.start_all();
    fleet.run_for(4_000);
    fleet.drops = Some(|message| message.from.0 == 0 && is_lead(message));
    fleet.run_for(255);
    fleet.copies = None;
    fleet.replace_engine(0);
    fleet.freeze(0);
    fleet.run_until(2_000, |fleet| campaigns(fleet, 1));
    fleet.thaw(0);
    let led = fleet.run_until(2_000, |fleet| fleet.is_coordinator(1));
    assert!(led.is_some(), "member 1 does not lead");
    fleet.drops = Some(|message| message.target == Some(EARLIER_LIFE) && is_commit(message));
    fleet.propose();
    change_commits(&mut fleet);
    fleet.cut(1, 2);
    fleet.kill(2);
    fleet.start(2);
    fleet.run_for(520);
    fleet.release();
    fleet.run_for(3_000);
    first_finding(&fleet)
}

/// The first life of member 2's agent: the fleet numbers its processes from 1.
const EARLIER_LIFE: Incarnation = Incarnation(3);

/// Its second life.
const LATER_LIFE: Incarnation = Incarnation(5);

fn campaigns(fleet: &Fleet, index: usize) -> bool {
    let id = crate::group_fleet::server(index);
    let is = |record: &GroupRecord| matches!(record, GroupRecord::Campaigned { .. });
    fleet.records.iter().any(|(_, server, record)| *server == id && is(record))
}

/// Symptom: an order of a dead agent reaches the engine after its successor has read the state.
///
/// Sequence: coordinator 0 commits a change, heard by member 2 only. The order to engine 2, which
/// ignores fencing tokens, is on its way when agent 2 is replaced; engine 0 is replaced as well.
/// The coordinator asks for promises anew, hears of no new grant and extends the old map. Then the
/// order arrives, and the coordinator loses member 2.
///
/// Cause: nothing recalls an order that sits in the engine's receive buffer.
pub(crate) fn order_of_a_dead_agent(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = start_fleet(22, MEMBERS, mechanisms);
    fleet.propose();
    fleet.run_for(250);
    fleet.cut_way(0, 1);
    fleet.cut_way(0, 3);
    change_commits(&mut fleet);
    fleet.weather = Weather { order_min_ms: 400, order_max_ms: 400, ..fleet.weather };
    fleet.run_for(5);
    fleet.weather = Weather { order_min_ms: 0, order_max_ms: 1, ..fleet.weather };
    fleet.heal();
    fleet.drops = Some(|message| is_commit(message) && message.target != Some(EARLIER_LIFE));
    fleet.replace_engine(0);
    fleet.kill(2);
    fleet.start(2);
    let deposed = |record: &GroupRecord| matches!(record, GroupRecord::Deposed { .. });
    fleet.run_until(400, |fleet| fleet.has_record(0, deposed));
    fleet.drops = Some(|message| is_lead(message) && message.target == Some(LATER_LIFE));
    fleet.run_for(500);
    fleet.drops = None;
    fleet.cut(0, 2);
    fleet.run_for(3_000);
    fleet.heal();
    fleet.run_for(3_000);
    first_finding(&fleet)
}

/// Symptom: a group without any other fault pauses.
///
/// Sequence: heartbeats come a second time, late.
///
/// Cause: an old heartbeat takes back what a newer one has granted.
pub(crate) fn late_heartbeats(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = start_fleet(23, MEMBERS, mechanisms);
    fleet.copies = Some(is_lead);
    fleet.run_for(300);
    fleet.copies = None;
    fleet.run_for(4_100);
    fleet.longest_gap_ms = 0;
    fleet.release();
    fleet.run_for(2_000);
    let gap_ms = fleet.longest_gap_ms;
    (gap_ms > 2 * fleet.weather.step_ms).then(|| format!("{gap_ms} ms without a step"))
}

/// Symptom: an engine uses a map that it was not granted, and nobody notices.
///
/// Sequence: an engine reports steps on another map; without the check the group goes on.
///
/// Cause: a fault outside the agreement.
pub(crate) fn engine_on_another_map(mechanisms: Mechanisms) -> Option<String> {
    let mut fleet = start_fleet(25, MEMBERS, mechanisms);
    fleet.confuse_engine(2);
    fleet.run_for(3_000);
    let is_reported = matches!(fleet.findings.first(), Some(Finding::Alarm(_)));
    (!is_reported).then(|| "a step on another map raised no alarm".to_owned())
}
