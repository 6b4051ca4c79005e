//! Tests each mechanism of the agent against the failure that it prevents: the scenario must
//! succeed with the mechanism and fail without it.

mod agent_harness;

use agent_harness::*;
use hickorycross_core::agent::{
    AgentAction, AgentEvent, CLOCK_SKEW_BOUND_MS, Mechanisms, ORPHAN_TIMEOUT_MS,
    RESPONSE_RETENTION_MS, RETAINED_BYTES_PER_RESPONSE,
};
use hickorycross_core::message::{RefusalReason, RevokeOutcome, Submit, ToAgent};
use hickorycross_core::{Incarnation, LinkId, UnixMs, Verdict};
use std::sync::Arc;

type ScenarioResult = Result<(), String>;

struct Case {
    mechanism: Mechanism,
    scenario: fn(Mechanisms) -> ScenarioResult,
}

macro_rules! cases {
    ($($field:ident => $scenario:ident,)+) => {
        &[$(Case {
            mechanism: Mechanism::new(stringify!($field), |mechanisms| mechanisms.$field = false),
            scenario: $scenario,
        }),+]
    };
}

const CASES: &[Case] = cases!(
    duplicate_detection => duplicate_submit,
    refusal_records => copy_after_refusal,
    tombstones => submit_after_revocation,
    forgotten_watermark => forgotten_attempt,
    deadline_recheck => deadline_passed_during_pause,
    expiry_sweep => expired_in_queue,
    incarnation_check => submit_to_former_incarnation,
    owner_check => cancel_from_other_entry,
    eviction => higher_tier_at_full_queue,
    team_fairness => team_filling_the_queue,
    tier_floors => higher_tier_overload,
    orphan_abort => dead_entry,
    retention => reattach_after_link_loss,
    retention_cap => reader_without_acknowledgements,
    key_table => repeated_key,
    key_content_check => key_for_two_requests,
    key_home_check => key_of_other_home,
    key_recheck_at_start => concurrent_repeats,
    unknown_keys_after_start => key_after_restart,
    key_home_changes => key_after_home_change,
    former_homes_awaited => key_at_a_former_home_that_is_cut_off,
    conflicting_documents => key_under_conflicting_documents,
    key_future_check => key_from_the_future,
    key_check_before_refusal => refusal_of_used_key,
    keep_keyed_runs => cancelled_keyed_run,
    refuse_queued_on_drain => drain_with_queued_attempt,
    refuse_queued_on_backend_down => backend_down_with_queued_attempt,
    drain_waits_for_acknowledgement => drain_before_acknowledgement,
    start_guard => broken_deadline_check,
);

#[test]
fn each_mechanism_prevents_its_failure() {
    for Case { mechanism, scenario } in CASES {
        assert_eq!(scenario(Mechanisms::default()), Ok(()), "{} is enabled", mechanism.name);
        let result = scenario(mechanism.without(Mechanisms::default()));
        assert!(result.is_err(), "{} is disabled, but its scenario succeeds", mechanism.name);
        println!("{}: {}", mechanism.name, result.unwrap_err());
    }
}

fn check(holds: bool, otherwise: &str) -> ScenarioResult {
    if holds { Ok(()) } else { Err(otherwise.to_owned()) }
}

// A request must not run twice when the network duplicates its submit and the copy arrives while
// the first one is running.
fn duplicate_submit(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    let copy = harness.submit(submit(1));
    harness.end(1);
    harness.tick();
    check(
        accepted(&copy, 1) && harness.starts(1) == 1 && violations(&harness.log) == 0,
        "the request ran again",
    )
}

// An attempt refused as not run, which may have been run elsewhere since, must not run when a late
// copy of its submit arrives after the queue has room again.
fn copy_after_refusal(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    for sequence in 0..5 {
        harness.submit(submit(sequence));
    }
    check(
        refused(&harness.submit(submit(9)), 9) == Some(RefusalReason::QueueFull),
        "accepted although the queue is full",
    )?;
    harness.end(0);
    let copy = harness.submit(submit(9));
    check(refused(&copy, 9) == Some(RefusalReason::QueueFull), "accepted after its refusal")
}

