//! Hands events on as they arrive, and continues a broken stream at another backend server.

use super::attempt::{Attempt, Reply, end_to_end};
use super::life::Life;
use super::patience::{Awaited, Impatience};
use crate::callers::{AnswerBody, BodyBreak};
use crate::clock::boot_now;
use bytes::Bytes;
use futures_util::stream::unfold;
use hickorycross_core::direct::{
    AttemptEnd, BackendServer, BootMs, EventSplitter, RequestKind, StreamEvent,
};
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

/// A stream on its way to a caller.
struct Relay {
    life: Life,
    attempt: Option<Attempt>,
    /// Where the events come from.
    server: BackendServer,
    body: Incoming,
    cutter: EventSplitter,
    /// The last event that the caller has got.
    last_id: Option<u64>,
    last_event_at: BootMs,
    events: u64,
}

/// How a relay goes on.
enum Step {
    Event(Bytes),
    Finished,
    BrokeOff,
}

/// Answers a caller with the events of a backend server.
pub(crate) fn respond(life: Life, reply: Reply) -> Response<AnswerBody> {
    let Reply { response, attempt } = reply;
    let (parts, body) = response.into_parts();
    let mut headers = end_to_end(&parts.headers);
    // Events of another backend server may follow, whose bytes this length does not count.
    headers.remove(CONTENT_LENGTH);
    let last_event_at = life.request.arrived_at;
    let relay = Relay {
        life,
        server: attempt.server.clone(),
        attempt: Some(attempt),
        body,
        cutter: EventSplitter::default(),
        last_id: None,
        last_event_at,
        events: 0,
    };
    let frames = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.step().await {
            Step::Event(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Step::Finished => None,
            Step::BrokeOff => Some((Err(BodyBreak), None)),
        }
    });
    let body: AnswerBody = Box::pin(StreamBody::new(frames));
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    response
}

impl Relay {
    async fn step(&mut self) -> Step {
        loop {
            while let Some(event) = self.cutter.next_event() {
                match self.judge(&event) {
                    Continuity::Next => return self.hand_on(event),
                    Continuity::Repeat => {}
                    Continuity::Gap => {
                        if let Some(end) = self.continue_after(AttemptEnd::InvalidAnswer).await {
                            return end;
                        }
                    }
                }
            }
            if self.life.is_to_leave(&self.server) {
                if let Some(end) = self.continue_after(AttemptEnd::Abandoned).await {
                    return end;
                }
                continue;
            }
            match self.read().await {
                Ok(true) => {}
                Ok(false) => return self.finish(),
                Err(Some(end)) => {
                    if let Some(end) = self.continue_after(end).await {
                        return end;
                    }
                }
                Err(None) => return self.break_off("route-time-over"),
            }
        }
    }

    /// Reads more bytes; `false` at the end of the answer. Fails with how the attempt ended, or
    /// with nothing when the request's time is over.
    async fn read(&mut self) -> Result<bool, Option<AttemptEnd>> {
        let reading = self.body.frame();
        match self.life.patience(&self.server, Awaited::Body).wait(reading).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    self.cutter.push(&bytes);
                }
                Ok(true)
            }
            // A backend server that stops in the middle of an event has not finished.
            Ok(None) if self.cutter.incomplete_bytes() > 0 => Err(Some(AttemptEnd::Broken)),
            Ok(None) => Ok(false),
            Ok(Some(Err(_))) => Err(Some(AttemptEnd::Broken)),
            Err(Impatience::Silent) => Err(Some(AttemptEnd::TimedOut)),
            Err(Impatience::Superseded) => Err(Some(AttemptEnd::Broken)),
            Err(Impatience::Limit) => Err(None),
        }
    }

    fn judge(&self, event: &StreamEvent) -> Continuity {
        match (self.last_id, event.id) {
            (Some(last), Some(id)) if id <= last => Continuity::Repeat,
            (Some(last), Some(id)) if id > last + 1 => Continuity::Gap,
            _ => Continuity::Next,
        }
    }

    fn hand_on(&mut self, event: StreamEvent) -> Step {
        let now = boot_now();
        let Life { state, service, .. } = &self.life;
        // Time in which the request waited here says nothing of the group.
        let span_ms = now.since(self.last_event_at.max(self.life.sent_at));
        if self.events == 0 {
            state.admission.borrow_mut().note_first_event(service, span_ms, now);
        } else {
            state.admission.borrow_mut().note_gap(service, span_ms, now);
        }
        let target_gap_ms = self.life.request.route.target_gap_ms;
        let mut passes = state.passes.borrow_mut();
        let passes_of_group = passes.entry(service.clone()).or_default();
        if passes_of_group.note_event(now, target_gap_ms) {
            state.pass_ended.notify_waiters();
        }
        let pass = self.life.is_for_group().then_some(passes_of_group.ended());
        drop(passes);
        state.outlooks.borrow_mut().entry(service.clone()).or_default().note_event(now);
        if self.events == 0 {
            let took_ms = now.since(self.last_event_at);
            metrics::histogram!("hickorycross_first_event_seconds").record(took_ms as f64 / 1000.0);
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.note_event(pass);
        }
        self.last_event_at = now;
        self.life.is_begun = true;
        self.events += 1;
        self.last_id = event.id.or(self.last_id);
        Step::Event(event.bytes)
    }

    fn finish(&mut self) -> Step {
        if let Some(attempt) = self.attempt.take() {
            self.life.note_success(&attempt, StatusCode::OK);
            attempt.finish();
        }
        self.life.note_final("streamed", StatusCode::OK);
        Step::Finished
    }

    fn break_off(&mut self, cause: &'static str) -> Step {
        self.attempt = None;
        self.life.note_final(cause, StatusCode::BAD_GATEWAY);
        Step::BrokeOff
    }

    /// Goes on at another backend server after the last event that the caller has got. Gives a step
    /// when there is no other way than to end the answer.
    async fn continue_after(&mut self, end: AttemptEnd) -> Option<Step> {
        let server = self.server.clone();
        let may_resume = self.life.request.route.kind == RequestKind::ResumableStream;
        let is_over = self.life.note_end(&server, end).is_err();
        drop(self.attempt.take());
        if is_over || !may_resume {
            return Some(self.break_off("broke-off"));
        }
        self.life.heard_at = self.last_event_at;
        let Ok(Reply { response, attempt }) = self.life.obtain(self.last_id).await else {
            return Some(self.break_off("not-resumed"));
        };
        if !response.status().is_success() {
            return Some(self.break_off("not-resumed"));
        }
        self.body = response.into_body();
        self.cutter = EventSplitter::default();
        self.server = attempt.server.clone();
        self.attempt = Some(attempt);
        None
    }
}

/// Where an event stands against the last one that the caller has got.
enum Continuity {
    Next,
    Repeat,
    Gap,
}
