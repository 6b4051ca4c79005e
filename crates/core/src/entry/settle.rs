//! The end of attempts and requests.
//!
//! A failed attempt is retried if its verdict and the retry budget permit. Otherwise the request is
//! refused with the greatest verdict of its attempts, and a live attempt is cancelled.

use crate::entry::constants::{LINK_WAIT_MS, PENDING_CANCELS_MAX};
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::{EntryAction, Refusal, RefusalCode};
use crate::entry::request::{Attempt, Progress, Request};
use crate::health::Signal;
use crate::ids::{AttemptId, InstanceId, RequestId};
use crate::message::ToAgent;
use crate::retry::RetryDecision;
use crate::time::UnixMs;
use crate::verdict::Verdict;

/// Why an attempt ended without a complete response.
#[derive(Clone, Debug)]
pub(super) struct AttemptFailure {
    pub(super) code: RefusalCode,
    pub(super) verdict: Verdict,
    pub(super) retry_at: Option<UnixMs>,
    pub(super) detail: String,
    /// Whether another attempt could succeed.
    pub(super) may_retry: bool,
}

impl EntryCore {
    /// Ends the live attempt of a request, and retries the request if permitted or else refuses it.
    pub(super) fn fail_attempt(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        mut failure: AttemptFailure,
    ) {
        let Some(attempt) = self.take_attempt(request) else { return };
        self.counters.attempts_failed += 1;
        let started = attempt.response.has_started();
        if let Err(violation) = self.guard.record_verdict(attempt.id, failure.verdict, started) {
            self.report_violation(ctx, &violation);
        }
        if started {
            failure.verdict = Verdict::Ran;
        }
        let Some(row) = self.requests.get_mut(&request) else { return };
        row.verdict = row.verdict.max(failure.verdict);
        let committed = attempt.response.head_delivered && self.mechanisms.no_retry_after_begin;
        if !committed && failure.may_retry && self.queue_retry(ctx, request, failure.verdict) {
            return;
        }
        self.remove_and_refuse(ctx, request, failure.code, failure.retry_at, failure.detail);
    }

    /// Queues a request for another attempt if the verdict and the retry budget permit one. Returns
    /// whether it was queued.
    fn queue_retry(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        verdict: Verdict,
    ) -> bool {
        let Some(row) = self.requests.get_mut(&request) else { return false };
        let permitted =
            verdict.permits_retry(row.idempotent) || !self.mechanisms.retry_only_not_run;
        if !permitted {
            return false;
        }
        let retries = &mut self.policies.retries;
        let decision = retries.decide(ctx.now, &row.route, row.tries, row.deadline);
        let RetryDecision::RetryAt(at) = decision else { return false };
        row.not_before = at;
        row.link_wait_until = at.max(ctx.now.unix_ms).after(LINK_WAIT_MS);
        self.waiting.insert(request);
        self.dispatch_due = true;
        self.schedule_wake(at);
        true
    }

