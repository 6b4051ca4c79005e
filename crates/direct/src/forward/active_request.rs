//! A request that is being forwarded: chooses backend servers for it and decides about retries.

use super::attempt::{self, Attempt, Reply, SendOptions, SendOutcome, end_to_end};
use super::crash::note_answered;
use super::response_wait::{Awaited, ResponseWait, WaitError};
use super::stream;
use crate::callers::{AnswerBody, CallerRequest, Refusal, full_body};
use crate::clock::boot_now;
use crate::gossip::gossip_quiet_rank;
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{
    AttemptEnd, BackendServer, BootMs, Choice, RequestDigest, Route, judge_attempt,
};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;

/// Failed connection attempts after which a request is given up. They do not count as sends, since
/// no backend server saw the request, but each takes time.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Largest answer that is buffered until it is complete; a larger one is not forwarded.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A caller's request from its acceptance to its final answer.
pub(crate) struct ActiveRequest {
    pub(crate) state: Rc<EntryState>,
    pub(crate) request: CallerRequest,
    pub(crate) service: String,
    body: Bytes,
    pub(super) digest: RequestDigest,
    /// Ids of the backend servers that are not chosen again.
    pub(super) tried: Vec<String>,
    /// Sends that may have reached a backend server.
    pub(super) sends: u32,
    connect_failures: u32,
    /// When the caller sent the request, or got the last event of its stream.
    pub(super) waiting_since: BootMs,
    /// When the request was last sent to a backend server.
    pub(super) sent_at: BootMs,
    /// Whether the head of an answer has arrived in the current attempt.
    pub(super) has_head: bool,
    /// Whether the caller got an event.
    pub(super) has_event: bool,
    /// Whether the request has waited for an unavailable group.
    pub(super) has_waited_for_group: bool,
    /// Whether the request may have run, over all attempts so far.
    pub(super) verdict: Verdict,
    /// Whether the end of the request was logged.
    pub(super) is_ended: Cell<bool>,
}

impl Drop for ActiveRequest {
    /// Logs a request whose caller closed its connection before the end.
    fn drop(&mut self) {
        if !self.is_ended.get() {
            self.note_not_begun_stream();
            self.log_outcome("caller-left", None);
        }
    }
}

/// Forwards a request and returns the answer for its caller.
pub(crate) async fn forward(
    state: Rc<EntryState>,
    request: CallerRequest,
    body: Bytes,
) -> Response<AnswerBody> {
    let service = choose_service(&state, &request.route);
    let digest = request.digest(&body);
    state.retry_budget.borrow_mut().note_first_send(boot_now(), &service);
    let mut active = ActiveRequest {
        waiting_since: request.arrived_at,
        sent_at: request.arrived_at,
        has_head: false,
        has_event: false,
        has_waited_for_group: false,
        state,
        request,
        service,
        body,
        digest,
        tried: Vec::new(),
        sends: 0,
        connect_failures: 0,
        verdict: Verdict::NotRun,
        is_ended: Cell::new(false),
    };
    match active.fetch_answer().await {
        Ok(FinalAnswer::Complete(parts, body)) => active.forward_answer(parts, body),
        Ok(FinalAnswer::Stream(reply)) => stream::respond(active, *reply),
        Err(refusal) => {
            active.log_refusal(&refusal);
            refusal.into_response()
        }
    }
}

/// The answer of a backend server that is forwarded to the caller.
enum FinalAnswer {
    Complete(response::Parts, Bytes),
    Stream(Box<Reply>),
}

/// Chooses one of the services of a route at random, by their weights.
fn choose_service(state: &EntryState, route: &Route) -> String {
    let total: u32 = route.backends.iter().map(|share| share.weight).sum();
    let mut draw = state.random.borrow_mut().random_range(0..total.max(1));
    for share in &route.backends {
        if draw < share.weight {
            return share.service.clone();
        }
        draw -= share.weight;
    }
    route.backends.first().map(|share| share.service.clone()).unwrap_or_default()
}

impl ActiveRequest {
    /// Sends the request, with retries, until an answer is complete or a stream begins.
    async fn fetch_answer(&mut self) -> Result<FinalAnswer, Refusal> {
        loop {
            let reply = self.send_until_answered(None).await?;
            let response = &reply.response;
            if is_event_stream(response.headers()) && response.status().is_success() {
                return Ok(FinalAnswer::Stream(Box::new(reply)));
            }
            let Reply { response, attempt } = reply;
            let (parts, body) = response.into_parts();
            if parts.status.is_server_error() && self.should_retry_failure(&attempt, parts.status) {
                continue;
            }
            match self.read_answer(&attempt.server, body).await {
                Ok(bytes) => {
                    self.note_success(&attempt, parts.status);
                    attempt.finish();
                    return Ok(FinalAnswer::Complete(parts, bytes));
                }
                Err(end) => self.handle_attempt_end(&attempt.server, end)?,
            }
        }
    }

