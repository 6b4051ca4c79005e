//! Takes callers' connections and hands their requests on.

use super::{AnswerBody, CallerRequest, Refusal};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::forward;
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_core::direct::CallerLimits;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which usually means that descriptors have run out.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Least read buffer of the HTTP library, which bounds a head's size.
const LEAST_BUFFER_BYTES: usize = 8192;

/// Counts something for as long as it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Takes connections for ever.
pub(crate) async fn accept(state: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                tokio::task::spawn_local(serve(Rc::clone(&state), stream, caller.ip()));
            }
            Err(error) => {
                let line = DecisionLog::fields("accept").with("error", error);
                state.log.note(line.with("outcome", "pause"));
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Serves one connection until either side closes it.
async fn serve(state: Rc<EntryState>, stream: TcpStream, caller: IpAddr) {
    let _counted = Counted::new(&state.open_connections);
    // Without it an event would wait for the acknowledgement of the one before.
    if let Err(error) = stream.set_nodelay(true) {
        state.log.note_routine(DecisionLog::fields("caller-connection").with("error", error));
        return;
    }
    let limits = limits(&state);
    let service_state = Rc::clone(&state);
    let service = service_fn(move |request| {
        let state = Rc::clone(&service_state);
        async move { Ok::<_, Infallible>(handle(state, request, caller).await) }
    });
    let buffer_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(LEAST_BUFFER_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's one bound covers the wait for a head and the head itself. The time for a
        // head alone is shorter, but would close connections that may rest for longer.
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(buffer_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = state.closing.subscribe();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        metrics::counter!("hickorycross_caller_connections_broken_total").increment(1);
        let line = DecisionLog::fields("caller-connection").with("error", error);
        state.log.note_routine(line.with("outcome", "broken"));
    }
}

fn limits(state: &EntryState) -> CallerLimits {
    let belief = state.catalog.borrow();
    belief.catalog().map(|catalog| catalog.limits).unwrap_or_default()
}

/// Answers one request.
async fn handle(
    state: Rc<EntryState>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Response<AnswerBody> {
    let _counted = Counted::new(&state.open_requests);
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&state.names.attempt_id).cloned();
    let mut response = match CallerRequest::judge(&state, parts, caller) {
        Ok(request) => answer(&state, request, body).await,
        Err(refusal) => {
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
            note_refusal(&state, id, &refusal);
            refusal.into_response()
        }
    };
    if state.is_draining.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    state: &Rc<EntryState>,
    request: CallerRequest,
    body: Incoming,
) -> Response<AnswerBody> {
    let id = request.attempt_id.clone();
    match read_body(&request, body).await {
        Ok(body) => forward::forward(Rc::clone(state), request, body).await,
        Err(refusal) => {
            note_refusal(state, id.to_str().unwrap_or("unreadable"), &refusal);
            refusal.into_response()
        }
    }
}

/// Reads a body whole, so that it can be sent again.
async fn read_body(request: &CallerRequest, body: Incoming) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most = usize::try_from(request.catalog.limits.max_body_bytes).unwrap_or(usize::MAX);
    let left_ms = request.limit_at.since(boot_now());
    let reading = Limited::new(body, most).collect();
    let read = tokio::time::timeout(Duration::from_millis(left_ms), reading).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyIncomplete),
    }
}

fn note_refusal(state: &EntryState, id: &str, refusal: &Refusal) {
    metrics::counter!("hickorycross_refusals_total", "cause" => refusal.as_str()).increment(1);
    let belief = state.catalog.borrow();
    let line = DecisionLog::fields("refuse").with("request", id).with("cause", refusal.as_str());
    let line = line.with("status", refusal.status().as_u16());
    let line = line.with("configuration", belief.version());
    state.log.note(line.with_some("configuration_age_ms", belief.age_ms(boot_now())));
}
