//! Chooses backend servers for a request and decides about further attempts.

use super::attempt::{self, Attempt, Brought, Reply, Terms, end_to_end};
use super::crash::note_answered;
use super::patience::{Awaited, Impatience, Patience};
use super::stream;
use crate::callers::{AnswerBody, CallerRequest, Refusal, whole};
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

/// Failed connects for one request: each costs time, but no backend server saw the request.
const MOST_CONNECT_FAILURES: u32 = 3;

/// Longest answer that is held until it is whole; a longer one is not handed on.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request on its way.
pub(crate) struct Life {
    pub(crate) state: Rc<EntryState>,
    pub(crate) request: CallerRequest,
    pub(crate) service: String,
    body: Bytes,
    pub(super) digest: RequestDigest,
    pub(super) tried: Vec<String>,
    pub(super) sends: u32,
    connect_failures: u32,
    /// When the caller sent the request or got the last event, for which it waits since then.
    pub(super) heard_at: BootMs,
    /// When it was last sent to a backend server.
    pub(super) sent_at: BootMs,
    /// Whether the backend server that has it has begun its answer.
    pub(super) has_head: bool,
    /// Whether its caller has got an event.
    pub(super) is_begun: bool,
    /// Whether it has waited for a group that stood.
    pub(super) is_waiting: bool,
    pub(super) verdict: Verdict,
    /// Whether its end was logged.
    pub(super) is_ended: Cell<bool>,
}

impl Drop for Life {
    /// The connection is gone before the end: the caller left, and its work is dropped with it.
    fn drop(&mut self) {
        if !self.is_ended.get() {
            self.note_unbegun();
            self.note_end_as("caller-left", None);
        }
    }
}

