//! Counts an agent's traffic by message type, and the gaps between the leader's ticks.
//!
//! The link of a small instance carries about 750 bytes per millisecond. A leader whose link is
//! saturated looks like a failed one to the members; these figures tell the two apart in the log.

use crate::decision_log::{DecisionLog, Fields};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::fmt::Write as _;

/// Interval between two log lines. One second separates bursts from a steady load without flooding
/// the log.
pub(super) const LOG_INTERVAL_MS: u64 = 1_000;

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    Sent,
    Received,
}

/// Number and total size of messages.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    messages: u64,
    bytes: u64,
}

type Counts = IndexMap<&'static str, Count>;

/// Traffic since the last log line.
#[derive(Debug, Default)]
pub(super) struct LinkTraffic {
    sent: RefCell<Counts>,
    received: RefCell<Counts>,
    longest_pause_ms: Cell<u64>,
}

impl LinkTraffic {
    /// Counts one message.
    pub(super) fn count(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let (counts, name) = match direction {
            Direction::Sent => (&self.sent, "sent"),
            Direction::Received => (&self.received, "heard"),
        };
        let mut counts = counts.borrow_mut();
        let count = counts.entry(kind).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
        let counter =
            metrics::counter!("hickorycross_agent_bytes_total", "way" => name, "kind" => kind);
        counter.increment(bytes as u64);
    }

    /// Records the time between two ticks of the leader.
    pub(super) fn note_pause(&self, pause_ms: u64) {
        self.longest_pause_ms.set(self.longest_pause_ms.get().max(pause_ms));
    }

    /// Returns the log line for the time since the previous call, and resets the counts.
    pub(super) fn take_log_fields(&self) -> Fields {
        let line = DecisionLog::fields("link").with("span_ms", LOG_INTERVAL_MS);
        let line = line.with("longest_pause_ms", self.longest_pause_ms.take());
        let line = line.with("sent", format_counts(&self.sent.take()));
        line.with("heard", format_counts(&self.received.take()))
    }
}

/// Formats counts as `kind:messages/bytes`, separated by commas.
fn format_counts(counts: &Counts) -> String {
    let mut text = String::new();
    for (kind, Count { messages, bytes }) in counts {
        let comma = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{comma}{kind}:{messages}/{bytes}");
    }
    text
}