    /// Sends the request, with retries, until a response head arrives.
    ///
    /// `resume_after` is the id of the last event that the caller got, for a stream that is
    /// resumed.
    pub(crate) async fn send_until_answered(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Reply, Refusal> {
        loop {
            self.check_before_send()?;
            let is_probe = self.wait_for_admission().await?;
            let choice = self.choose()?;
            self.spend_retry()?;
            let options =
                SendOptions { urgency: self.urgency(resume_after.is_some()), resume_after };
            self.log_attempt(&choice, options);
            let _probe_guard = is_probe.then(|| self.watch_probe());
            let server = choice.server;
            self.tried.push(server.id.clone());
            self.sends += 1;
            self.sent_at = boot_now();
            self.has_head = false;
            let wait = self.response_wait(&server, Awaited::Head);
            let sending = attempt::send(&self.state, &self.request, &self.body, &wait, options);
            match sending.await {
                SendOutcome::Answer(reply) => {
                    self.has_head = true;
                    let answered = verdict_of_answer(reply.response.status());
                    self.verdict = self.verdict.max(answered);
                    return Ok(*reply);
                }
                SendOutcome::End(end) => self.handle_attempt_end(&server, end)?,
                SendOutcome::DeadlinePassed { sent } => {
                    if sent {
                        self.verdict = self.verdict.max(Verdict::MayHaveRun);
                    }
                    return Err(Refusal::TimedOut(self.verdict));
                }
            }
        }
    }

    /// Checks again whether the request may be sent, as it may have waited since it was accepted.
    ///
    /// Meanwhile its deadline may have passed, the catalog by which its key was checked may have
    /// become too old, or too many backend servers may have ended while they had the request.
    pub(super) fn check_before_send(&self) -> Result<(), Refusal> {
        self.check_crashes()?;
        let now = boot_now();
        if now >= self.request.deadline_at {
            return Err(Refusal::TimedOut(self.verdict));
        }
        if self.request.team.is_some() && !self.state.keys_are_fresh(now) {
            return Err(match self.verdict {
                Verdict::NotRun => Refusal::StaleConfiguration,
                verdict => Refusal::Failed(verdict),
            });
        }
        Ok(())
    }

    /// Chooses the backend server for the next attempt.
    fn choose(&self) -> Result<Choice, Refusal> {
        let draw = self.state.random.borrow_mut().random::<f64>();
        let excluded_servers = self.excluded_servers();
        let backends = self.state.backends.borrow();
        let choice = backends.choose(&self.service, &excluded_servers, boot_now(), draw);
        drop(backends);
        self.update_permits(choice.as_ref().map(|choice| &choice.server));
        if let Some(choice) = choice {
            return Ok(choice);
        }
        let is_limited = excluded_servers.len() > self.tried.len();
        let has_backend = is_limited || self.sends > 0 || self.backoff_over_at(&[]).is_some();
        let is_first = self.verdict == Verdict::NotRun && !has_backend;
        Err(if is_first { Refusal::NoBackend } else { self.final_refusal() })
    }

    /// Spends one retry of the fleet's budget if the request was sent before.
    fn spend_retry(&self) -> Result<(), Refusal> {
        let now = boot_now();
        if self.sends == 0 || self.state.retry_budget.borrow_mut().try_spend(now, &self.service) {
            return Ok(());
        }
        metrics::counter!("hickorycross_retries_denied_total").increment(1);
        Err(self.final_refusal())
    }

    /// Returns the refusal of a request that is not sent any more.
    pub(super) fn final_refusal(&self) -> Refusal {
        if self.verdict != Verdict::NotRun {
            return Refusal::Failed(self.verdict);
        }
        if let Some(over_at) = self.backoff_over_at(&[]) {
            return self.backoff_refusal(over_at);
        }
        match self.expected_back_at() {
            Some(expected_back_at) => self.group_unavailable(expected_back_at),
            None => Refusal::Full,
        }
    }

    /// Returns the refusal of a request for which the service has no capacity.
    pub(super) fn capacity_refusal(&self) -> Refusal {
        self.final_refusal()
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
    fn should_retry_failure(&mut self, attempt: &Attempt, status: StatusCode) -> bool {
        let excluded_servers = self.excluded_servers();
        let others = self.state.backends.borrow();
        let has_other = others.choose(&self.service, &excluded_servers, boot_now(), 0.0).is_some();
        drop(others);
        let retries = self.request.route.kind.is_idempotent() && has_other && self.may_retry();
        self.log_failure(&attempt.server.id, status, retries);
        if !retries {
            return false;
        }
        self.state.backends.borrow_mut().note_failure(&attempt.server, boot_now());
        self.verdict = Verdict::Ran;
        true
    }

    /// Returns how to wait for the `awaited` part of an answer from `server`.
    pub(super) fn response_wait<'a>(
        &'a self,
        server: &'a BackendServer,
        awaited: Awaited,
    ) -> ResponseWait<'a> {
        let ActiveRequest { state, request, .. } = self;
        let can_retry = self.may_retry();
        let (route, deadline_at) = (&request.route, request.deadline_at);
        ResponseWait { state, route, server, awaited, deadline_at, can_retry }
    }

