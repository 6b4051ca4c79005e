//! One function for each failure of the request path: what happens, and what must come of it.

use super::{Ask, LODGE, READ, Rig, SECOND_LIFE, STEP_MS, check, instance_of, load};
use hickorycross_config::BackendServerId;
use hickorycross_core::entry::{EntryEvent, Mechanisms, RefusalCode};
use hickorycross_core::message::{
    AgentState, KeyDigest, RefusalReason, RevokeOutcome, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, LinkId, RequestId, Verdict, key_home};

type Outcome = Result<(), String>;

/// Long enough for any overdue acknowledgement, short of giving up an attempt.
const SILENCE_MS: u64 = 400;

/// Long enough for a silent link to be noticed by its heartbeat.
const HEARTBEAT_MS: u64 = 3_000;

/// Past the time in which an attempt may be found again.
const RECOVERY_MS: u64 = 6_000;

/// Submits a request and returns its attempt with its link.
fn submitted(rig: &mut Rig, ask: Ask) -> Result<(RequestId, LinkId, AttemptId), String> {
    let request = rig.ask(ask);
    let (link, submit) = rig.submission(request)?;
    Ok((request, link, submit.attempt))
}

/// Symptom: a caller of a non-idempotent route waits for ever, or its application is lodged twice.
/// Sequence: a link goes silent without an error; a submission on it is never acknowledged.
/// Cause: a middlebox forgot the connection. The submission may or may not have arrived.
pub(crate) fn unacknowledged_submission_is_revoked_and_tried_again(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, attempt) = submitted(&mut rig, LODGE)?;
    rig.silent.insert(old);
    rig.wait(SILENCE_MS);
    let fresh = rig.revoked_on(attempt)?;
    check(fresh != old, &"revoked on the silent link")?;
    let outcome = RevokeOutcome::Tombstoned;
    rig.say(fresh, ToEntry::Revoked { attempt, outcome });
    rig.wait(STEP_MS);
    let (link, again) = rig.submission(request)?;
    check(again.attempt.ordinal == 1, &again)?;
    rig.head(link, again.attempt);
    rig.chunk(link, again.attempt, 0, "done");
    rig.end(link, again.attempt, 1, 4);
    rig.expect_answer(request, "done")
}

/// Symptom: a non-idempotent request runs twice.
/// Sequence: its link goes silent; on the fresh link the agent says that it is running.
/// Cause: the submission had arrived; only its acknowledgement was lost.
pub(crate) fn running_attempt_is_attached_after_revocation(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, attempt) = submitted(&mut rig, LODGE)?;
    rig.silent.insert(old);
    rig.wait(SILENCE_MS);
    let fresh = rig.revoked_on(attempt)?;
    rig.say(fresh, ToEntry::Revoked { attempt, outcome: RevokeOutcome::Attached });
    rig.head(fresh, attempt);
    rig.chunk(fresh, attempt, 0, "once");
    rig.end(fresh, attempt, 1, 4);
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    rig.expect_answer(request, "once")
}

/// Symptom: a long answer stops in the middle and its caller waits until the deadline.
/// Sequence: two pieces arrive, then the link goes silent; the agent keeps what follows.
/// Cause: nothing reports an error on a connection that a middlebox forgot.
pub(crate) fn silent_stream_is_attached_from_the_next_piece(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, attempt) = submitted(&mut rig, LODGE)?;
    rig.accept(old, attempt);
    rig.head(old, attempt);
    rig.chunk(old, attempt, 0, "a");
    rig.chunk(old, attempt, 1, "b");
    rig.silent.insert(old);
    rig.wait(HEARTBEAT_MS);
    let fresh = rig.attached_on(attempt, 2)?;
    check(fresh != old, &"attached on the silent link")?;
    rig.chunk(fresh, attempt, 1, "b");
    rig.chunk(fresh, attempt, 2, "c");
    rig.end(fresh, attempt, 3, 3);
    rig.expect_answer(request, "abc")
}

/// Symptom: a request runs twice, or waits for a process that is gone.
/// Sequence: an agent accepts a non-idempotent request and restarts; a fresh link finds another
/// incarnation, which would truthfully say that it never saw the attempt.
/// Cause: the word of the successor proves nothing about its predecessor.
pub(crate) fn restart_ends_a_non_idempotent_request(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, attempt) = submitted(&mut rig, LODGE)?;
    let instance = rig.links[&old].clone();
    rig.lives.insert(instance, SECOND_LIFE);
    rig.event(EntryEvent::LinkClosed { link: old });
    if let Ok(fresh) = rig.revoked_on(attempt) {
        rig.say(fresh, ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned });
    }
    rig.wait(SILENCE_MS);
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    rig.expect_refusal(request, RefusalCode::Interrupted, Verdict::MayHaveRun)
}