// An attempt whose revocation was confirmed must not run when its delayed submit arrives
// afterwards. The agent had not seen the attempt before the revocation.
fn submit_after_revocation(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    let outcome = revoked(&harness.revoke(1, submit(1).deadline));
    check(outcome == Some(RevokeOutcome::Tombstoned), "revocation not confirmed")?;
    let late = harness.submit(submit(1));
    check(refused(&late, 1) == Some(RefusalReason::Revoked), "accepted after its revocation")
}

// A request that ran must not be reported as not run when its entry revokes it after a pause, by
// which time the agent has forgotten its record.
fn forgotten_attempt(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.end(1);
    harness.advance(10_000 + CLOCK_SKEW_BOUND_MS + RESPONSE_RETENTION_MS);
    harness.tick();
    check(harness.core.snapshot(harness.now).attempts == 0, "record never removed")?;
    let actions = harness.revoke(1, submit(1).deadline);
    check(failed(&actions) == Some(Verdict::MayHaveRun), "not reported as possibly run")
}

// A request must not start after its deadline. The process is paused past the deadline of a queued
// attempt, and the first event after the pause frees a slot before any tick.
fn deadline_passed_during_pause(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.submit(submit(2));
    harness.advance(10_000);
    let actions = harness.end(1);
    check(violations(&actions) == 0, "only the start guard stopped the start")?;
    check(refused(&actions, 2) == Some(RefusalReason::Expired), "started after its deadline")
}

// A caller must not wait past its deadline for the refusal of a request that is queued behind a
// long run.
fn expired_in_queue(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.submit(submit(2));
    harness.advance(10_000);
    check(
        refused(&harness.tick(), 2) == Some(RefusalReason::Expired),
        "still queued after its deadline",
    )
}

// A request must not run twice across a restart. A submit addressed to the former incarnation
// reaches the new one, which cannot know whether it has run already.
fn submit_to_former_incarnation(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    let actions = harness.submit(Submit { agent: Incarnation(6), ..submit(1) });
    check(
        refused(&actions, 1) == Some(RefusalReason::WrongIncarnation),
        "accepted by another incarnation",
    )
}

// An entry must not be able to cancel another entry's attempt.
fn cancel_from_other_entry(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.handle(AgentEvent::LinkOpened { link: LinkId(2), entry: Incarnation(200) });
    let actions = harness.send_message_on(LinkId(2), ToAgent::Cancel { attempt: attempt(1) });
    check(!aborted(&actions), "aborted by another entry")
}

// A higher tier must not be refused while the queue is full of lower-tier attempts.
fn higher_tier_at_full_queue(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    for sequence in 0..5 {
        harness.submit(Submit { tier: "bronze".into(), ..submit(sequence) });
    }
    let actions = harness.submit(submit(9));
    check(accepted(&actions, 9), "the higher tier was refused")?;
    check(
        refused(&actions, 4) == Some(RefusalReason::QueueFull),
        "no lower-tier attempt was refused",
    )
}

// A team that keeps the queue full with early deadlines must neither keep another team's single
// request out of the queue nor start all of its own attempts first.
fn team_filling_the_queue(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    for sequence in 0..5 {
        harness.submit(Submit { deadline: UnixMs(START_MS + 5_000), ..submit(sequence) });
    }
    let mouse = harness.submit(Submit { team: "mouse".into(), ..submit(9) });
    check(accepted(&mouse, 9), "the other team was kept out of the queue")?;
    harness.advance(10);
    harness.end(0);
    check(harness.starts(9) == 1, "the other team did not start first")
}

