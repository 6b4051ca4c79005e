//! One send of a request to one backend server.

use super::limit::note_limit;
use super::patience::{Impatience, Patience};
use super::pool::Connection;
use crate::callers::CallerRequest;
use crate::clock::boot_now;
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_core::direct::{AttemptEnd, BackendServer};
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::rc::Rc;
use std::time::Duration;

/// Fields that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// The same, without constants of the library.
const HOP_BY_HOP_TEXT: [&str; 2] = ["keep-alive", "proxy-connection"];
/// The field in which clients and servers agree how long a connection stays open.
const KEEP_ALIVE: &str = "keep-alive";
/// The field with the last event that the caller has.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Longest body of a rejection that is read so that the connection can be kept.
const MOST_REJECTION_BYTES: usize = 4096;
/// Time for that body, which usually comes with its head.
const REJECTION_TIMEOUT_MS: u64 = 20;

/// An attempt that occupies a place at a backend server; frees it when dropped.
pub(crate) struct Attempt {
    state: Rc<EntryState>,
    pub(crate) server: BackendServer,
    connection: Option<Connection>,
    keep_idle_ms: Option<u64>,
    is_last_on_connection: bool,
    /// For a stream, whether it has given an event.
    is_begun: Option<bool>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut backends = self.state.backends.borrow_mut();
        backends.note_ended(&self.server);
        if let Some(is_begun) = self.is_begun {
            backends.note_stream_ended(&self.server, is_begun);
        }
        drop(backends);
        self.state.capacity_changed.notify_one();
    }
}

/// An answer of a backend server to a request, its body not yet read.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) attempt: Attempt,
}

/// What an attempt brought.
pub(crate) enum Brought {
    /// An answer of the backend server to this request.
    Answer(Box<Reply>),
    /// No answer that can be handed on.
    End(AttemptEnd),
    /// The request's time is over; says whether bytes had left.
    Limit {
        /// Whether bytes had left.
        sent: bool,
    },
}

impl Attempt {
    /// Notes an event of a stream; `passes` of its group were seen to end, if it has one.
    pub(crate) fn note_event(&mut self, passes: Option<u64>) {
        let mut backends = self.state.backends.borrow_mut();
        if self.is_begun == Some(false) {
            self.is_begun = Some(true);
            backends.note_stream_begun(&self.server);
        }
        if let Some(passes) = passes {
            backends.note_event(&self.server, passes, boot_now());
        }
    }

    /// Notes what an answer's head says of the connection.
    fn note_connection_fields(&mut self, headers: &HeaderMap) {
        let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
        let is_close = |value: &str| value.trim().eq_ignore_ascii_case("close");
        let closes = values.flat_map(|value| value.split(',')).any(is_close);
        let has_end =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        self.is_last_on_connection = closes || !has_end;
        self.keep_idle_ms = keep_idle_ms(headers);
    }

    /// Keeps the connection of a rejection, whose short body is read away first.
    async fn finish_rejected(self, body: Incoming) {
        let reading = Limited::new(body, MOST_REJECTION_BYTES).collect();
        let read = tokio::time::timeout(Duration::from_millis(REJECTION_TIMEOUT_MS), reading).await;
        if let Ok(Ok(_)) = read {
            self.finish();
        }
    }

    /// Keeps the connection for further requests, after the answer was read to its end.
    pub(crate) fn finish(mut self) {
        if self.is_last_on_connection {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.state.pool.put(&self.server, connection, self.keep_idle_ms);
        }
    }
}

/// What one send adds to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    /// Urgency at the backend server, 0 first.
    pub(crate) urgency: u8,
    /// The last event that the caller has got from here.
    pub(crate) resume_after: Option<u64>,
}

