//! Accepts callers' connections, reads their requests and passes them to [`forward`].

use super::timed_writes::TimedWrites;
use super::{AnswerBody, BufferUse, CallerRequest, CollectError, Refusal, collect_body};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::forward;
use crate::state::EntryState;
use bytes::Bytes;
use hickorycross_core::direct::{BootMs, CallerLimits};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Smallest read buffer that the HTTP library allows. The buffer limits the size of a request head.
const MIN_BUFFER_BYTES: usize = 8192;

/// Size of the kernel's send buffer of a caller's connection, which Linux doubles for its own data.
/// Answers are sent at about 32 KB per round trip at most, 320 KB/s to a caller that is 100 ms away.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Longest interval between checks whether the entry has been told to stop, while a body is read.
const LIMIT_CHECK_MS: u64 = 100;

/// Increments a counter, and decrements it again when dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Accepts callers' connections until the task is aborted.
pub(crate) async fn accept(state: Rc<EntryState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&state), stream, caller.ip()));
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
async fn serve_connection(state: Rc<EntryState>, stream: TcpStream, caller: IpAddr) {
    let _count_guard = CountGuard::new(&state.open_connections);
    // With Nagle's algorithm an event would wait for the acknowledgement of the previous one.
    if let Err(error) = stream.set_nodelay(true) {
        state.log.note_routine(DecisionLog::fields("caller-connection").with("error", error));
        return;
    }
    // Without a size of its own, the kernel lets the buffer of a caller that reads nothing grow to
    // megabytes.
    let buffer_set = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    if let Err(error) = buffer_set {
        state.log.note_routine(DecisionLog::fields("caller-connection").with("error", error));
        return;
    }
    let has_stalled = Rc::new(Cell::new(false));
    let stall_ms = state.settings.borrow().bounds.caller_stall_ms;
    let stream = TimedWrites::new(stream, stall_ms, Rc::clone(&has_stalled));
    let limits = caller_limits(&state);
    let service_state = Rc::clone(&state);
    let service = service_fn(move |request| {
        let state = Rc::clone(&service_state);
        async move { Ok::<_, Infallible>(handle_request(state, request, caller).await) }
    });
    let buffer_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(MIN_BUFFER_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout of the HTTP library covers both the wait for a request and the reading of
        // its head. The shorter timeout for heads would close connections that may stay idle.
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(buffer_bytes.max(MIN_BUFFER_BYTES))
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
    if has_stalled.get() {
        metrics::counter!("hickorycross_caller_connections_stalled_total").increment(1);
        let line = DecisionLog::fields("caller-connection").with("stall_ms", stall_ms);
        let line = line.with("buffered_bytes", state.buffers.used_bytes());
        state.log.note(line.with("outcome", "stalled"));
    } else if let Err(error) = ended {
        metrics::counter!("hickorycross_caller_connections_broken_total").increment(1);
        let line = DecisionLog::fields("caller-connection").with("error", error);
        state.log.note_routine(line.with("outcome", "broken"));
    }
}

/// Returns the limits of the current catalog, or the defaults if none is known yet.
fn caller_limits(state: &EntryState) -> CallerLimits {
    let catalog_state = state.catalog.borrow();
    catalog_state.catalog().map(|catalog| catalog.limits).unwrap_or_default()
}

/// Answers one request, or refuses it if its head is not acceptable.
async fn handle_request(
    state: Rc<EntryState>,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Response<AnswerBody> {
    let _count_guard = CountGuard::new(&state.open_requests);
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&state.names.attempt_id).cloned();
    let mut response = match CallerRequest::accept(&state, parts, caller) {
        Ok(request) => answer_request(&state, request, body).await,
        Err(refusal) => {
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none");
            log_refusal(&state, id, &refusal);
            refusal.into_response()
        }
    };
    if state.drain.is_active() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads the body of an accepted request and forwards it.
async fn answer_request(
    state: &Rc<EntryState>,
    request: CallerRequest,
    body: Incoming,
) -> Response<AnswerBody> {
    let id = request.attempt_id.clone();
    match read_body(state, &request, body).await {
        Ok(_) if state.drain.refuses(request.deadline_at, boot_now()) => {
            refuse(state, &id, Refusal::Leaving)
        }
        Ok(body) => forward::forward(Rc::clone(state), request, body).await,
        Err(refusal) => refuse(state, &id, refusal),
    }
}

/// Reads the complete body, so that the request can be retried.
async fn read_body(
    state: &EntryState,
    request: &CallerRequest,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    if !state.buffers.admits_new_request() {
        return Err(Refusal::BuffersFull);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_bytes = usize::try_from(request.catalog.limits.max_body_bytes).unwrap_or(usize::MAX);
    let reading = collect_body(body, max_bytes, &state.buffers, BufferUse::New);
    match run_until_limit(state, request.deadline_at, reading).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(CollectError::TooLarge)) => Err(Refusal::BodyTooLarge),
        Some(Err(CollectError::BuffersFull)) => Err(Refusal::BuffersFull),
        None if state.drain.is_active() => Err(Refusal::Leaving),
        Some(Err(CollectError::Broken)) | None => Err(Refusal::BodyIncomplete),
    }
}

/// Runs `work` until it is done, or until a request with this deadline can't be answered any more.
async fn run_until_limit<T>(
    state: &EntryState,
    deadline_at: BootMs,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = std::pin::pin!(work);
    loop {
        // The entry may be told to stop meanwhile.
        let left_ms = state.drain.limit(deadline_at).since(boot_now());
        if left_ms == 0 {
            return None;
        }
        let pause = Duration::from_millis(left_ms.min(LIMIT_CHECK_MS));
        if let Ok(done) = tokio::time::timeout(pause, work.as_mut()).await {
            return Some(done);
        }
    }
}

/// Logs the refusal of a request and returns the response to its caller.
fn refuse(state: &EntryState, id: &HeaderValue, refusal: Refusal) -> Response<AnswerBody> {
    log_refusal(state, id.to_str().unwrap_or("unreadable"), &refusal);
    refusal.into_response()
}

/// Logs and counts the refusal of a request that is not forwarded.
fn log_refusal(state: &EntryState, id: &str, refusal: &Refusal) {
    metrics::counter!("hickorycross_refusals_total", "cause" => refusal.as_str()).increment(1);
    let catalog_state = state.catalog.borrow();
    let line = DecisionLog::fields("refuse").with("request", id).with("cause", refusal.as_str());
    let line = line.with("status", refusal.status().as_u16());
    let line = line.with("configuration", catalog_state.version());
    state.log.note(line.with_some("configuration_age_ms", catalog_state.age_ms(boot_now())));
}
