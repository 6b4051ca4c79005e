//! Decides after an attempt without a usable answer whether the request is sent again, and with
//! which refusal it ends otherwise.

use super::active_request::ActiveRequest;
use super::attempt::Attempt;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::gossip::gossip_quiet_rank;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{AttemptEnd, BackendServer, judge_attempt};
use http::StatusCode;

/// Failed connection attempts after which a request is given up. They do not count as sends, since
/// no backend server saw the request, but each takes time.
const MAX_CONNECT_FAILURES: u32 = 3;

impl ActiveRequest {
    /// Spends one retry of the fleet's budget if the request was sent before.
    pub(super) fn spend_retry(&self) -> Result<(), Refusal> {
        let now = boot_now();
        if self.sends == 0 || self.state.retry_budget.borrow_mut().try_spend(now, &self.service) {
            return Ok(());
        }
        self.log_retry_denied();
        Err(self.final_refusal())
    }

    /// Returns whether the route and the fleet's retry budget allow one more send.
    pub(super) fn may_retry(&self) -> bool {
        self.sends < self.request.route.max_attempts
            && self.state.retry_budget.borrow_mut().allows_retry(boot_now(), &self.service)
    }

    /// Returns whether to retry elsewhere after an answer with a server error status, and records
    /// the failure if so.
    ///
    /// The retry is immediate: a failure that the request causes recurs after any delay, and any
    /// other failure rarely occurs twice.
    pub(super) fn should_retry_failure(&mut self, attempt: &Attempt, status: StatusCode) -> bool {
        let excluded_servers = self.excluded_servers();
        let domains = self.allowed_domains();
        let selection = self.selection(&excluded_servers, domains.as_ref());
        let has_other = self.state.backends.borrow().choose(&selection, boot_now(), 0.0).is_some();
        let retries = self.request.route.kind.is_idempotent() && has_other && self.may_retry();
        self.log_failure(&attempt.server.id, status, retries);
        if !retries {
            return false;
        }
        self.state.backends.borrow_mut().note_failure(&attempt.server, boot_now());
        self.verdict = Verdict::Ran;
        true
    }

    /// Handles an attempt that ended without a usable answer. Fails with the refusal for the caller
    /// if there is to be no further attempt.
    pub(crate) fn handle_attempt_end(
        &mut self,
        server: &BackendServer,
        end: AttemptEnd,
    ) -> Result<(), Refusal> {
        let judgement = judge_attempt(end);
        self.verdict = self.verdict.max(judgement.verdict);
        self.is_part_trial &= judgement.verdict == Verdict::NotRun;
        self.count_unsent(end);
        self.pool = self.state.pool_of(server);
        self.record_attempt_end(server, end, judgement.blames_backend);
        let is_group_unavailable = self.shows_group_unavailable(end) && self.note_rejected();
        if is_group_unavailable && !(self.has_other_pool() && self.may_retry()) {
            return self.requeue_after_rejection();
        }
        let may_repeat = self.verdict.permits_retry(self.request.route.kind.is_idempotent());
        let has_tries = self.sends < self.request.route.max_attempts
            && self.connect_failures < MAX_CONNECT_FAILURES;
        if may_repeat && has_tries { Ok(()) } else { Err(self.final_refusal()) }
    }

    /// Takes back the count of an attempt that sent nothing.
    fn count_unsent(&mut self, end: AttemptEnd) {
        if matches!(
            end,
            AttemptEnd::NothingSent | AttemptEnd::Declined | AttemptEnd::RegionNotAllowed
        ) {
            self.sends = self.sends.saturating_sub(1);
        }
        if end == AttemptEnd::NothingSent {
            self.connect_failures += 1;
        }
    }

    /// Records and logs what the end of an attempt shows about its backend server.
    fn record_attempt_end(&self, server: &BackendServer, end: AttemptEnd, blames_backend: bool) {
        let now = boot_now();
        let mut backends = self.state.backends.borrow_mut();
        let paused_until = if blames_backend { backends.note_failure(server, now) } else { None };
        let mut quiet = None;
        match end {
            AttemptEnd::OtherIncarnation => {
                backends.note_leaving(server);
            }
            AttemptEnd::Rejected => backends.note_rejection(server, now),
            AttemptEnd::TimedOut => quiet = backends.note_timed_out(server, now),
            _ => {}
        }
        // A connection that breaks later says that one run ended, not that the server restarts.
        if end == AttemptEnd::NothingSent {
            backends.note_connection_lost(server, now);
        }
        drop(backends);
        self.log_attempt_end(&server.id, end, paused_until.is_some());
        if let Some(report) = quiet {
            gossip_quiet_rank(&self.state, report, "quiet-here");
        }
        match end {
            AttemptEnd::TimedOut => self.note_not_begun_stream(),
            AttemptEnd::Broken => self.note_broken(server),
            _ => {}
        }
    }

    /// Returns whether an attempt ended in a way that may show that the whole group is unavailable:
    /// the rank names another one as the cause, or all ranks reject requests. A rank that rejects on
    /// its own account says nothing of the others.
    fn shows_group_unavailable(&self, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::GroupRejected => true,
            AttemptEnd::Rejected => self.state.backends.borrow().all_reject(&self.pool, boot_now()),
            _ => false,
        }
    }

    /// Lets a request that an unavailable group rejected wait for the group, if its caller has
    /// retried before or already got events of the stream.
    ///
    /// The request did not run, so the backend server does not count as tried. Sending it again
    /// spends retry budget, which is too small for all requests that a stall delays. A caller that
    /// has not retried yet can do that instead.
    fn requeue_after_rejection(&mut self) -> Result<(), Refusal> {
        if self.request.used_ms == 0 && self.waiting_since == self.request.arrived_at {
            return Err(self.final_refusal());
        }
        self.tried.clear();
        Ok(())
    }

    /// Returns the refusal of a request that is not sent any more.
    pub(super) fn final_refusal(&self) -> Refusal {
        if self.verdict != Verdict::NotRun {
            return Refusal::Failed(self.verdict);
        }
        if self.state.backends.borrow().is_service_drained(&self.service) {
            return Refusal::DomainsDrained;
        }
        if self.lacks_only_cold_permits() {
            return self.warm_up_refusal();
        }
        if let Some(over_at) = self.backoff_over_at(&[]) {
            return self.backoff_refusal(over_at);
        }
        match self.expected_back_at() {
            Some(expected_back_at) => self.group_unavailable(expected_back_at),
            None => Refusal::Full,
        }
    }
}
