//! Scenarios of failures on the request path. Each checks that the entry reaches the safe outcome.

use super::{
    EntryHarness, IDEMPOTENT, NON_IDEMPOTENT, SECOND_INCARNATION, STEP_MS, TestRequest, check,
    instance_of, load,
};
use hickorycross_config::BackendServerId;
use hickorycross_core::entry::{EntryEvent, Mechanisms, RefusalCode};
use hickorycross_core::message::{
    AgentState, KeyDigest, RefusalReason, RevokeOutcome, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, LinkId, RequestId, Verdict, key_home};

type ScenarioResult = Result<(), String>;

/// Longer than the timeout of an acknowledgement, and shorter than the recovery of an attempt.
const ACK_OVERDUE_MS: u64 = 400;

/// Long enough for a heartbeat to detect a silent link.
const HEARTBEAT_MS: u64 = 3_000;

/// Longer than the recovery of an attempt.
const RECOVERY_MS: u64 = 6_000;

/// Submits a request and returns its attempt with its link.
fn submit_request(
    harness: &mut EntryHarness,
    test_request: TestRequest,
) -> Result<(RequestId, LinkId, AttemptId), String> {
    let request = harness.send_request(test_request);
    let (link, submit) = harness.latest_submission(request)?;
    Ok((request, link, submit.attempt))
}

/// A link goes silent without an error, and a submission on it is never acknowledged. It may or may
/// not have arrived. Without revocation the caller would wait until its deadline, or the request
/// would run twice.
pub(crate) fn unacknowledged_submission_is_revoked_and_retried(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.silent.insert(old);
    harness.advance(ACK_OVERDUE_MS);
    let fresh = harness.revoke_link(attempt)?;
    check(fresh != old, &"revoked on the silent link")?;
    let outcome = RevokeOutcome::Tombstoned;
    harness.deliver(fresh, ToEntry::Revoked { attempt, outcome });
    harness.advance(STEP_MS);
    let (link, again) = harness.latest_submission(request)?;
    check(again.attempt.ordinal == 1, &again)?;
    harness.head(link, again.attempt);
    harness.chunk(link, again.attempt, 0, "done");
    harness.end(link, again.attempt, 1, 4);
    harness.expect_response(request, "done")
}

/// A link goes silent after a submission arrived, so that only the acknowledgement is lost. On the
/// new link the agent reports that the attempt is running. A retry would run the request twice.
pub(crate) fn running_attempt_is_attached_after_revocation(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.silent.insert(old);
    harness.advance(ACK_OVERDUE_MS);
    let fresh = harness.revoke_link(attempt)?;
    harness.deliver(fresh, ToEntry::Revoked { attempt, outcome: RevokeOutcome::Attached });
    harness.head(fresh, attempt);
    harness.chunk(fresh, attempt, 0, "once");
    harness.end(fresh, attempt, 1, 4);
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    harness.expect_response(request, "once")
}

/// A link goes silent in the middle of a response, without an error at either end. The agent keeps
/// the remaining chunks. Unless the entry detects the silence by a heartbeat and attaches the
/// attempt on a new link, the caller waits until its deadline.
pub(crate) fn silent_stream_is_attached_from_the_next_chunk(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.accept(old, attempt);
    harness.head(old, attempt);
    harness.chunk(old, attempt, 0, "a");
    harness.chunk(old, attempt, 1, "b");
    harness.silent.insert(old);
    harness.advance(HEARTBEAT_MS);
    let fresh = harness.attach_link(attempt, 2)?;
    check(fresh != old, &"attached on the silent link")?;
    harness.chunk(fresh, attempt, 1, "b");
    harness.chunk(fresh, attempt, 2, "c");
    harness.end(fresh, attempt, 3, 3);
    harness.expect_response(request, "abc")
}

/// An agent restarts with a non-idempotent attempt. Its successor truthfully reports that it never
/// received the attempt, which proves nothing about the predecessor. A retry could run the request
/// twice.
pub(crate) fn agent_restart_ends_a_non_idempotent_request(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    let instance = harness.links[&old].clone();
    harness.incarnations.insert(instance, SECOND_INCARNATION);
    harness.handle_event(EntryEvent::LinkClosed { link: old });
    if let Ok(fresh) = harness.revoke_link(attempt) {
        harness.deliver(fresh, ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned });
    }
    harness.advance(ACK_OVERDUE_MS);
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    harness.expect_refusal(request, RefusalCode::Interrupted, Verdict::MayHaveRun)
}