    /// Refuses a request in any state, and cancels its live attempt.
    pub(super) fn give_up(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        code: RefusalCode,
        retry_at: Option<UnixMs>,
        detail: String,
    ) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        row.verdict = row.verdict_now();
        if let Some(attempt) = self.take_attempt(request) {
            self.cancel_attempt(ctx, request, &attempt);
        }
        self.remove_and_refuse(ctx, request, code, retry_at, detail);
    }

    /// Removes a request without a live attempt, and refuses it.
    fn remove_and_refuse(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        code: RefusalCode,
        retry_at: Option<UnixMs>,
        detail: String,
    ) {
        let Some(row) = self.remove_request(request) else { return };
        self.refuse(ctx, request, Refusal { code, verdict: row.verdict, retry_at, detail });
    }

    /// Refuses a request whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, ctx: &mut EventContext<'_>, request: RequestId) {
        let detail = "the deadline has passed".to_owned();
        self.give_up(ctx, request, RefusalCode::DeadlinePassed, None, detail);
    }

    /// Returns whether a request's deadline has passed.
    pub(super) fn is_expired(&self, ctx: &EventContext<'_>, request: RequestId) -> bool {
        let past = |row: &Request| row.deadline.is_past(ctx.now);
        self.mechanisms.deadline_check && self.requests.get(&request).is_some_and(past)
    }

    /// Ends a request whose caller disconnected, and cancels its live attempt.
    pub(super) fn handle_caller_gone(&mut self, ctx: &mut EventContext<'_>, request: RequestId) {
        if let Some(attempt) = self.take_attempt(request) {
            self.cancel_attempt(ctx, request, &attempt);
        }
        if self.remove_request(request).is_none() {
            return;
        }
        self.counters.callers_gone += 1;
        if let Err(violation) = self.guard.record_refusal(request) {
            self.report_violation(ctx, &violation);
        }
    }

    /// Fails an attempt whose agent could not be reached again or was restarted.
    pub(super) fn fail_lost_attempt(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        detail: &'static str,
    ) {
        let Some(attempt) = self.requests.get(&request).and_then(|row| row.attempt.as_ref()) else {
            return;
        };
        let (instance, id) = (attempt.instance.clone(), attempt.id);
        let incarnation = attempt.incarnation;
        let failure = AttemptFailure {
            code: RefusalCode::Interrupted,
            verdict: attempt.verdict_now(),
            retry_at: None,
            detail: detail.to_owned(),
            may_retry: true,
        };
        if self.peers.get(&instance).is_some_and(|peer| peer.incarnation == Some(incarnation)) {
            self.queue_cancel(&instance, id);
        }
        self.signal(ctx, &instance, Signal::Failed);
        self.fail_attempt(ctx, request, failure);
    }

    /// Removes the live attempt from its request and its peer, and returns it.
    pub(super) fn take_attempt(&mut self, request: RequestId) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&request)?.attempt.take()?;
        if let Some(peer) = self.peers.get_mut(&attempt.instance) {
            peer.requests.swap_remove(&request);
        }
        Some(attempt)
    }

    /// Removes a request from the tables, and returns it.
    pub(super) fn remove_request(&mut self, request: RequestId) -> Option<Request> {
        self.waiting.shift_remove(&request);
        self.requests.swap_remove(&request)
    }

    /// Tells the agent that an attempt has been abandoned.
    ///
    /// An attempt that was not acknowledged is revoked instead of cancelled, because a cancellation
    /// could overtake the submission, which would then still run.
    fn cancel_attempt(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        attempt: &Attempt,
    ) {
        let Some(peer) = self.peers.get(&attempt.instance) else { return };
        let Some(link) = peer.active.or(peer.suspect) else {
            return self.queue_cancel(&attempt.instance, attempt.id);
        };
        let silent = peer.active.is_none();
        if attempt.progress == Progress::Accepted {
            ctx.send(link, ToAgent::Cancel { attempt: attempt.id });
        } else if let Some(row) = self.requests.get(&request) {
            let message = revoke_message(attempt, row.deadline);
            ctx.send(link, message);
        }
        if silent {
            self.queue_cancel(&attempt.instance, attempt.id);
        }
    }

    /// Keeps a cancellation to be sent on the next link to the agent.
    fn queue_cancel(&mut self, instance: &InstanceId, attempt: AttemptId) {
        if let Some(peer) = self.peers.get_mut(instance)
            && peer.pending_cancels.len() < PENDING_CANCELS_MAX
        {
            peer.pending_cancels.insert(attempt);
        }
    }

    /// Ends a request whose response is complete.
    pub(super) fn finish(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        chunk_count: u32,
    ) {
        let Some(attempt) = self.take_attempt(request) else { return };
        if let Err(violation) = self.guard.record_completion(attempt.id, chunk_count) {
            self.report_violation(ctx, &violation);
            let detail = "the answer is not whole".to_owned();
            if let Some(row) = self.requests.get_mut(&request) {
                row.verdict = Verdict::Ran;
            }
            return self.remove_and_refuse(ctx, request, RefusalCode::BadAnswer, None, detail);
        }
        self.remove_request(request);
        self.counters.finished += 1;
        ctx.push(EntryAction::Finish { request });
        if !attempt.server_error {
            self.signal(ctx, &attempt.instance, Signal::Answered);
        }
    }
}

/// Builds the message that revokes an attempt, so that it does not start if it has not yet.
pub(super) fn revoke_message(attempt: &Attempt, deadline: UnixMs) -> ToAgent {
    ToAgent::Revoke {
        attempt: attempt.id,
        agent: attempt.incarnation,
        deadline,
        next_chunk: attempt.response.next_chunk(),
    }
}