/// Sends a request once, to the backend server that `patience` names.
pub(crate) async fn send(
    state: &Rc<EntryState>,
    request: &CallerRequest,
    body: &Bytes,
    patience: &Patience<'_>,
    terms: Terms,
) -> Brought {
    let server = patience.server;
    state.note_sent_to_group(&server.service, body.len());
    let is_stream = request.route.kind.is_stream();
    note_sent(state, server, is_stream);
    let mut attempt = Attempt {
        state: Rc::clone(state),
        server: server.clone(),
        connection: None,
        keep_idle_ms: None,
        is_last_on_connection: true,
        is_begun: is_stream.then_some(false),
    };
    // A kept connection may close as the request crosses it, or hold a stranger's late answer. What
    // may run only once gets a connection of its own.
    let fresh = !request.route.kind.is_idempotent();
    let Ok(mut connection) = state.pool.take(&attempt.server, fresh).await else {
        return Brought::End(AttemptEnd::NothingSent);
    };
    let outgoing = outgoing(state, request, body, &attempt.server, terms);
    let sending = connection.sender.try_send_request(outgoing);
    let waited = patience.wait(sending).await;
    attempt.connection = Some(connection);
    match waited {
        Ok(Ok(response)) => judge_head(state, request, response, attempt).await,
        // The library hands the request back if no byte of it has left.
        Ok(Err(mut error)) => match error.take_message() {
            Some(_) => Brought::End(AttemptEnd::NothingSent),
            None => Brought::End(AttemptEnd::Broken),
        },
        Err(Impatience::Silent) => Brought::End(AttemptEnd::TimedOut),
        Err(Impatience::Superseded) => Brought::End(AttemptEnd::Broken),
        Err(Impatience::Limit) => Brought::Limit { sent: true },
    }
}

fn note_sent(state: &EntryState, server: &BackendServer, is_stream: bool) {
    let mut backends = state.backends.borrow_mut();
    backends.note_sent(server);
    if is_stream {
        backends.note_stream_sent(server);
    }
}

fn outgoing(
    state: &EntryState,
    request: &CallerRequest,
    body: &Bytes,
    server: &BackendServer,
    terms: Terms,
) -> Request<Full<Bytes>> {
    let names = &state.names;
    let mut headers = end_to_end(&request.headers);
    for name in [&AUTHORIZATION, &CONTENT_LENGTH, &names.team, &names.urgency] {
        headers.remove(name);
    }
    let left_ms = request.limit_at.since(boot_now()).max(1);
    headers.insert(names.deadline_ms.clone(), left_ms.into());
    let urgency = terms.urgency.min(names.lowest_urgency);
    headers.insert(names.urgency.clone(), u16::from(urgency).into());
    insert_text(&mut headers, &names.expected_incarnation, &server.id);
    if let Some(team) = &request.team {
        insert_text(&mut headers, &names.team, team);
    }
    if let Some(id) = terms.resume_after {
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

/// Drops fields that concern one connection only, also those that `Connection` names.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = headers.clone();
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    for name in HOP_BY_HOP_TEXT.iter().copied().chain(named.iter().map(String::as_str)) {
        kept.remove(name);
    }
    kept
}

async fn judge_head(
    state: &EntryState,
    request: &CallerRequest,
    response: Response<Incoming>,
    mut attempt: Attempt,
) -> Brought {
    let (parts, body) = response.into_parts();
    attempt.note_connection_fields(&parts.headers);
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        note_limit(state, &attempt.server, &parts.headers);
    }
    let is_rejection = parts.headers.contains_key(&state.names.not_run);
    if is_rejection || parts.status == StatusCode::MISDIRECTED_REQUEST {
        attempt.finish_rejected(body).await;
        let is_other = parts.status == StatusCode::MISDIRECTED_REQUEST;
        let end = if is_other { AttemptEnd::OtherIncarnation } else { AttemptEnd::Rejected };
        return Brought::End(end);
    }
    if !belongs(state, request, &parts) {
        return Brought::End(AttemptEnd::InvalidAnswer);
    }
    let response = Response::from_parts(parts, body);
    Brought::Answer(Box::new(Reply { response, attempt }))
}

/// Whether a head answers this request. A backend server may send a second answer to an earlier
/// request where ours is expected, or bytes that it does not vouch for.
fn belongs(state: &EntryState, request: &CallerRequest, parts: &response::Parts) -> bool {
    let echoed = parts.headers.get(&state.names.attempt_id);
    let is_ours = echoed.is_some_and(|echoed| *echoed == request.attempt_id);
    let is_plain = !parts.headers.contains_key(CONTENT_ENCODING);
    let has_digest = parts.headers.contains_key(&state.names.digest);
    is_ours && is_plain && (has_digest || !parts.status.is_success())
}

fn keep_idle_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parts = value.split(',').map(str::trim);
    let seconds = parts.filter_map(|part| part.strip_prefix("timeout=")).next()?;
    seconds.trim().parse::<u64>().ok().map(|seconds| seconds * 1000)
}