/// Symptom: a caller gets an error that another try would have spared it.
/// Sequence: the agent of an idempotent request restarts before its answer begins.
/// Cause: a verdict of "may have run" only matters to requests that must not run twice.
pub(crate) fn restart_is_survived_by_an_idempotent_request(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, first) = submitted(&mut rig, READ)?;
    let instance = rig.links[&old].clone();
    rig.lives.insert(instance, SECOND_LIFE);
    rig.event(EntryEvent::LinkClosed { link: old });
    rig.wait(STEP_MS);
    let (link, again) = rig.submission(request)?;
    check(again.attempt != first, &"not tried again")?;
    check(rig.links[&link] != rig.links[&old], &"tried where it failed")?;
    rig.head(link, again.attempt);
    rig.end(link, again.attempt, 0, 0);
    rig.expect_answer(request, "")
}

/// Symptom: a non-idempotent request runs twice, or its caller waits until the deadline.
/// Sequence: the link of an accepted request closes and no fresh one can be opened.
/// Cause: the instance is cut off; whether the request runs there cannot be known.
pub(crate) fn unreachable_agent_ends_a_non_idempotent_request(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, attempt) = submitted(&mut rig, LODGE)?;
    rig.accept(old, attempt);
    rig.unreachable.insert(rig.links[&old].clone());
    rig.event(EntryEvent::LinkClosed { link: old });
    rig.wait(RECOVERY_MS);
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    rig.expect_refusal(request, RefusalCode::Interrupted, Verdict::MayHaveRun)
}

/// Symptom: two answers are mixed at a caller.
/// Sequence: an attempt is refused and tried again at the only agent; late pieces of the first one
/// come.
/// Cause: messages may be doubled and delayed; the request is the same, the attempt is not.
pub(crate) fn pieces_of_an_abandoned_attempt_are_dropped(on: Mechanisms) -> Outcome {
    let mut rig = Rig::of(on, &["s-1"]);
    let (request, old, first) = submitted(&mut rig, READ)?;
    let load = load(rig.now_ms, AgentState::Serving);
    let reason = RefusalReason::QueueFull;
    rig.say(old, ToEntry::Refused { attempt: first, reason, retry_at: None, load });
    rig.wait(STEP_MS);
    let (link, again) = rig.submission(request)?;
    let second = again.attempt;
    check(second != first, &"not tried again")?;
    rig.head(link, second);
    rig.chunk(old, first, 0, "OLD");
    rig.chunk(link, second, 0, "new");
    rig.chunk(old, first, 1, "OLD");
    rig.end(link, second, 1, 3);
    rig.expect_answer(request, "new")
}

/// Symptom: a caller takes a truncated answer for whole.
/// Sequence: the last piece is lost, the end marker comes; attaching again brings nothing.
/// Cause: the end of a stream says nothing about its pieces unless it carries their count.
pub(crate) fn answer_with_a_gap_is_never_whole(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, READ)?;
    rig.accept(link, attempt);
    rig.head(link, attempt);
    rig.chunk(link, attempt, 0, "a");
    rig.end(link, attempt, 2, 2);
    check(rig.callers[&request].finals() == 0, &"ended at the gap")?;
    rig.wait(SILENCE_MS);
    rig.attached_on(attempt, 1)?;
    rig.wait(RECOVERY_MS);
    rig.expect_refusal(request, RefusalCode::Interrupted, Verdict::Ran)
}

/// Symptom: a caller gets an answer whose bytes are not those of the backend server.
/// Sequence: as many pieces as the end marker says, but not as many bytes.
/// Cause: a fault on the way; the counts of pieces alone would not show it.
pub(crate) fn answer_with_other_bytes_is_never_whole(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, READ)?;
    rig.head(link, attempt);
    rig.chunk(link, attempt, 0, "a");
    rig.end(link, attempt, 1, 2);
    rig.expect_refusal(request, RefusalCode::BadAnswer, Verdict::Ran)
}

