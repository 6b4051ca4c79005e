//! What an agent's link carries, by kind of message, and how late its leader's looks come.
//!
//! A small machine's link takes some 750 bytes a millisecond. A leader whose link is full falls silent for
//! its members, who then see nothing but a leader that went away; these counts tell the two apart.

use crate::decision_log::{DecisionLog, Fields};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::fmt::Write as _;

/// Pause between two lines: one a second tells a burst from a steady load, and is few for a log.
pub(super) const LINE_MS: u64 = 1_000;

/// Which way a message went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    Sent,
    Heard,
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    messages: u64,
    bytes: u64,
}

type Counts = IndexMap<&'static str, Count>;

/// What went over the link since the last line.
#[derive(Debug, Default)]
pub(super) struct LinkLoad {
    sent: RefCell<Counts>,
    heard: RefCell<Counts>,
    longest_pause_ms: Cell<u64>,
}

impl LinkLoad {
    /// Counts one message.
    pub(super) fn count(&self, way: Way, kind: &'static str, bytes: usize) {
        let (counts, name) = match way {
            Way::Sent => (&self.sent, "sent"),
            Way::Heard => (&self.heard, "heard"),
        };
        let mut counts = counts.borrow_mut();
        let count = counts.entry(kind).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
        let counter =
            metrics::counter!("hickorycross_agent_bytes_total", "way" => name, "kind" => kind);
        counter.increment(bytes as u64);
    }

    /// Notes the time between two looks of a leader at its group.
    pub(super) fn note_pause(&self, pause_ms: u64) {
        self.longest_pause_ms.set(self.longest_pause_ms.get().max(pause_ms));
    }

    /// The line about the time since the last one.
    pub(super) fn take_line(&self) -> Fields {
        let line = DecisionLog::fields("link").with("span_ms", LINE_MS);
        let line = line.with("longest_pause_ms", self.longest_pause_ms.take());
        let line = line.with("sent", text(&self.sent.take()));
        line.with("heard", text(&self.heard.take()))
    }
}

/// Counts as `kind:messages/bytes`, separated by commas.
fn text(counts: &Counts) -> String {
    let mut text = String::new();
    for (kind, Count { messages, bytes }) in counts {
        let comma = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{comma}{kind}:{messages}/{bytes}");
    }
    text
}