    /// Reads the body of an answer to its end.
    async fn read_answer(
        &self,
        server: &BackendServer,
        body: Incoming,
    ) -> Result<Bytes, AttemptEnd> {
        let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
        match self.response_wait(server, Awaited::Body).run(reading).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) | Err(WaitError::Superseded) => Err(AttemptEnd::Broken),
            Err(WaitError::TimedOut | WaitError::DeadlinePassed) => Err(AttemptEnd::TimedOut),
        }
    }

    /// Records an attempt that ended without a usable answer. Fails with the refusal for the
    /// caller if there is to be no further attempt.
    pub(crate) fn handle_attempt_end(
        &mut self,
        server: &BackendServer,
        end: AttemptEnd,
    ) -> Result<(), Refusal> {
        let judgement = judge_attempt(end);
        self.verdict = self.verdict.max(judgement.verdict);
        if matches!(end, AttemptEnd::NothingSent | AttemptEnd::Declined) {
            self.sends = self.sends.saturating_sub(1);
        }
        if end == AttemptEnd::NothingSent {
            self.connect_failures += 1;
        }
        let mut backends = self.state.backends.borrow_mut();
        let mut paused_until = None;
        let mut quiet = None;
        if judgement.blames_backend {
            paused_until = backends.note_failure(server, boot_now());
        }
        match end {
            AttemptEnd::OtherIncarnation => {
                backends.note_leaving(server);
            }
            AttemptEnd::Rejected => backends.note_rejection(server, boot_now()),
            AttemptEnd::TimedOut => quiet = backends.note_timed_out(server, boot_now()),
            _ => {}
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
        if self.shows_group_unavailable(end) && self.note_rejected() {
            return self.requeue_after_rejection();
        }
        let may_repeat = self.verdict.permits_retry(self.request.route.kind.is_idempotent());
        let has_tries = self.sends < self.request.route.max_attempts
            && self.connect_failures < MAX_CONNECT_FAILURES;
        if may_repeat && has_tries { Ok(()) } else { Err(self.final_refusal()) }
    }

    /// Returns whether an attempt ended in a way that may show that the whole group is unavailable:
    /// the rank names another one as the cause, or all ranks reject requests. A rank that rejects on
    /// its own account says nothing of the others.
    fn shows_group_unavailable(&self, end: AttemptEnd) -> bool {
        match end {
            AttemptEnd::GroupRejected => true,
            AttemptEnd::Rejected => {
                self.state.backends.borrow().all_reject(&self.service, boot_now())
            }
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

    /// Records that a backend server answered the request to its end.
    pub(crate) fn note_success(&self, attempt: &Attempt, status: StatusCode) {
        note_answered(&self.state, self.digest);
        let mut backends = self.state.backends.borrow_mut();
        if status.is_server_error() {
            backends.note_failure(&attempt.server, boot_now());
        } else {
            backends.note_success(&attempt.server);
        }
    }

    /// Returns a complete answer as the response to the caller.
    fn forward_answer(&self, parts: response::Parts, bytes: Bytes) -> Response<AnswerBody> {
        if is_unproved_rejection(parts.status) {
            let refusal = Refusal::Failed(Verdict::MayHaveRun);
            self.log_response("unproved-promise", refusal.status());
            return refusal.into_response();
        }
        self.log_response("answered", parts.status);
        let mut response = Response::new(full_body(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = end_to_end(&parts.headers);
        response
    }
}

/// Returns what the status of an answer proves. A backend server that rejects a request says so in
/// a header field of its own, so the status alone is no proof of that.
const fn verdict_of_answer(status: StatusCode) -> Verdict {
    if is_unproved_rejection(status) { Verdict::MayHaveRun } else { Verdict::Ran }
}

/// Returns whether a caller would conclude from a status that the request did not run, although the
/// backend server gave no proof of that.
const fn is_unproved_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|it| it.starts_with("text/event-stream"))
}