// A tier with a floor of 100 permille must get its share of the starts while a higher tier keeps
// the queue full.
fn higher_tier_overload(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    let mut running = 0;
    harness.submit(submit(0));
    for round in 1..=200 {
        for tier in ["gold", "gold", "silver"] {
            let sequence = round * 10 + u64::from(tier == "silver");
            harness.submit(Submit { tier: tier.into(), ..submit(sequence) });
        }
        harness.advance(10);
        let next = started(&harness.end(running));
        running = next.first().ok_or("nothing started")?.request.sequence;
    }
    let silver = started(&harness.log).iter().filter(|id| id.request.sequence % 10 == 1).count();
    check((18..=22).contains(&silver), &format!("{silver} of 200 starts were silver"))
}

// A run must not occupy its slot indefinitely after its entry died: the link closes and no entry
// reattaches.
fn dead_entry(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.handle(AgentEvent::LinkClosed { link: LINK });
    harness.advance(ORPHAN_TIMEOUT_MS - 1);
    check(!aborted(&harness.tick()), "aborted while its entry may still reattach")?;
    harness.advance(1);
    check(aborted(&harness.tick()), "still running without a reader")
}

// A response must not be lost with its link. One chunk is acknowledged and two are in transit when
// the link closes; the run ends, and the entry reattaches on a new link.
fn reattach_after_link_loss(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    for chunk in ["one", "two", "three"] {
        harness.chunk(1, chunk);
    }
    harness.received(1, 1);
    harness.handle(AgentEvent::LinkClosed { link: LINK });
    harness.end(1);
    harness.handle(AgentEvent::LinkOpened { link: LinkId(2), entry: ENTRY });
    let actions = harness.attach(LinkId(2), 1, 1);
    check(
        chunks(&actions) == [1, 2] && end_counts(&actions) == Some((3, 11)),
        "the response was lost",
    )
}

// An entry that stops acknowledging a long response must not exhaust the memory of the process.
fn reader_without_acknowledgements(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    let chunk = vec![0_u8; 1 << 20];
    let chunk_count = 3 * RETAINED_BYTES_PER_RESPONSE / chunk.len() as u64;
    for _ in 0..chunk_count {
        harness.chunk(1, chunk.clone());
    }
    let held = harness.core.snapshot(harness.now).retained_bytes;
    check(held <= RETAINED_BYTES_PER_RESPONSE, &format!("{held} bytes retained"))?;
    check(
        failed(&harness.attach(LINK, 1, 0)) == Some(Verdict::Ran),
        "attached although chunks are missing",
    )
}

// A repeated key must not run twice. The complete response is lost on its way, and the caller
// repeats the request just before the key's horizon ends.
fn repeated_key(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let key = key_with_home(&document(), "create", "b0");
    harness.submit(keyed_submit(1, key, harness.now));
    harness.chunk(1, "case 42");
    harness.end(1);
    harness.received(1, 2);
    harness.advance(u64::from(KEY_HORIZON_MS) - 1);
    harness.tick();
    let repeat = harness.submit(keyed_submit(2, key, harness.now));
    check(harness.starts(2) == 0 && violations(&harness.log) == 0, "the key ran again")?;
    check(
        chunks(&repeat) == [0] && end_counts(&repeat) == Some((1, 7)),
        "the response was not replayed",
    )
}

// A caller that uses one key for two different requests must not get the response to the other one.
fn key_for_two_requests(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let key = key_with_home(&document(), "create", "b0");
    harness.submit(keyed_submit(1, key, harness.now));
    let other = harness.submit(Submit { content: 2, ..keyed_submit(2, key, harness.now) });
    check(
        refused(&other, 2) == Some(RefusalReason::KeyConflict),
        "accepted for a different request",
    )
}

// A key must not run at two backend servers because an entry on an older revision considers this
// agent its home.
fn key_of_other_home(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let key = key_with_home(&document(), "create", "b1");
    let actions = harness.submit(keyed_submit(1, key, harness.now));
    check(refused(&actions, 1) == Some(RefusalReason::NotKeyHome), "accepted by another home")
}