/// Symptom: a caller gets its answer in the wrong order, or parts of it twice.
/// Sequence: head, pieces and end marker overtake each other; some come twice.
/// Cause: pieces that were sent on two links meet.
pub(crate) fn reordered_and_doubled_pieces_make_one_answer(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, LODGE)?;
    rig.chunk(link, attempt, 1, "b");
    rig.end(link, attempt, 3, 3);
    rig.head(link, attempt);
    rig.chunk(link, attempt, 0, "a");
    rig.head(link, attempt);
    rig.chunk(link, attempt, 0, "a");
    rig.chunk(link, attempt, 1, "b");
    rig.accept(link, attempt);
    rig.chunk(link, attempt, 2, "c");
    rig.chunk(link, attempt, 2, "c");
    rig.expect_answer(request, "abc")
}

/// Symptom: the beginning of one answer is followed by the end of another.
/// Sequence: an answer begins, then its attempt fails.
/// Cause: what has gone to the caller cannot be taken back, so another try cannot replace it.
pub(crate) fn answer_that_began_is_not_tried_again(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, READ)?;
    rig.head(link, attempt);
    rig.chunk(link, attempt, 0, "a");
    let detail = "connection reset".to_owned();
    rig.say(link, ToEntry::Failed { attempt, verdict: Verdict::Ran, detail });
    rig.wait(SILENCE_MS);
    check(rig.violations().is_empty(), &rig.violations())?;
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    rig.expect_refusal(request, RefusalCode::Interrupted, Verdict::Ran)
}

/// Symptom: a non-idempotent request runs twice.
/// Sequence: its attempt fails after it may have reached the backend server.
/// Cause: a failure is not a proof that nothing ran.
pub(crate) fn failed_non_idempotent_request_is_not_tried_again(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, LODGE)?;
    let detail = "connection reset".to_owned();
    rig.say(link, ToEntry::Failed { attempt, verdict: Verdict::MayHaveRun, detail });
    rig.wait(SILENCE_MS);
    check(rig.violations().is_empty(), &rig.violations())?;
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    rig.expect_refusal(request, RefusalCode::Interrupted, Verdict::MayHaveRun)
}

/// Symptom: a caller is told "not run" although it read the beginning of its answer.
/// Sequence: an answer begins; then the agent says that the attempt was refused.
/// Cause: an agent that contradicts itself must not be believed in the dangerous direction.
pub(crate) fn refusal_after_the_answer_began_proves_nothing(on: Mechanisms) -> Outcome {
    refused_after(on, Rig::head)?;
    refused_after(on, |rig, link, attempt| rig.chunk(link, attempt, 0, "before its head"))
}

fn refused_after(on: Mechanisms, begin: fn(&mut Rig, LinkId, AttemptId)) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, LODGE)?;
    begin(&mut rig, link, attempt);
    let load = load(rig.now_ms, AgentState::Serving);
    let reason = RefusalReason::QueueFull;
    rig.say(link, ToEntry::Refused { attempt, reason, retry_at: None, load });
    rig.wait(SILENCE_MS);
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    check(rig.violations().len() == 1, &rig.violations())?;
    rig.expect_refusal(request, RefusalCode::Overloaded, Verdict::Ran)
}

/// Symptom: work is done for, and an answer given to, a caller that gave up long ago.
/// Sequence: the process is paused while messages arrive, and wakes past the deadline.
/// Cause: a paused process still believes what it knew before.
pub(crate) fn paused_process_finds_its_requests_expired(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let ask = Ask { deadline_ms: Some(1_000), ..LODGE };
    let (request, link, attempt) = submitted(&mut rig, ask)?;
    rig.accept(link, attempt);
    rig.now_ms += 5_000;
    rig.head(link, attempt);
    check(rig.callers[&request].begun == 0, &"began after the deadline")?;
    let cancelled =
        |message: &ToAgent| matches!(message, ToAgent::Cancel { attempt: id } if *id == attempt);
    check(rig.last_sent(cancelled).is_some(), &"not cancelled")?;
    rig.expect_refusal(request, RefusalCode::DeadlinePassed, Verdict::MayHaveRun)
}

/// Symptom: an operation that a caller gave up starts afterwards.
/// Sequence: the deadline passes while the submission is not acknowledged.
/// Cause: a cancellation that overtakes a submission finds nothing to cancel.
pub(crate) fn expired_submission_is_revoked(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let ask = Ask { deadline_ms: Some(50), ..LODGE };
    let (request, link, attempt) = submitted(&mut rig, ask)?;
    rig.wait(60);
    check(rig.revoked_on(attempt)? == link, &"revoked elsewhere")?;
    rig.expect_refusal(request, RefusalCode::DeadlinePassed, Verdict::MayHaveRun)
}