/// The agent of an idempotent request restarts before its response begins. The verdict `MayHaveRun`
/// does not rule out a retry of such a request, so that its caller must not get an error.
pub(crate) fn agent_restart_retries_an_idempotent_request(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, first) = submit_request(&mut harness, IDEMPOTENT)?;
    let instance = harness.links[&old].clone();
    harness.incarnations.insert(instance, SECOND_INCARNATION);
    harness.handle_event(EntryEvent::LinkClosed { link: old });
    harness.advance(STEP_MS);
    let (link, again) = harness.latest_submission(request)?;
    check(again.attempt != first, &"not retried")?;
    check(harness.links[&link] != harness.links[&old], &"retried on the failed agent")?;
    harness.head(link, again.attempt);
    harness.end(link, again.attempt, 0, 0);
    harness.expect_response(request, "")
}

/// The link of an accepted request closes and no new one can be opened. Whether the request runs at
/// the unreachable instance cannot be known: a retry could run it twice, and waiting would take
/// until the deadline.
pub(crate) fn unreachable_agent_ends_a_non_idempotent_request(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.accept(old, attempt);
    harness.unreachable.insert(harness.links[&old].clone());
    harness.handle_event(EntryEvent::LinkClosed { link: old });
    harness.advance(RECOVERY_MS);
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    harness.expect_refusal(request, RefusalCode::Interrupted, Verdict::MayHaveRun)
}

/// An attempt is refused and retried at the same agent. Late chunks of the first attempt, which
/// messages duplicated or delayed on the way can be, must not be mixed into the response of the
/// second.
pub(crate) fn chunks_of_an_abandoned_attempt_are_dropped(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = EntryHarness::with_agents(mechanisms, &["s-1"]);
    let (request, old, first) = submit_request(&mut harness, IDEMPOTENT)?;
    let load = load(harness.now_ms, AgentState::Serving);
    let reason = RefusalReason::QueueFull;
    harness.deliver(old, ToEntry::Refused { attempt: first, reason, retry_at: None, load });
    harness.advance(STEP_MS);
    let (link, again) = harness.latest_submission(request)?;
    let second = again.attempt;
    check(second != first, &"not retried")?;
    harness.head(link, second);
    harness.chunk(old, first, 0, "OLD");
    harness.chunk(link, second, 0, "new");
    harness.chunk(old, first, 1, "OLD");
    harness.end(link, second, 1, 3);
    harness.expect_response(request, "new")
}

/// The last chunk is lost but the end marker arrives, and attaching again brings nothing. Without
/// the chunk count of the end marker the caller would take a truncated response for complete.
pub(crate) fn response_with_missing_chunks_is_never_complete(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, IDEMPOTENT)?;
    harness.accept(link, attempt);
    harness.head(link, attempt);
    harness.chunk(link, attempt, 0, "a");
    harness.end(link, attempt, 2, 2);
    check(harness.callers[&request].final_response_count() == 0, &"ended with missing chunks")?;
    harness.advance(ACK_OVERDUE_MS);
    harness.attach_link(attempt, 1)?;
    harness.advance(RECOVERY_MS);
    harness.expect_refusal(request, RefusalCode::Interrupted, Verdict::Ran)
}

/// The number of chunks matches the end marker but the number of bytes does not, because of a
/// fault on the way. The chunk count alone would not show it.
pub(crate) fn response_with_a_wrong_byte_count_is_never_complete(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, IDEMPOTENT)?;
    harness.head(link, attempt);
    harness.chunk(link, attempt, 0, "a");
    harness.end(link, attempt, 1, 2);
    harness.expect_refusal(request, RefusalCode::BadAnswer, Verdict::Ran)
}

/// Head, chunks and end marker overtake each other and are duplicated, as when they were sent on
/// two links. The caller must get each chunk once and in order.
pub(crate) fn reordered_and_duplicate_chunks_make_one_response(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.chunk(link, attempt, 1, "b");
    harness.end(link, attempt, 3, 3);
    harness.head(link, attempt);
    harness.chunk(link, attempt, 0, "a");
    harness.head(link, attempt);
    harness.chunk(link, attempt, 0, "a");
    harness.chunk(link, attempt, 1, "b");
    harness.accept(link, attempt);
    harness.chunk(link, attempt, 2, "c");
    harness.chunk(link, attempt, 2, "c");
    harness.expect_response(request, "abc")
}