// Two copies of a request with the same key, both queued before either has started, must run only
// once.
fn concurrent_repeats(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let mut keys = keys_with_home(&document(), "create", "b0").collect::<Vec<_>>().into_iter();
    let (busy, key) = (keys.next().ok_or("no key")?, keys.next().ok_or("no key")?);
    harness.submit(keyed_submit(1, busy, harness.now));
    harness.submit(keyed_submit(2, key, harness.now));
    harness.submit(keyed_submit(3, key, harness.now));
    harness.end(1);
    harness.chunk(2, "case 43");
    harness.end(2);
    check(
        harness.starts(2) + harness.starts(3) == 1 && violations(&harness.log) == 0,
        "both attempts started",
    )?;
    check(harness.core.counters().key_replays == 1, "the second attempt got no response")
}

// A repeated key must not run twice across a restart. The former incarnation may have run it, so
// the new one's empty key table proves nothing.
fn key_after_restart(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.advance(u64::from(KEY_HORIZON_MS) - 1);
    harness.tick();
    let key = key_with_home(&document(), "create", "b0");
    let actions = harness.submit(keyed_submit(1, key, harness.now));
    check(key_used(&actions) == Some(Verdict::MayHaveRun) && harness.starts(1) == 0, "the key ran")
}

// A repeated key must not run twice across a document change that moves its home from b2 to b0,
// where the key table does not know it.
fn key_after_home_change(mechanisms: Mechanisms) -> ScenarioResult {
    let mut before = document();
    before.routes[1] = route("create", false, &["b1", "b2"]);
    let key = key_with_home(&before, "create", "b2");
    let mut harness = Harness::with_document(mechanisms, before);
    harness.advance(KEYS_KNOWN_AFTER_MS);
    harness.tick();
    let mut after = document();
    after.routes[1] = route("create", false, &["b0"]);
    harness.adopt(after);
    let actions = harness.submit(keyed_submit(1, key, harness.now));
    check(key_used(&actions) == Some(Verdict::MayHaveRun) && harness.starts(1) == 0, "the key ran")
}

// A repeated key must not run at its new home while its former home, b2, cannot be heard: a network
// partition may keep it on the old document, under which it goes on running its keys.
fn key_at_a_former_home_that_is_cut_off(mechanisms: Mechanisms) -> ScenarioResult {
    let mut before = document();
    before.routes[1] = route("create", false, &["b1", "b2"]);
    let key = key_with_home(&before, "create", "b2");
    let mut harness = Harness::with_document(mechanisms, before);
    harness.advance(KEYS_KNOWN_AFTER_MS);
    harness.tick();
    harness.unreachable = &["b2"];
    let mut after = document();
    after.routes[1] = route("create", false, &["b0"]);
    harness.adopt(after);
    harness.advance(KEYS_KNOWN_AFTER_MS);
    harness.tick();
    let actions = harness.submit(keyed_submit(1, key, harness.now));
    check(key_used(&actions) == Some(Verdict::MayHaveRun) && harness.starts(1) == 0, "the key ran")
}

// A key with a creation time must not run at two agents when the platform publishes two documents
// under one revision. An agent that restarts adopts the second document while its peers keep the
// first, under which another agent is the key's home. The next document confirms the home of the
// second, and the caller repeats its key there.
fn key_under_conflicting_documents(mechanisms: Mechanisms) -> ScenarioResult {
    let mut peer_document = document();
    peer_document.routes[1] = route("create", false, &["b1", "b2"]);
    let mut harness = Harness::with_known_keys(mechanisms);
    harness.handle(AgentEvent::ConflictingDocument { document: Arc::new(peer_document) });
    let key = timestamped_key_with_home(&document(), "create", "b0", harness.now.unix_ms.0);
    let before = harness.submit(keyed_submit(1, key, harness.now));
    let mut after = document();
    after.title = "next revision".to_owned();
    harness.adopt(after);
    let after = harness.submit(keyed_submit(2, key, harness.now));
    let unknown = |actions: &[AgentAction]| key_used(actions) == Some(Verdict::MayHaveRun);
    check(unknown(&before) && unknown(&after), "the key ran")
}

