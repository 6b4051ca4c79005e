//! The end of an attempt and of a request.
//!
//! A request that is given up gets its final answer at once, with the greatest verdict of its
//! attempts; what is left of them is cancelled.

use crate::entry::border::{EntryAction, Refusal, RefusalCode};
use crate::entry::constants::{CANCELS_MAX, LINK_WAIT_MS};
use crate::entry::core::EntryCore;
use crate::entry::request::{Attempt, Progress, Request};
use crate::entry::turn::Turn;
use crate::health::Signal;
use crate::ids::{AttemptId, InstanceId, RequestId};
use crate::message::ToAgent;
use crate::retry::RetryDecision;
use crate::time::UnixMs;
use crate::verdict::Verdict;

/// Why an attempt ended without a whole answer.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    pub(super) code: RefusalCode,
    pub(super) verdict: Verdict,
    pub(super) retry_at: Option<UnixMs>,
    pub(super) detail: String,
    /// Whether another attempt could have another outcome.
    pub(super) retry: bool,
}

impl EntryCore {
    /// Ends the live attempt of a request: another try if its fate permits one, else the final
    /// answer.
    pub(super) fn end_attempt(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        mut ending: Ending,
    ) {
        let Some(attempt) = self.take_attempt(request) else { return };
        self.counters.attempts_failed += 1;
        let started = attempt.answer.has_started();
        if let Err(violation) = self.ledger.settle(attempt.id, ending.verdict, started) {
            self.violated(turn, &violation);
        }
        if started {
            ending.verdict = Verdict::Ran;
        }
        let Some(row) = self.requests.get_mut(&request) else { return };
        row.verdict = row.verdict.max(ending.verdict);
        let fixed = attempt.answer.begun && self.mechanisms.no_retry_after_begin;
        if !fixed && ending.retry && self.try_again(turn, request, ending.verdict) {
            return;
        }
        self.conclude(turn, request, ending.code, ending.retry_at, ending.detail);
    }

    /// Queues a request for another attempt, if verdict and budget permit one.
    fn try_again(&mut self, turn: &mut Turn<'_>, request: RequestId, verdict: Verdict) -> bool {
        let Some(row) = self.requests.get_mut(&request) else { return false };
        let permitted =
            verdict.permits_retry(row.idempotent) || !self.mechanisms.retry_only_not_run;
        if !permitted {
            return false;
        }
        let retries = &mut self.policies.retries;
        let decision = retries.decide(turn.now, &row.route, row.tries, row.deadline);
        let RetryDecision::RetryAt(at) = decision else { return false };
        row.not_before = at;
        row.link_wait = at.max(turn.now.unix_ms).after(LINK_WAIT_MS);
        self.waiting.insert(request);
        self.dispatch_due = true;
        self.wake_by(at);
        true
    }