/// Brings the answer to a request.
pub(crate) async fn forward(
    state: Rc<EntryState>,
    request: CallerRequest,
    body: Bytes,
) -> Response<AnswerBody> {
    let service = choose_service(&state, &request.route);
    let digest = request.digest(&body);
    state.allowance.borrow_mut().note_first_send(boot_now(), &service);
    let mut life = Life {
        heard_at: request.arrived_at,
        sent_at: request.arrived_at,
        has_head: false,
        is_begun: false,
        is_waiting: false,
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
    match life.bring().await {
        Ok(Done::Whole(parts, body)) => life.hand_on(parts, body),
        Ok(Done::Stream(reply)) => stream::respond(life, *reply),
        Err(refusal) => {
            life.note_final(refusal.as_str(), refusal.status());
            refusal.into_response()
        }
    }
}

/// What a life ends with.
enum Done {
    Whole(response::Parts, Bytes),
    Stream(Box<Reply>),
}

/// Chooses among the services of a route by their weights.
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

impl Life {
    async fn bring(&mut self) -> Result<Done, Refusal> {
        loop {
            let reply = self.obtain(None).await?;
            let response = &reply.response;
            if is_event_stream(response.headers()) && response.status().is_success() {
                return Ok(Done::Stream(Box::new(reply)));
            }
            let Reply { response, attempt } = reply;
            let (parts, body) = response.into_parts();
            if parts.status.is_server_error() && self.leaves_failure(&attempt, parts.status) {
                continue;
            }
            match self.collect(&attempt.server, body).await {
                Ok(bytes) => {
                    self.note_success(&attempt, parts.status);
                    attempt.finish();
                    return Ok(Done::Whole(parts, bytes));
                }
                Err(end) => self.note_end(&attempt.server, end)?,
            }
        }
    }

    /// Sends the request until a backend server answers it; `resume_after` is the last event that
    /// the caller has got.
    pub(crate) async fn obtain(&mut self, resume_after: Option<u64>) -> Result<Reply, Refusal> {
        loop {
            self.check_before_send()?;
            let is_probe = self.enter().await?;
            let choice = self.choose()?;
            self.take_allowance()?;
            self.note_send(&choice, resume_after);
            let _watch = is_probe.then(|| self.watch_probe());
            let server = choice.server;
            self.tried.push(server.id.clone());
            self.sends += 1;
            self.sent_at = boot_now();
            self.has_head = false;
            let patience = self.patience(&server, Awaited::Head);
            let terms = Terms { urgency: self.urgency(resume_after.is_some()), resume_after };
            let sending = attempt::send(&self.state, &self.request, &self.body, &patience, terms);
            match sending.await {
                Brought::Answer(reply) => {
                    self.has_head = true;
                    let answered = verdict_of_answer(reply.response.status());
                    self.verdict = self.verdict.max(answered);
                    return Ok(*reply);
                }
                Brought::End(end) => self.note_end(&server, end)?,
                Brought::Limit { sent } => {
                    if sent {
                        self.verdict = self.verdict.max(Verdict::MayHaveRun);
                    }
                    return Err(Refusal::TimedOut(self.verdict));
                }
            }
        }
    }

    /// A wait may have outlasted the request or the word by which its key was judged, or the request may
    /// have ended too many backend servers meanwhile.
    pub(super) fn check_before_send(&self) -> Result<(), Refusal> {
        self.check_crashes()?;
        let now = boot_now();
        if now >= self.request.limit_at {
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

    fn choose(&self) -> Result<Choice, Refusal> {
        let draw = self.state.random.borrow_mut().random::<f64>();
        let passed_over = self.passed_over();
        let backends = self.state.backends.borrow();
        let choice = backends.choose(&self.service, &passed_over, boot_now(), draw);
        drop(backends);
        self.use_limits(choice.as_ref().map(|choice| &choice.server));
        let is_limited = passed_over.len() > self.tried.len();
        choice.ok_or_else(|| match self.verdict {
            _ if is_limited => self.given_up(),
            Verdict::NotRun if self.sends == 0 => Refusal::NoBackend,
            _ => self.given_up(),
        })
    }

    /// Every send beyond the first that reaches a backend server comes out of the fleet's budget.
    fn take_allowance(&self) -> Result<(), Refusal> {
        let now = boot_now();
        if self.sends == 0 || self.state.allowance.borrow_mut().try_spend(now, &self.service) {
            return Ok(());
        }
        metrics::counter!("hickorycross_retries_denied_total").increment(1);
        Err(self.given_up())
    }

    fn given_up(&self) -> Refusal {
        match (self.verdict, self.back_at()) {
            (Verdict::NotRun, Some(back_at)) => self.standing(back_at),
            (Verdict::NotRun, None) => Refusal::Full,
            (verdict, _) => Refusal::Failed(verdict),
        }
    }

    /// The refusal of a request for which there is no room.
    pub(super) fn full(&self) -> Refusal {
        self.given_up()
    }

    /// Whether the route and the fleet's budget allow for one more send.
    pub(super) fn may_send_again(&self) -> bool {
        self.sends < self.request.route.max_attempts
            && self.state.allowance.borrow_mut().allows_retry(boot_now(), &self.service)
    }

    /// Whether to leave a backend server's own failure and try again elsewhere, at once: a failure that hangs
    /// on the request comes again after any pause, another one hardly ever comes twice.
    fn leaves_failure(&mut self, attempt: &Attempt, status: StatusCode) -> bool {
        let passed_over = self.passed_over();
        let others = self.state.backends.borrow();
        let has_other = others.choose(&self.service, &passed_over, boot_now(), 0.0).is_some();
        drop(others);
        let leaves = self.request.route.kind.is_idempotent() && has_other && self.may_send_again();
        self.note_failure(&attempt.server.id, status, leaves);
        if !leaves {
            return false;
        }
        self.state.backends.borrow_mut().note_failure(&attempt.server, boot_now());
        self.verdict = Verdict::Ran;
        true
    }

    /// How the request waits for what `server` is to send.
    pub(super) fn patience<'a>(
        &'a self,
        server: &'a BackendServer,
        awaited: Awaited,
    ) -> Patience<'a> {
        let Life { state, request, .. } = self;
        let can_move = self.may_send_again();
        let (route, limit_at) = (&request.route, request.limit_at);
        Patience { state, route, server, awaited, limit_at, can_move }
    }

    /// Reads an answer to its end.
    async fn collect(&self, server: &BackendServer, body: Incoming) -> Result<Bytes, AttemptEnd> {
        let reading = Limited::new(body, MOST_ANSWER_BYTES).collect();
        match self.patience(server, Awaited::Body).wait(reading).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) | Err(Impatience::Superseded) => Err(AttemptEnd::Broken),
            Err(Impatience::Silent | Impatience::Limit) => Err(AttemptEnd::TimedOut),
        }
    }

    /// Takes note of an attempt that brought nothing; gives the refusal when there is to be no
    /// further one.
    pub(crate) fn note_end(
        &mut self,
        server: &BackendServer,
        end: AttemptEnd,
    ) -> Result<(), Refusal> {
        let judgement = judge_attempt(end);
        self.verdict = self.verdict.max(judgement.verdict);
        if end == AttemptEnd::NothingSent {
            self.sends = self.sends.saturating_sub(1);
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
            AttemptEnd::TimedOut => quiet = backends.note_timed_out(server, boot_now()),
            _ => {}
        }
        drop(backends);
        self.note_attempt_end(&server.id, end, paused_until.is_some());
        if let Some(word) = quiet {
            gossip_quiet_rank(&self.state, word, "quiet-here");
        }
        match end {
            AttemptEnd::TimedOut => self.note_unbegun(),
            AttemptEnd::Broken => self.note_broken(server),
            _ => {}
        }
        if end == AttemptEnd::Rejected && self.note_rejected() {
            return self.wait_again();
        }
        let may_repeat = self.verdict.permits_retry(self.request.route.kind.is_idempotent());
        let has_tries = self.sends < self.request.route.max_attempts
            && self.connect_failures < MOST_CONNECT_FAILURES;
        if may_repeat && has_tries { Ok(()) } else { Err(self.given_up()) }
    }

    /// Lets a request that a standing group turned away wait for the group, if its caller has come back
    /// before.
    ///
    /// It has not run there, so the backend server does not count as tried. To send it again comes out
    /// of the budget of second sends, which cannot bear that for all that a stall has held up; a caller
    /// that has not come back yet can do so.
    fn wait_again(&mut self) -> Result<(), Refusal> {
        if self.request.used_ms == 0 && self.heard_at == self.request.arrived_at {
            return Err(self.given_up());
        }
        self.tried.clear();
        Ok(())
    }

    pub(crate) fn note_success(&self, attempt: &Attempt, status: StatusCode) {
        note_answered(&self.state, self.digest);
        let mut backends = self.state.backends.borrow_mut();
        if status.is_server_error() {
            backends.note_failure(&attempt.server, boot_now());
        } else {
            backends.note_success(&attempt.server);
        }
    }

    /// Hands a whole answer on.
    fn hand_on(&self, parts: response::Parts, bytes: Bytes) -> Response<AnswerBody> {
        if is_unproved_promise(parts.status) {
            let refusal = Refusal::Failed(Verdict::MayHaveRun);
            self.note_final("unproved-promise", refusal.status());
            return refusal.into_response();
        }
        self.note_final("answered", parts.status);
        let mut response = Response::new(whole(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = end_to_end(&parts.headers);
        response
    }
}

/// What the head of an answer proves: a backend server that rejects a request says so beside its status.
const fn verdict_of_answer(status: StatusCode) -> Verdict {
    if is_unproved_promise(status) { Verdict::MayHaveRun } else { Verdict::Ran }
}

/// Whether a status would promise that the request has not run, without the backend server's word.
const fn is_unproved_promise(status: StatusCode) -> bool {
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