// A key must not run before its creation time. If the caller's clock is a minute ahead and the
// agent restarts after running the request, the repeated key would look newer than the restart and
// run again.
fn key_from_the_future(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let created_ms = harness.now.unix_ms.0 + 60_000;
    let key = timestamped_key_with_home(&document(), "create", "b0", created_ms);
    let first = harness.submit(keyed_submit(1, key, harness.now));
    check(
        refused(&first, 1) == Some(RefusalReason::KeyNotYetValid),
        "accepted before its creation time",
    )
}

// A caller must not be told that a request was not run when its key was used. First case: an
// attempt failed with an unknown outcome, and its key is repeated while the agent refuses all new
// work. Second case: a repeat is queued beside its running first attempt when the agent drains.
fn refusal_of_used_key(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let mut keys = keys_with_home(&document(), "create", "b0").collect::<Vec<_>>().into_iter();
    let (cut_off, concurrent) = (keys.next().ok_or("no key")?, keys.next().ok_or("no key")?);
    harness.submit(keyed_submit(1, cut_off, harness.now));
    harness.submit(keyed_submit(2, concurrent, harness.now));
    harness.submit(keyed_submit(3, concurrent, harness.now));
    harness.fail(1, Verdict::MayHaveRun);
    let drained = harness.handle(AgentEvent::Drain);
    check(
        key_used(&drained) == Some(Verdict::MayHaveRun),
        "the concurrent repeat was reported as not run",
    )?;
    let repeat = harness.submit(keyed_submit(4, cut_off, harness.now));
    check(key_used(&repeat) == Some(Verdict::MayHaveRun), "the repeat was reported as not run")
}

// A non-idempotent run with a key must not be aborted when its caller disconnects: the operation
// could be left half done, and the caller can still fetch the response by repeating its key.
fn cancelled_keyed_run(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::with_known_keys(mechanisms);
    let key = key_with_home(&document(), "create", "b0");
    harness.submit(keyed_submit(1, key, harness.now));
    let cancelled = harness.send_message(ToAgent::Cancel { attempt: attempt(1) });
    check(!aborted(&cancelled), "the run was aborted")?;
    harness.submit(keyed_submit(2, key, harness.now));
    let end = harness.end(1);
    check(end_counts(&end) == Some((0, 0)) && harness.starts(2) == 0, "the repeat got no response")
}

// A drain must refuse queued attempts, so that their entries can send them elsewhere, instead of
// dropping them.
fn drain_with_queued_attempt(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.submit(submit(2));
    let actions = harness.handle(AgentEvent::Drain);
    check(refused(&actions, 2) == Some(RefusalReason::Leaving), "still queued")
}

// Queued attempts must not wait until they expire when the backend server goes down, since another
// backend server could take them.
fn backend_down_with_queued_attempt(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.submit(submit(2));
    let actions = harness.handle(AgentEvent::BackendHealth { healthy: false });
    check(refused(&actions, 2) == Some(RefusalReason::BackendDown), "still queued")?;
    check(
        failed(&harness.fail(1, Verdict::MayHaveRun)) == Some(Verdict::MayHaveRun),
        "the failure of the run was not reported",
    )
}

// A drain must not stop the agent before the end of a response is acknowledged: the link may be
// silent, and the entry has to fetch the end on a new one.
fn drain_before_acknowledgement(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(mechanisms);
    harness.submit(submit(1));
    harness.handle(AgentEvent::Drain);
    harness.chunk(1, "case 44");
    check(drained(&harness.end(1)) == 0, "drained before the acknowledgement")?;
    check(
        drained(&harness.received(1, 1)) == 0,
        "drained on an acknowledgement that may precede the end marker",
    )?;
    check(drained(&harness.received(1, 2)) == 1, "not drained after the acknowledgement")
}

// The start guard must detect and stop a start after the deadline, as in
// `deadline_passed_during_pause`, if the deadline check before a start is broken.
fn broken_deadline_check(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = Harness::new(Mechanisms { deadline_recheck: false, ..mechanisms });
    harness.submit(submit(1));
    harness.submit(submit(2));
    harness.advance(10_000);
    let actions = harness.end(1);
    check(harness.starts(2) == 0 && violations(&actions) == 1, "the start was not detected")
}