/// Symptom: requests fail at a backend server that is being stopped.
/// Sequence: an agent says that it leaves and hands back what it has queued; the instance list
/// still names it as live.
/// Cause: the list lags; the agent knows first.
pub(crate) fn leaving_agent_gets_no_new_work(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, leaving, attempt) = submitted(&mut rig, LODGE)?;
    rig.accept(leaving, attempt);
    rig.say(leaving, ToEntry::Leaving);
    let mut state = load(rig.now_ms, AgentState::Leaving);
    state.running = 0;
    let reason = RefusalReason::Leaving;
    rig.say(leaving, ToEntry::Refused { attempt, reason, retry_at: None, load: state });
    rig.wait(STEP_MS);
    let (link, again) = rig.submission(request)?;
    check(link != leaving && again.attempt.ordinal == 1, &(link, again.attempt))?;
    for _ in 0..9 {
        let (_, next, _) = submitted(&mut rig, LODGE)?;
        check(rig.links[&next] != rig.links[&leaving], &"new work for a leaving agent")?;
    }
    Ok(())
}

/// Symptom: a request with an idempotency key runs twice.
/// Sequence: its attempt is refused and tried again.
/// Cause: only the home of the key remembers it; any other agent would run it once more.
pub(crate) fn keyed_request_stays_at_the_home_of_its_key(on: Mechanisms) -> Outcome {
    for key in ["k-1", "k-2", "k-3", "k-4", "k-5", "k-6"] {
        let mut rig = Rig::new(on);
        let backends = ["s-1", "s-2", "s-3"].map(BackendServerId::new);
        let home = key_home(&backends.each_ref(), KeyDigest::of(&"clerks".into(), key));
        let home = instance_of(home.map_or("", BackendServerId::as_str));
        let (request, link, attempt) = submitted(&mut rig, Ask { key: Some(key), ..READ })?;
        check(rig.links[&link] == home, &"first try elsewhere")?;
        let load = load(rig.now_ms, AgentState::Serving);
        let reason = RefusalReason::QueueFull;
        rig.say(link, ToEntry::Refused { attempt, reason, retry_at: None, load });
        rig.wait(STEP_MS);
        let (link, again) = rig.submission(request)?;
        check(again.attempt.ordinal == 1, &"not tried again")?;
        check(rig.links[&link] == home, &"second try elsewhere")?;
    }
    Ok(())
}

/// Symptom: a non-idempotent request runs twice.
/// Sequence: a refutation of its attempt arrives on the link of another agent.
/// Cause: the link, not the message, tells which process speaks; only the one that has the attempt
/// can refute it.
pub(crate) fn word_of_another_agent_is_not_taken(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, old, attempt) = submitted(&mut rig, LODGE)?;
    rig.accept(old, attempt);
    let other = rig.links.keys().copied().find(|link| *link != old).ok_or("no other link")?;
    rig.say(other, ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned });
    rig.wait(SILENCE_MS);
    check(rig.submissions(request).len() == 1, &"submitted twice")?;
    check(rig.callers[&request].finals() == 0, &rig.callers[&request])
}

/// Symptom: an agent works for nobody.
/// Sequence: the caller goes away while its request runs.
/// Cause: nothing else tells the agent.
pub(crate) fn caller_gone_cancels(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, LODGE)?;
    rig.accept(link, attempt);
    rig.event(EntryEvent::CallerGone { request });
    rig.chunk(link, attempt, 0, "late");
    let cancels = rig.sent().filter(|(_, message)| matches!(message, ToAgent::Cancel { .. }));
    check(cancels.count() >= 1, &"not cancelled")?;
    check(rig.callers[&request].finals() == 0, &rig.callers[&request])?;
    check(rig.callers[&request].bytes.is_empty(), &"bytes for a caller that is gone")
}

/// Symptom: an answer that is complete at the agent never ends at the caller.
/// Sequence: the end marker is lost on a link that is otherwise alive.
/// Cause: no acknowledgement is owed for it, so that only the lack of progress shows it.
pub(crate) fn lost_end_marker_is_asked_for_again(on: Mechanisms) -> Outcome {
    let mut rig = Rig::new(on);
    let (request, link, attempt) = submitted(&mut rig, LODGE)?;
    rig.accept(link, attempt);
    rig.head(link, attempt);
    rig.chunk(link, attempt, 0, "a");
    rig.wait(HEARTBEAT_MS);
    rig.attached_on(attempt, 1)?;
    rig.end(link, attempt, 1, 1);
    rig.expect_answer(request, "a")
}
