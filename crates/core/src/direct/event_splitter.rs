//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event, as the backend server wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, the blank line at its end included.
    pub bytes: Bytes,
    /// The number that it carries, if any.
    pub id: Option<u64>,
}

/// Collects bytes and gives whole events.
///
/// A backend server may stop in the middle of an event. If the torn part reached the caller, the
/// continuation from another backend server could not be joined to it without a repeat or a gap.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.pending)?;
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Bytes of an event that is not whole.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// Finds the end of the first event: a blank line, with any of the line ends of the format.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let unix = find(bytes, b"\n\n").map(|start| start + 2);
    let dos = find(bytes, b"\r\n\r\n").map(|start| start + 4);
    match (unix, dos) {
        (Some(unix), Some(dos)) => Some(unix.min(dos)),
        (unix, dos) => unix.or(dos),
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:"))?.trim().parse().ok()
}
