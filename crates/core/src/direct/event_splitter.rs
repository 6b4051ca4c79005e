//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event, byte for byte as the backend server sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, including the blank line that ends it.
    pub bytes: Bytes,
    /// Its numeric `id` field, if it has one.
    pub id: Option<u64>,
}

/// Buffers received bytes and returns whole events.
///
/// A backend server may stop in the middle of an event. If the incomplete part were forwarded to
/// the caller, the stream could not be resumed from another backend server without repeated or
/// missing bytes.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, or nothing if none is complete.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.pending)?;
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the number of buffered bytes that do not form a whole event yet.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// Returns the length of the first event, which ends with a blank line (LF or CRLF line endings).
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|start| start + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|start| start + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// Returns the position of the first occurrence of `pattern`.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Returns the numeric value of the `id` field of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:"))?.trim().parse().ok()
}
