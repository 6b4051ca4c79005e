//! Forwards events as they arrive, and resumes a broken stream at another backend server after the
//! last event that its caller got.

use super::active_request::ActiveRequest;
use super::attempt::{Attempt, Reply};
use super::event_buffer::buffered_body;
use super::head_fields::end_to_end;
use super::response_wait::{Awaited, WaitError};
use crate::callers::AnswerBody;
use crate::clock::boot_now;
use bytes::Bytes;
use hickorycross_core::direct::{
    AttemptEnd, BackendServer, BootMs, BufferLease, EventSplitter, RequestKind, StreamEvent,
};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Time for which a stream must have stayed unread for its backend server to cut it off.
const MIN_CUT_OFF_MS: u64 = 1_000;

/// Time after such a pause in which the cut-off is noticed, behind the bytes that arrived before it.
///
/// A break in this time is not held against the backend server: it would be paused, and the request
/// suspected of having crashed it, for a caller that read too slowly.
const CUT_OFF_SEEN_MS: u64 = 1_000;

/// Bytes of an incomplete event that are held also if the budget is used up, so that streams with
/// events of an ordinary size go on.
const ALWAYS_HELD_BYTES: usize = 64 * 1024;

/// Largest event that is held until it is complete.
const MAX_EVENT_BYTES: usize = 16 * 1024 * 1024;

/// A stream that is being forwarded to a caller.
pub(super) struct StreamRelay {
    active: ActiveRequest,
    attempt: Option<Attempt>,
    /// The backend server that sends the events.
    server: BackendServer,
    body: Incoming,
    /// Whether the body has a length or chunks, so that its end can be told from a break.
    is_framed: bool,
    splitter: EventSplitter,
    /// Counts the bytes of the event that is incomplete.
    incomplete_lease: BufferLease,
    /// Until when a broken connection counts as cut off by the server because the stream stayed unread.
    unread_break_until: BootMs,
    /// Id of the last event that was forwarded to the caller.
    last_id: Option<u64>,
    last_event_at: BootMs,
    /// Number of events that were forwarded to the caller.
    events: u64,
}

/// How a stream ends for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// It is complete.
    Finished,
    /// It cannot be completed.
    Aborted,
}

/// Returns a response that forwards the events of a backend server to the caller.
pub(crate) fn respond(active: ActiveRequest, reply: Reply) -> Response<AnswerBody> {
    let Reply { response, attempt } = reply;
    let (parts, body) = response.into_parts();
    let is_framed = is_framed(&parts.headers);
    let mut headers = end_to_end(&parts.headers);
    // If the stream is resumed elsewhere, its length differs.
    headers.remove(CONTENT_LENGTH);
    let last_event_at = active.request.arrived_at;
    let buffers = active.state.buffers.clone();
    let lease = || buffers.lease();
    let relay = StreamRelay {
        active,
        server: attempt.server.clone(),
        attempt: Some(attempt),
        body,
        is_framed,
        splitter: EventSplitter::default(),
        incomplete_lease: lease(),
        unread_break_until: BootMs(0),
        last_id: None,
        last_event_at,
        events: 0,
    };
    let mut response = Response::new(buffered_body(relay, lease()));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}

impl StreamRelay {
    /// Returns the next event for the caller, or the end of the response.
    pub(super) async fn step(&mut self) -> Result<Bytes, End> {
        loop {
            while let Some(event) = self.splitter.next_event() {
                match self.continuity(&event) {
                    Continuity::Next => return Ok(self.forward_event(event)),
                    Continuity::Repeat => {}
                    Continuity::Gap => {
                        if let Some(end) = self.resume_after_end(AttemptEnd::InvalidAnswer).await {
                            return Err(end);
                        }
                    }
                }
            }
            if self.active.should_move_stream(&self.server) {
                if let Some(end) = self.resume_after_end(AttemptEnd::Abandoned).await {
                    return Err(end);
                }
                continue;
            }
            match self.read().await {
                Ok(true) => {}
                Ok(false) => return Err(self.finish()),
                Err(Some(end)) => {
                    if let Some(end) = self.resume_after_end(end).await {
                        return Err(end);
                    }
                }
                Err(None) => return Err(self.abort("route-time-over")),
            }
        }
    }

