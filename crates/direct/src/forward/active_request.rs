//! A request that is being forwarded: chooses backend servers for it and sends it to them, until an
//! answer begins.

use super::answer::{is_event_stream, verdict_of_answer};
use super::attempt::{self, Reply, SendOptions, SendOutcome};
use super::residency::has_allowed_server;
use super::response_wait::{Awaited, ResponseWait};
use super::stream;
use super::work::expected_work;
use crate::callers::{AnswerBody, CallerRequest, Refusal};
use crate::clock::boot_now;
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{
    AttemptEnd, BackendServer, BackendShare, BootMs, CallerDigest, Choice, ExpectedWork,
    PromptPart, RequestDigest, Route, StatedTokens, UrgencyScale,
};
use http::{Response, response};
use indexmap::IndexSet;
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

/// A caller's request from its acceptance to its final answer.
pub(crate) struct ActiveRequest {
    pub(crate) state: Rc<EntryState>,
    pub(crate) request: CallerRequest,
    pub(crate) service: String,
    pub(super) urgency_scale: UrgencyScale,
    /// Name of the pool that the request was last sent to, or waits for.
    pub(crate) pool: Arc<str>,
    body: Bytes,
    pub(super) digest: RequestDigest,
    /// Digest of the team or caller that sent the request.
    pub(super) caller: CallerDigest,
    /// Parts of the prompt that other requests may share.
    pub(super) prompt_parts: Vec<PromptPart>,
    /// What the caller states about the tokens of the request.
    pub(super) stated: StatedTokens,
    /// The work to expect of the request.
    pub(super) work: ExpectedWork,
    /// Ids of the backend servers that are not chosen again.
    pub(super) tried: Vec<String>,
    /// Sends that may have reached a backend server.
    pub(super) sends: u32,
    pub(super) connect_failures: u32,
    /// When the caller sent the request, or got the last event of its stream.
    pub(super) waiting_since: BootMs,
    /// When the request was last sent to a backend server.
    pub(super) sent_at: BootMs,
    /// Whether the request is a trial of a doubtful part that no backend server has run yet.
    pub(super) is_part_trial: bool,
    /// When the head of an answer arrived in the current attempt.
    pub(super) head_at: Option<BootMs>,
    /// Whether the current attempt has shown that the prompt does not crash the backend server.
    pub(super) has_cleared_parts: bool,
    /// Whether the caller got an event.
    pub(super) has_event: bool,
    /// Longest gap between two events of the stream.
    pub(super) longest_gap_ms: u64,
    /// Whether the request has waited for an unavailable group.
    pub(super) has_waited_for_group: bool,
    /// Whether the request may have run, over all attempts so far.
    pub(super) verdict: Verdict,
    /// Until when the request may be sent to the chosen server, if that server is cold.
    pub(super) permit_until: Cell<Option<BootMs>>,
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
    let domains = request.allowed_domains(&state);
    let service = choose_service(&state, &request.route, domains.as_ref());
    let digest = request.digest(&body);
    let prompt_parts = request.prompt_parts(&state, &service);
    let (stated, work) = expected_work(&state, &request, &service);
    state.retry_budget.borrow_mut().note_first_send(boot_now(), &service);
    let mut active = ActiveRequest {
        waiting_since: request.arrived_at,
        sent_at: request.arrived_at,
        is_part_trial: false,
        head_at: None,
        has_cleared_parts: false,
        has_event: false,
        longest_gap_ms: 0,
        has_waited_for_group: false,
        caller: request.caller_digest(),
        urgency_scale: UrgencyScale::of(&request.catalog, &service),
        state,
        request,
        pool: Arc::from(service.as_str()),
        service,
        body,
        digest,
        prompt_parts,
        stated,
        work,
        tried: Vec::new(),
        sends: 0,
        connect_failures: 0,
        verdict: Verdict::NotRun,
        permit_until: Cell::new(None),
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
///
/// For a request that is restricted to failure domains, services without a backend server there are
/// left out while there are others.
fn choose_service(state: &EntryState, route: &Route, domains: Option<&IndexSet<String>>) -> String {
    let shares = route.backends.iter();
    let mut shares: Vec<&BackendShare> =
        shares.filter(|share| has_allowed_server(state, &share.service, domains)).collect();
    if shares.is_empty() {
        shares = route.backends.iter().collect();
    }
    let total: u32 = shares.iter().map(|share| share.weight).sum();
    let mut draw = state.random.borrow_mut().random_range(0..total.max(1));
    for share in &shares {
        if draw < share.weight {
            return share.service.clone();
        }
        draw -= share.weight;
    }
    shares.first().map(|share| share.service.clone()).unwrap_or_default()
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
            self.pass_part_trial().await?;
            self.wait_for_cold_servers().await?;
            let choice = self.choose()?;
            self.spend_retry()?;
            let urgency = self.urgency(resume_after.is_some());
            let permit_until = self.permit_until.take();
            let options = SendOptions { urgency, resume_after, permit_until, work: self.work };
            self.log_attempt(&choice, options);
            let _probe_guard = is_probe.then(|| self.watch_probe());
            let server = choice.server;
            self.tried.push(server.id.clone());
            self.sends += 1;
            self.sent_at = boot_now();
            self.pool = self.state.pool_of(&server);
            self.head_at = None;
            self.has_cleared_parts = false;
            let wait = self.response_wait(&server, Awaited::Head);
            let sending = attempt::send(&self.state, &self.request, &self.body, &wait, options);
            match sending.await {
                SendOutcome::Answer(reply) => {
                    self.head_at = Some(boot_now());
                    let answered = verdict_of_answer(reply.response.status());
                    self.verdict = self.verdict.max(answered);
                    return Ok(*reply);
                }
                SendOutcome::End(end) => {
                    if end == AttemptEnd::Declined {
                        self.untry_cold(&server);
                    }
                    self.handle_attempt_end(&server, end)?;
                }
                SendOutcome::DeadlinePassed { sent } => {
                    if sent {
                        self.verdict = self.verdict.max(Verdict::MayHaveRun);
                    }
                    return Err(Refusal::TimedOut(self.verdict));
                }
            }
        }
    }

