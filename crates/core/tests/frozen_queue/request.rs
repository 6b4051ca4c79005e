//! One request of a caller, from its arrival to its end.

use hickorycross_core::direct::{BootMs, RequestKind, Route};

pub(crate) const PRIORITY: u8 = 1;
pub(crate) const LOWEST_PRIORITY: u8 = 2;

/// Returns the route of all requests.
pub(crate) fn route() -> Route {
    Route {
        name: "stream".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::ResumableStream,
        backends: Vec::new(),
        max_attempts: 2,
        timeout_ms: 8_000,
        target_latency_ms: 500,
        target_gap_ms: Some(120),
        priority: PRIORITY,
        public: true,
    }
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// At its entry, to be sent.
    Waiting,
    /// Sent to a rank, whose answer or next event is awaited.
    Sent(Wait),
    Over,
}

/// A wait for an answer or for the next event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    pub(crate) rank: usize,
    pub(crate) since: BootMs,
    /// Passes of the group that the entry had seen to end by then.
    pub(crate) passes: u64,
    pub(crate) can_retry: bool,
}

/// A time without an event at a rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stay {
    pub(crate) rank: usize,
    pub(crate) from: BootMs,
    pub(crate) until: Option<BootMs>,
}

impl Stay {
    /// Returns its length if it is over.
    pub(crate) fn length_ms(&self) -> Option<u64> {
        self.until.map(|until| until.since(self.from))
    }
}

pub(crate) struct Request {
    pub(crate) entry: usize,
    pub(crate) arrived_at: BootMs,
    /// Time that its caller had used up before it arrived.
    pub(crate) used_ms: u64,
    /// When the caller sent the request, or got the last event of its stream.
    pub(crate) waiting_since: BootMs,
    /// When it began to wait at its entry.
    pub(crate) entered_at: BootMs,
    pub(crate) sent_at: BootMs,
    pub(crate) phase: Phase,
    pub(crate) tried: Vec<String>,
    pub(crate) sends: u32,
    pub(crate) has_event: bool,
    /// Whether an attempt timed out, so that the request may have run.
    pub(crate) may_have_run: bool,
    pub(crate) has_waited_for_group: bool,
    pub(crate) events_left: u32,
    pub(crate) stays: Vec<Stay>,
    pub(crate) left_at: Option<BootMs>,
}

impl Request {
    pub(crate) fn new(entry: usize, used_ms: u64, events_left: u32, now: BootMs) -> Self {
        Self {
            entry,
            arrived_at: now,
            used_ms,
            waiting_since: now,
            entered_at: now,
            sent_at: now,
            phase: Phase::Waiting,
            tried: Vec::new(),
            sends: 0,
            has_event: false,
            may_have_run: false,
            has_waited_for_group: false,
            events_left,
            stays: Vec::new(),
            left_at: None,
        }
    }

    /// Returns the time that its caller has waited by `now`.
    pub(crate) fn used_by(&self, now: BootMs) -> u64 {
        self.used_ms + now.since(self.arrived_at)
    }

    pub(crate) fn is_late(&self, now: BootMs) -> bool {
        self.used_by(now) >= route().target_latency_ms
    }

    pub(crate) const fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// Returns whether it waits at its entry and was not sent yet.
    pub(crate) const fn is_unsent(&self) -> bool {
        self.sends == 0 && matches!(self.phase, Phase::Waiting)
    }

    /// Returns whether its last attempt got an event, or has ended.
    pub(crate) fn is_begun(&self) -> bool {
        self.stays.last().is_some_and(|stay| stay.until.is_some())
    }

    /// Ends the stay of the last attempt, unless it got an event before.
    pub(crate) fn end_stay(&mut self, now: BootMs) {
        if let Some(stay) = self.stays.last_mut() {
            stay.until = stay.until.or(Some(now));
        }
    }
}