    /// Reads more bytes. Returns `false` at the end of the answer, and fails with how the attempt
    /// ended, or with `None` when the deadline of the request passed.
    async fn read(&mut self) -> Result<bool, Option<AttemptEnd>> {
        let reading = self.body.frame();
        match self.active.response_wait(&self.server, Awaited::Body).run(reading).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    self.splitter.push(&bytes);
                }
                self.check_incomplete_event()
            }
            // An answer that ends in the middle of an event is incomplete.
            Ok(None) if self.splitter.incomplete_bytes() > 0 => Err(Some(self.broken_end())),
            // One that ends with its connection before its first event has broken off: every stream
            // has an event.
            Ok(None) if self.events == 0 && !self.is_framed => Err(Some(self.broken_end())),
            Ok(None) => Ok(false),
            Ok(Some(Err(_))) => Err(Some(self.broken_end())),
            Err(WaitError::TimedOut) => Err(Some(AttemptEnd::TimedOut)),
            Err(WaitError::Superseded) => Err(Some(AttemptEnd::Broken)),
            Err(WaitError::DeadlinePassed) => Err(None),
        }
    }

    /// Counts the bytes of an event that is not complete yet. Fails if it is too large to be held.
    fn check_incomplete_event(&mut self) -> Result<bool, Option<AttemptEnd>> {
        let bytes = self.splitter.incomplete_bytes();
        self.incomplete_lease.shrink(usize::MAX);
        if bytes <= ALWAYS_HELD_BYTES {
            self.incomplete_lease.grow(bytes);
        } else if bytes > MAX_EVENT_BYTES || !self.incomplete_lease.try_grow(bytes) {
            return Err(Some(AttemptEnd::InvalidAnswer));
        }
        Ok(true)
    }

    /// Compares the id of an event with that of the last one that the caller got.
    fn continuity(&self, event: &StreamEvent) -> Continuity {
        match (self.last_id, event.id) {
            (Some(last), Some(id)) if id <= last => Continuity::Repeat,
            (Some(last), Some(id)) if id > last + 1 => Continuity::Gap,
            _ => Continuity::Next,
        }
    }

    /// Records the timing of an event and returns it for the caller.
    fn forward_event(&mut self, event: StreamEvent) -> Bytes {
        let now = boot_now();
        self.active.pool = self.active.state.pool_of(&self.server);
        let ActiveRequest { state, pool, .. } = &self.active;
        // Excludes the time that the request waited at this entry, which does not show how fast
        // the group is.
        let span_ms = now.since(self.last_event_at.max(self.active.sent_at));
        if self.events == 0 {
            state.note_begun(pool, span_ms, now);
        } else {
            state.admission.borrow_mut().note_gap(pool, span_ms, now);
            state.pool_choice.borrow_mut().note_event(pool);
        }
        let target_gap_ms = self.active.request.route.target_gap_ms;
        let mut passes = state.passes.borrow_mut();
        let pass_tracker = passes.entry(pool.to_string()).or_default();
        if pass_tracker.note_event(now, target_gap_ms) {
            state.pass_ended.notify_waiters();
        }
        let pass = self.active.is_for_group().then_some(pass_tracker.ended());
        drop(passes);
        state.group_availability.borrow_mut().entry(pool.to_string()).or_default().note_event(now);
        if self.events == 0 {
            self.active.log_first_event(&self.server, span_ms);
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.note_event(pass);
        }
        self.active.note_answer_goes_on(now);
        if self.events > 0 {
            self.active.longest_gap_ms = self.active.longest_gap_ms.max(span_ms);
        }
        self.last_event_at = now;
        self.active.has_event = true;
        self.events += 1;
        self.last_id = event.id.or(self.last_id);
        event.bytes
    }

    /// Ends a stream that is complete. Its end is logged once the caller's connection has taken it.
    fn finish(&mut self) -> End {
        self.active.note_output(self.events);
        if let Some(attempt) = self.attempt.take() {
            self.active.note_success(&attempt, StatusCode::OK);
            attempt.finish();
        }
        End::Finished
    }

    /// Logs that the caller's connection has taken the whole stream.
    pub(super) fn log_end(&self, end: End) {
        if end == End::Finished {
            self.active.log_response("streamed", StatusCode::OK);
        }
    }

    /// Records that the stream was not read for a while, because its caller took nothing. The time
    /// until the next event says nothing about the backend server.
    pub(super) fn note_caller_pause(&mut self, began_at: BootMs) {
        let now = boot_now();
        self.last_event_at = now;
        if now.since(began_at) >= MIN_CUT_OFF_MS {
            self.unread_break_until = now.after(CUT_OFF_SEEN_MS);
        }
    }

    /// Returns how an attempt ended whose connection broke.
    fn broken_end(&self) -> AttemptEnd {
        let is_cut_off = boot_now() < self.unread_break_until;
        if is_cut_off { AttemptEnd::Abandoned } else { AttemptEnd::Broken }
    }

    /// Ends a stream that cannot be completed.
    fn abort(&mut self, cause: &'static str) -> End {
        self.attempt = None;
        self.active.log_response(cause, StatusCode::BAD_GATEWAY);
        End::Aborted
    }

    /// Resumes the stream at another backend server after the last event that the caller got.
    /// Returns the end of the response if that is not possible.
    async fn resume_after_end(&mut self, end: AttemptEnd) -> Option<End> {
        let server = self.server.clone();
        let may_resume = self.active.request.route.kind == RequestKind::ResumableStream;
        let is_over = self.active.handle_attempt_end(&server, end).is_err();
        drop(self.attempt.take());
        if is_over || !may_resume {
            return Some(self.abort("broke-off"));
        }
        self.active.waiting_since = self.last_event_at;
        let Ok(Reply { response, attempt }) = self.active.send_until_answered(self.last_id).await
        else {
            return Some(self.abort("not-resumed"));
        };
        if !response.status().is_success() {
            return Some(self.abort("not-resumed"));
        }
        self.is_framed = is_framed(response.headers());
        self.body = response.into_body();
        self.splitter = EventSplitter::default();
        self.server = attempt.server.clone();
        self.attempt = Some(attempt);
        None
    }
}

/// Returns whether a body with these headers has a length or chunks.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Position of an event relative to the last one that the caller got.
enum Continuity {
    /// It follows, or has no id.
    Next,
    /// The caller has it already.
    Repeat,
    /// Events between them are missing.
    Gap,
}
