//! One attempt: sends a request to one backend server and classifies the head of the response.

use super::announcement::{judge_rejection, note_accepted, note_announcements};
use super::head_fields::{connection_options, end_to_end, idle_timeout_ms, is_valid_answer};
use super::limit::note_limit;
use super::pool::Connection;
use super::response_wait::{ResponseWait, WaitError};
use super::warm_up::{lacks_permit, note_cold};
use crate::callers::CallerRequest;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_core::direct::{AttemptEnd, BackendServer, BootMs, ExpectedWork};
use hickorycross_runtime::response_head::check_head;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::fmt::Display;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The field with the id of the last event that the caller received.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Largest body of a rejection that is read so that the connection can be reused.
const MAX_REJECTION_BYTES: usize = 4096;
/// Timeout for that body, which usually arrives together with the head.
const REJECTION_TIMEOUT_MS: u64 = 20;

/// A running attempt, which counts as an open request at its backend server until it is dropped.
pub(crate) struct Attempt {
    state: Rc<EntryState>,
    pub(crate) server: BackendServer,
    /// Name of the pool to which the request was sent.
    pool: Arc<str>,
    connection: Option<Connection>,
    idle_timeout_ms: Option<u64>,
    is_last_on_connection: bool,
    /// Whether the answer has a length or chunks, so that its end is told from a lost connection.
    pub(crate) is_framed: bool,
    sent_at: BootMs,
    /// For a stream, whether an event was received; `None` for other requests.
    is_begun: Option<bool>,
    work: ExpectedWork,
    /// Events received in this attempt.
    events: u64,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut backends = self.state.backends.borrow_mut();
        backends.note_work_ended(&self.server, &self.work, self.events);
        if let Some(is_begun) = self.is_begun {
            backends.note_stream_ended(&self.server, is_begun);
            if !is_begun {
                let now = boot_now();
                let mut queue_limit = self.state.queue_limit.borrow_mut();
                queue_limit.note_not_begun(&self.pool, now.since(self.sent_at), now);
            }
        }
        drop(backends);
        self.state.capacity_changed.notify_one();
    }
}

/// An answer of a backend server, its body not yet read.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) attempt: Attempt,
}

/// Result of one attempt.
pub(crate) enum SendOutcome {
    /// An answer of the backend server to this request.
    Answer(Box<Reply>),
    /// The attempt ended without an answer that can be forwarded.
    End(AttemptEnd),
    /// The deadline of the request passed.
    DeadlinePassed {
        /// Whether bytes of the request had been sent.
        sent: bool,
    },
}

impl Attempt {
    /// Records an event of a stream. `passes` is the number of passes of its group that were seen
    /// to end, if the backend server belongs to a group.
    pub(crate) fn note_event(&mut self, passes: Option<u64>) {
        let mut backends = self.state.backends.borrow_mut();
        if self.is_begun == Some(false) {
            self.is_begun = Some(true);
            backends.note_stream_begun(&self.server);
            let now = boot_now();
            let mut queue_limit = self.state.queue_limit.borrow_mut();
            queue_limit.note_begun(&self.pool, now.since(self.sent_at), now);
            self.state.capacity_changed.notify_one();
        }
        backends.note_work_done(&self.server, &self.work, self.events, self.events + 1);
        self.events += 1;
        if let Some(passes) = passes {
            backends.note_event(&self.server, passes, boot_now());
        }
    }

    /// Records from a response head whether the answer is framed, and whether and for how long the
    /// connection can be reused.
    fn note_connection_fields(&mut self, headers: &HeaderMap) {
        let closes = connection_options(headers).any(|it| it.eq_ignore_ascii_case("close"));
        self.is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        self.is_last_on_connection = closes || !self.is_framed;
        self.idle_timeout_ms = idle_timeout_ms(headers);
    }

    /// Reads the short body of a rejection, so that its connection can be reused.
    async fn finish_rejected(self, body: Incoming) {
        let reading = Limited::new(body, MAX_REJECTION_BYTES).collect();
        let read = tokio::time::timeout(Duration::from_millis(REJECTION_TIMEOUT_MS), reading).await;
        if let Ok(Ok(_)) = read {
            self.finish();
        }
    }

    /// Returns the connection to the pool, after the answer was read to its end.
    pub(crate) fn finish(mut self) {
        if self.is_last_on_connection {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.state.pool.put(&self.server, connection, self.idle_timeout_ms);
        }
    }
}

/// What an attempt adds to the caller's request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions {
    /// Urgency at the backend server; 0 is the most urgent.
    pub(crate) urgency: u8,
    /// Id of the last event that was forwarded to the caller, for a stream that is resumed.
    pub(crate) resume_after: Option<u64>,
    /// Until when the request may be sent to a cold server, by its permit or this entry's share.
    pub(crate) permit_until: Option<BootMs>,
    /// The work to expect of the attempt.
    pub(crate) work: ExpectedWork,
}