/// An attempt fails after part of its response was sent to the caller. A retry would append the
/// response of another attempt to it.
pub(crate) fn started_response_is_not_retried(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, IDEMPOTENT)?;
    harness.head(link, attempt);
    harness.chunk(link, attempt, 0, "a");
    let detail = "connection reset".to_owned();
    harness.deliver(link, ToEntry::Failed { attempt, verdict: Verdict::Ran, detail });
    harness.advance(ACK_OVERDUE_MS);
    check(harness.violations().is_empty(), &harness.violations())?;
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    harness.expect_refusal(request, RefusalCode::Interrupted, Verdict::Ran)
}

/// The attempt of a non-idempotent request fails after it may have reached the backend server. The
/// failure does not prove that nothing ran, so that a retry could run the request twice.
pub(crate) fn failed_non_idempotent_request_is_not_retried(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    let detail = "connection reset".to_owned();
    harness.deliver(link, ToEntry::Failed { attempt, verdict: Verdict::MayHaveRun, detail });
    harness.advance(ACK_OVERDUE_MS);
    check(harness.violations().is_empty(), &harness.violations())?;
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    harness.expect_refusal(request, RefusalCode::Interrupted, Verdict::MayHaveRun)
}

/// An agent refuses an attempt after it sent part of the response. The refusal contradicts that
/// part, and must not lead to the verdict `NotRun` or to a retry.
pub(crate) fn refusal_after_the_response_started_is_not_trusted(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    expect_refusal_after(mechanisms, EntryHarness::head)?;
    expect_refusal_after(mechanisms, |harness, link, attempt| {
        harness.chunk(link, attempt, 0, "before its head");
    })
}

fn expect_refusal_after(
    mechanisms: Mechanisms,
    begin: fn(&mut EntryHarness, LinkId, AttemptId),
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    begin(&mut harness, link, attempt);
    let load = load(harness.now_ms, AgentState::Serving);
    let reason = RefusalReason::QueueFull;
    harness.deliver(link, ToEntry::Refused { attempt, reason, retry_at: None, load });
    harness.advance(ACK_OVERDUE_MS);
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    check(harness.violations().len() == 1, &harness.violations())?;
    harness.expect_refusal(request, RefusalCode::Overloaded, Verdict::Ran)
}

/// The process is paused while messages arrive, and resumes after the deadline. It must check the
/// deadline before it acts on them, instead of sending a response that the caller no longer
/// expects.
pub(crate) fn requests_expire_while_the_process_is_paused(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let test_request = TestRequest { deadline_ms: Some(1_000), ..NON_IDEMPOTENT };
    let (request, link, attempt) = submit_request(&mut harness, test_request)?;
    harness.accept(link, attempt);
    harness.now_ms += 5_000;
    harness.head(link, attempt);
    check(harness.callers[&request].head_count == 0, &"response started after the deadline")?;
    let cancelled =
        |message: &ToAgent| matches!(message, ToAgent::Cancel { attempt: id } if *id == attempt);
    check(harness.last_sent(cancelled).is_some(), &"not cancelled")?;
    harness.expect_refusal(request, RefusalCode::DeadlinePassed, Verdict::MayHaveRun)
}

/// The deadline passes before a submission is acknowledged. A cancellation could overtake the
/// submission and find nothing to cancel, and the request would start after its caller gave up.
pub(crate) fn expired_submission_is_revoked(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let test_request = TestRequest { deadline_ms: Some(50), ..NON_IDEMPOTENT };
    let (request, link, attempt) = submit_request(&mut harness, test_request)?;
    harness.advance(60);
    check(harness.revoke_link(attempt)? == link, &"revoked elsewhere")?;
    harness.expect_refusal(request, RefusalCode::DeadlinePassed, Verdict::MayHaveRun)
}

