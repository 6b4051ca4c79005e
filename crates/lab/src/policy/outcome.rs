//! What an entry of the fake fleet makes of the fate of its attempts.

use super::entry::{Entry, Shared};
use super::ledger::Outcome;
use super::open::OpenAttempt;
use super::queue::Attempt;
use super::wire::Effect;
use hickorycross_core::health::Signal;
use hickorycross_core::message::RefusalReason;
use hickorycross_core::retry::RetryDecision;
use hickorycross_core::{Now, UnixMs};

impl Entry {
    pub(super) fn accepted(&mut self, shared: &mut Shared<'_>, attempt: Attempt) {
        if let Some(open) = self.open.attempt_mut(attempt) {
            open.ack_by_ms = None;
            shared.ledger.accepted(attempt.request);
        }
    }

    pub(super) fn refused(
        &mut self,
        now: Now,
        shared: &mut Shared<'_>,
        attempt: Attempt,
        reason: RefusalReason,
    ) {
        if self.close(attempt.request, attempt.ordinal).is_none() {
            return;
        }
        if reason == RefusalReason::Expired {
            self.routing.record_expiry(now, attempt.rank);
            self.end(shared, attempt.request, Outcome::Expired);
            return;
        }
        self.try_again(now, shared, attempt.request, Outcome::RefusedLater);
    }

    pub(super) fn first_chunk(
        &mut self,
        now: Now,
        shared: &mut Shared<'_>,
        backend: usize,
        attempt: Attempt,
    ) {
        let Some(open) = self.open.attempt_mut(attempt) else {
            return;
        };
        open.began = true;
        let took_ms = now.unix_ms.0 - open.sent_ms;
        self.routing.record_first_chunk(now, self.links[backend].id(), took_ms);
        self.routing.record_start(now, attempt.rank);
        shared.ledger.first_chunk(
            now.unix_ms.0,
            attempt.request,
            &shared.requests[attempt.request],
        );
    }

    pub(super) fn failed(
        &mut self,
        now: Now,
        shared: &mut Shared<'_>,
        request: usize,
        ordinal: u16,
    ) {
        let Some(open) = self.close(request, ordinal) else {
            return;
        };
        let link = &mut self.links[open.backend];
        link.health.signal(now, Signal::Failed);
        self.routing.record_failure(now, link.id());
        if open.began {
            self.end(shared, request, Outcome::Failed);
            return;
        }
        self.try_again(now, shared, request, Outcome::Failed);
    }

    pub(super) fn try_again(
        &mut self,
        now: Now,
        shared: &mut Shared<'_>,
        request: usize,
        else_: Outcome,
    ) {
        let tries = self.open.tried(request).len() as u16;
        let deadline = UnixMs(shared.requests[request].deadline_ms);
        match self.retry.decide(now, &self.route, tries, deadline) {
            RetryDecision::RetryAt(at) => {
                let after_ms = at.since(now.unix_ms);
                self.effects.push(Effect::RetryIn { request, after_ms });
            }
            RetryDecision::GiveUp => self.end(shared, request, else_),
        }
    }

    /// An attempt without acknowledgement is taken back; one on a silent link is lost too.
    pub(super) fn give_up_lost(&mut self, now: Now, shared: &mut Shared<'_>) {
        let is_lost = |(_, attempt): &(usize, OpenAttempt)| {
            attempt.is_overdue(now) || self.links[attempt.backend].is_silent(now)
        };
        let lost: Vec<(usize, OpenAttempt)> = self.open.attempts().filter(is_lost).collect();
        for (request, attempt) in lost {
            if attempt.is_overdue(now) {
                self.links[attempt.backend].health.signal(now, Signal::Missed);
            }
            self.close(request, attempt.ordinal);
            if attempt.began {
                self.end(shared, request, Outcome::Failed);
            } else {
                self.try_again(now, shared, request, Outcome::Failed);
            }
        }
    }

    pub(super) fn close(&mut self, request: usize, ordinal: u16) -> Option<OpenAttempt> {
        let attempt = self.open.end_attempt(request, ordinal)?;
        self.links[attempt.backend].ended();
        Some(attempt)
    }

    pub(super) fn end(&mut self, shared: &mut Shared<'_>, request: usize, outcome: Outcome) {
        self.open.remove(request);
        shared.ledger.ended(request, outcome);
    }
}