/// Sends a request once, to the backend server of `wait`, and waits for the response head.
pub(crate) async fn send(
    state: &Rc<EntryState>,
    request: &CallerRequest,
    body: &Bytes,
    wait: &ResponseWait<'_>,
    options: SendOptions,
) -> SendOutcome {
    let server = wait.server;
    state.note_sent_to_group(&wait.pool, body.len());
    let is_stream = request.route.kind.is_stream();
    note_sent(state, server, &wait.pool, is_stream, &options.work);
    let mut attempt = Attempt {
        state: Rc::clone(state),
        server: server.clone(),
        pool: Arc::clone(&wait.pool),
        connection: None,
        idle_timeout_ms: None,
        is_last_on_connection: true,
        is_framed: true,
        sent_at: boot_now(),
        is_begun: is_stream.then_some(false),
        work: options.work,
        events: 0,
    };
    // A reused connection may close while the request is sent, or hold a late answer to an earlier
    // request. A request that must not run twice therefore gets a new connection.
    let fresh = !request.route.kind.is_idempotent();
    let Ok(mut connection) = state.pool.take(&attempt.server, fresh).await else {
        return SendOutcome::End(AttemptEnd::NothingSent);
    };
    // The backend server may have announced so or been removed, or its failure domain may have been
    // drained, while the connection was opened.
    if state.backends.borrow().declines(server, boot_now()) {
        return SendOutcome::End(AttemptEnd::Declined);
    }
    // The server may have become cold meanwhile, or the permit may have expired.
    if lacks_permit(state, server, options.permit_until) {
        return SendOutcome::End(AttemptEnd::Declined);
    }
    // Another configuration may have come into force since the backend server was chosen.
    if !request.allows_region_of(state, server) {
        return SendOutcome::End(AttemptEnd::RegionNotAllowed);
    }
    let outgoing = outgoing_request(state, request, body, &attempt.server, options);
    let sending = connection.sender.try_send_request(outgoing);
    let result = wait.run(sending).await;
    attempt.connection = Some(connection);
    match result {
        Ok(Ok(response)) => classify_head(state, request, response, attempt).await,
        // The HTTP library returns the request if no byte of it was sent.
        Ok(Err(mut error)) => match error.take_message() {
            Some(_) => SendOutcome::End(AttemptEnd::NothingSent),
            None => {
                log_unusable_answer(state, request, &attempt.server, error.error());
                SendOutcome::End(AttemptEnd::Broken)
            }
        },
        Err(WaitError::TimedOut) => SendOutcome::End(AttemptEnd::TimedOut),
        Err(WaitError::Superseded) => SendOutcome::End(AttemptEnd::Broken),
        Err(WaitError::DeadlinePassed) => SendOutcome::DeadlinePassed { sent: true },
    }
}

fn note_sent(
    state: &EntryState,
    server: &BackendServer,
    pool: &str,
    is_stream: bool,
    work: &ExpectedWork,
) {
    let mut backends = state.backends.borrow_mut();
    backends.note_work_sent(server, work);
    backends.note_probe(server, boot_now());
    if is_stream {
        backends.note_stream_sent(server);
        state.queue_limit.borrow_mut().note_sent(pool, boot_now());
    }
}

/// Builds the request to the backend server from the caller's request.
fn outgoing_request(
    state: &EntryState,
    request: &CallerRequest,
    body: &Bytes,
    server: &BackendServer,
    options: SendOptions,
) -> Request<Full<Bytes>> {
    let names = &state.names;
    let mut headers = end_to_end(&request.headers);
    for name in [&AUTHORIZATION, &CONTENT_LENGTH, &names.team, &names.urgency] {
        headers.remove(name);
    }
    let left_ms = state.drain.limit(request.deadline_at).since(boot_now()).max(1);
    headers.insert(names.deadline_ms.clone(), left_ms.into());
    let urgency = options.urgency.min(names.lowest_urgency);
    headers.insert(names.urgency.clone(), u16::from(urgency).into());
    insert_text(&mut headers, &names.expected_incarnation, &server.id);
    if let Some(team) = &request.team {
        insert_text(&mut headers, &names.team, team);
    }
    if let Some(id) = options.resume_after {
        headers.insert(LAST_EVENT_ID, id.into());
    }
    let mut outgoing = Request::new(Full::new(body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}

fn insert_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name.clone(), value);
    }
}

/// Logs why an answer cannot be used whose head, or the connection before it, is at fault.
fn log_unusable_answer(
    state: &EntryState,
    request: &CallerRequest,
    server: &BackendServer,
    cause: impl Display,
) {
    let line = DecisionLog::fields("unusable-answer").with("request", request.id());
    state.log.note_routine(line.with("backend", &server.id).with("cause", cause));
}

/// Decides from the response head whether the answer can be used.
async fn classify_head(
    state: &EntryState,
    request: &CallerRequest,
    response: Response<Incoming>,
    mut attempt: Attempt,
) -> SendOutcome {
    let (parts, body) = response.into_parts();
    attempt.note_connection_fields(&parts.headers);
    // Nothing that a malformed head says is believed, not even that the request did not run.
    if let Err(malformed) = check_head(parts.status, &parts.headers) {
        log_unusable_answer(state, request, &attempt.server, malformed.as_str());
        return SendOutcome::End(AttemptEnd::InvalidAnswer);
    }
    if parts.status == StatusCode::MISDIRECTED_REQUEST {
        attempt.finish_rejected(body).await;
        return SendOutcome::End(AttemptEnd::OtherIncarnation);
    }
    note_limit(state, &attempt.server, &parts.headers);
    note_cold(state, &attempt.server, &parts.headers, attempt.sent_at);
    let asks_for_backoff = note_announcements(state, &attempt.server, &parts);
    if parts.headers.contains_key(&state.names.not_run) {
        let end = judge_rejection(state, &attempt.server, &parts, asks_for_backoff);
        attempt.finish_rejected(body).await;
        return SendOutcome::End(end);
    }
    if !asks_for_backoff {
        note_accepted(state, &attempt.server);
    }
    if !is_valid_answer(state, request, &parts) {
        return SendOutcome::End(AttemptEnd::InvalidAnswer);
    }
    let response = Response::from_parts(parts, body);
    SendOutcome::Answer(Box::new(Reply { response, attempt }))
}