/// An agent reports that it is leaving and returns its queued attempts, while the instance list
/// still names it as live. New attempts would fail at a backend server that is being stopped.
pub(crate) fn leaving_agent_gets_no_new_attempts(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, leaving, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.accept(leaving, attempt);
    harness.deliver(leaving, ToEntry::Leaving);
    let mut state = load(harness.now_ms, AgentState::Leaving);
    state.running = 0;
    let reason = RefusalReason::Leaving;
    harness.deliver(leaving, ToEntry::Refused { attempt, reason, retry_at: None, load: state });
    harness.advance(STEP_MS);
    let (link, again) = harness.latest_submission(request)?;
    check(link != leaving && again.attempt.ordinal == 1, &(link, again.attempt))?;
    for _ in 0..9 {
        let (_, next, _) = submit_request(&mut harness, NON_IDEMPOTENT)?;
        check(harness.links[&next] != harness.links[&leaving], &"new attempt for a leaving agent")?;
    }
    Ok(())
}

/// The attempt of a request with an idempotency key is refused and retried. Only the home of the
/// key remembers it: on any other agent the request could run a second time.
pub(crate) fn keyed_request_stays_at_the_home_of_its_key(mechanisms: Mechanisms) -> ScenarioResult {
    for key in ["k-1", "k-2", "k-3", "k-4", "k-5", "k-6"] {
        let mut harness = EntryHarness::new(mechanisms);
        let backends = ["s-1", "s-2", "s-3"].map(BackendServerId::new);
        let home = key_home(&backends.each_ref(), KeyDigest::of(&"clerks".into(), key));
        let home = instance_of(home.map_or("", BackendServerId::as_str));
        let (request, link, attempt) =
            submit_request(&mut harness, TestRequest { key: Some(key), ..IDEMPOTENT })?;
        check(harness.links[&link] == home, &"first attempt sent elsewhere")?;
        let load = load(harness.now_ms, AgentState::Serving);
        let reason = RefusalReason::QueueFull;
        harness.deliver(link, ToEntry::Refused { attempt, reason, retry_at: None, load });
        harness.advance(STEP_MS);
        let (link, again) = harness.latest_submission(request)?;
        check(again.attempt.ordinal == 1, &"not retried")?;
        check(harness.links[&link] == home, &"second attempt sent elsewhere")?;
    }
    Ok(())
}

/// The result of a revocation arrives on the link of another agent. The link identifies the sender,
/// and only the agent that has the attempt can prove that it did not run. Otherwise the request
/// could run twice.
pub(crate) fn revocation_result_from_another_agent_is_ignored(
    mechanisms: Mechanisms,
) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, old, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.accept(old, attempt);
    let other = harness.links.keys().copied().find(|link| *link != old).ok_or("no other link")?;
    harness.deliver(other, ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned });
    harness.advance(ACK_OVERDUE_MS);
    check(harness.submissions(request).len() == 1, &"submitted twice")?;
    check(harness.callers[&request].final_response_count() == 0, &harness.callers[&request])
}

/// A caller disconnects while its request runs. Nothing else stops the agent from working on it.
pub(crate) fn disconnected_caller_cancels_the_attempt(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.accept(link, attempt);
    harness.handle_event(EntryEvent::CallerGone { request });
    harness.chunk(link, attempt, 0, "late");
    let cancels = harness.sent().filter(|(_, message)| matches!(message, ToAgent::Cancel { .. }));
    check(cancels.count() >= 1, &"not cancelled")?;
    check(harness.callers[&request].final_response_count() == 0, &harness.callers[&request])?;
    check(harness.callers[&request].bytes.is_empty(), &"bytes for a disconnected caller")
}

/// The end marker of a response is lost on a link that otherwise works. End markers are not
/// acknowledged, so that only the lack of progress shows the loss. Otherwise the response would
/// never end.
pub(crate) fn lost_end_marker_is_requested_again(mechanisms: Mechanisms) -> ScenarioResult {
    let mut harness = EntryHarness::new(mechanisms);
    let (request, link, attempt) = submit_request(&mut harness, NON_IDEMPOTENT)?;
    harness.accept(link, attempt);
    harness.head(link, attempt);
    harness.chunk(link, attempt, 0, "a");
    harness.advance(HEARTBEAT_MS);
    harness.attach_link(attempt, 1)?;
    harness.end(link, attempt, 1, 1);
    harness.expect_response(request, "a")
}