    /// Gives up a request whatever its state, and cancels what is left of it.
    pub(super) fn give_up(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        code: RefusalCode,
        retry_at: Option<UnixMs>,
        detail: String,
    ) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        row.verdict = row.verdict_now();
        if let Some(attempt) = self.take_attempt(request) {
            self.cancel(turn, request, &attempt);
        }
        self.conclude(turn, request, code, retry_at, detail);
    }

    /// The final answer of a request without a live attempt.
    fn conclude(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        code: RefusalCode,
        retry_at: Option<UnixMs>,
        detail: String,
    ) {
        let Some(row) = self.remove(request) else { return };
        self.refuse(turn, request, Refusal { code, verdict: row.verdict, retry_at, detail });
    }

    /// The final answer of a request whose deadline has passed.
    pub(super) fn expire(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        let detail = "the deadline has passed".to_owned();
        self.give_up(turn, request, RefusalCode::DeadlinePassed, None, detail);
    }

    /// Whether a request's deadline has passed.
    pub(super) fn is_expired(&self, turn: &Turn<'_>, request: RequestId) -> bool {
        let past = |row: &Request| row.deadline.is_past(turn.now);
        self.mechanisms.deadline_check && self.requests.get(&request).is_some_and(past)
    }

    /// Nobody waits any more.
    pub(super) fn caller_gone(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        if let Some(attempt) = self.take_attempt(request) {
            self.cancel(turn, request, &attempt);
        }
        if self.remove(request).is_none() {
            return;
        }
        self.counters.callers_gone += 1;
        if let Err(violation) = self.ledger.give_up(request) {
            self.violated(turn, &violation);
        }
    }

    /// Ends an attempt whose agent could not be reached again, or came back as another process.
    pub(super) fn lose_attempt(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        detail: &'static str,
    ) {
        let Some(attempt) = self.requests.get(&request).and_then(|row| row.attempt.as_ref()) else {
            return;
        };
        let (instance, id) = (attempt.instance.clone(), attempt.id);
        let incarnation = attempt.incarnation;
        let ending = Ending {
            code: RefusalCode::Interrupted,
            verdict: attempt.verdict_now(),
            retry_at: None,
            detail: detail.to_owned(),
            retry: true,
        };
        if self.peers.get(&instance).is_some_and(|peer| peer.incarnation == Some(incarnation)) {
            self.remember_cancel(&instance, id);
        }
        self.signal(turn, &instance, Signal::Failed);
        self.end_attempt(turn, request, ending);
    }

    /// Takes the live attempt out of its request and its peer.
    pub(super) fn take_attempt(&mut self, request: RequestId) -> Option<Attempt> {
        let attempt = self.requests.get_mut(&request)?.attempt.take()?;
        if let Some(peer) = self.peers.get_mut(&attempt.instance) {
            peer.requests.swap_remove(&request);
        }
        Some(attempt)
    }

    /// Takes a request out of the tables.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<Request> {
        self.waiting.shift_remove(&request);
        self.requests.swap_remove(&request)
    }

    /// Tells the agent that nobody waits for an attempt.
    ///
    /// An attempt that was not acknowledged is revoked: a cancellation could overtake its
    /// submission, which would then run for nobody.
    fn cancel(&mut self, turn: &mut Turn<'_>, request: RequestId, attempt: &Attempt) {
        let Some(peer) = self.peers.get(&attempt.instance) else { return };
        let Some(link) = peer.active.or(peer.suspect) else {
            return self.remember_cancel(&attempt.instance, attempt.id);
        };
        let silent = peer.active.is_none();
        if attempt.progress == Progress::Accepted {
            turn.send(link, ToAgent::Cancel { attempt: attempt.id });
        } else if let Some(row) = self.requests.get(&request) {
            let message = revocation(attempt, row.deadline);
            turn.send(link, message);
        }
        if silent {
            self.remember_cancel(&attempt.instance, attempt.id);
        }
    }

    /// Keeps a cancellation for the next link to the agent.
    fn remember_cancel(&mut self, instance: &InstanceId, attempt: AttemptId) {
        if let Some(peer) = self.peers.get_mut(instance)
            && peer.cancels.len() < CANCELS_MAX
        {
            peer.cancels.insert(attempt);
        }
    }

    /// Ends a request with its whole answer.
    pub(super) fn finish(&mut self, turn: &mut Turn<'_>, request: RequestId, chunk_count: u32) {
        let Some(attempt) = self.take_attempt(request) else { return };
        if let Err(violation) = self.ledger.finish(attempt.id, chunk_count) {
            self.violated(turn, &violation);
            let detail = "the answer is not whole".to_owned();
            if let Some(row) = self.requests.get_mut(&request) {
                row.verdict = Verdict::Ran;
            }
            return self.conclude(turn, request, RefusalCode::BadAnswer, None, detail);
        }
        self.remove(request);
        self.counters.finished += 1;
        turn.push(EntryAction::Finish { request });
        if !attempt.server_error {
            self.signal(turn, &attempt.instance, Signal::Answered);
        }
    }
}

/// The message that makes sure that an attempt does not start.
pub(super) fn revocation(attempt: &Attempt, deadline: UnixMs) -> ToAgent {
    ToAgent::Revoke {
        attempt: attempt.id,
        agent: attempt.incarnation,
        deadline,
        next_chunk: attempt.answer.next_chunk(),
    }
}