    /// Returns when the caller's or the route's timeout ends, or this process cannot answer any more.
    pub(super) fn deadline_at(&self) -> BootMs {
        self.state.drain.limit(self.request.deadline_at)
    }

    /// Checks again whether the request may be sent, as it may have waited since it was accepted.
    ///
    /// Meanwhile its deadline may have passed, the catalog by which its key was checked may have
    /// become too old, all backend servers of its service may be in drained failure domains, its
    /// allowed regions may have changed or lost their last backend server, or too many backend
    /// servers may have ended while they had the request or others with a part of its prompt.
    pub(super) fn check_before_send(&self) -> Result<(), Refusal> {
        self.check_crashes()?;
        self.check_drains()?;
        self.check_prompt_parts()?;
        let now = boot_now();
        if now >= self.deadline_at() {
            return Err(Refusal::TimedOut(self.verdict));
        }
        self.check_residency()?;
        if self.request.team.is_some() && !self.state.keys_are_fresh(now) {
            return Err(match self.verdict {
                Verdict::NotRun => Refusal::StaleConfiguration,
                verdict => Refusal::Failed(verdict),
            });
        }
        Ok(())
    }

    /// Refuses the request if drains leave its service without a backend server.
    ///
    /// Waiting is of no use: a drain lasts until an operator ends it.
    fn check_drains(&self) -> Result<(), Refusal> {
        if !self.state.backends.borrow().is_service_drained(&self.service) {
            return Ok(());
        }
        Err(match self.verdict {
            Verdict::NotRun => Refusal::DomainsDrained,
            verdict => Refusal::Failed(verdict),
        })
    }

    /// Chooses the backend server for the next attempt.
    fn choose(&self) -> Result<Choice, Refusal> {
        let draw = self.state.random.borrow_mut().random::<f64>();
        let excluded_servers = self.excluded_servers();
        let domains = self.allowed_domains();
        let (now, selection) = (boot_now(), self.selection(&excluded_servers, domains.as_ref()));
        let backends = self.state.backends.borrow();
        let in_pool = backends.choose(&selection.in_pool(&self.pool), now, draw);
        // The pool may have lost its last server since it was chosen.
        let choice = in_pool.or_else(|| backends.choose(&selection, now, draw));
        drop(backends);
        self.update_permits(choice.as_ref().map(|choice| &choice.server));
        self.update_cold_permits(choice.as_ref().map(|choice| &choice.server));
        if let Some(choice) = choice {
            return Ok(choice);
        }
        let lacks_memory = !self.has_memory();
        if lacks_memory {
            metrics::counter!("hickorycross_refused_for_memory_total").increment(1);
        }
        let is_limited = lacks_memory || excluded_servers.len() > self.tried.len();
        let has_backend = is_limited || self.sends > 0 || self.backoff_over_at(&[]).is_some();
        let is_first = self.verdict == Verdict::NotRun && !has_backend;
        Err(if is_first { Refusal::NoBackend } else { self.final_refusal() })
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
        let pool = Arc::clone(&self.pool);
        ResponseWait { state, route, server, pool, awaited, deadline_at, can_retry }
    }
}
