//! Requests of an entry that are not over.

use super::link::ACK_MS;
use super::queue::Attempt;
use hickorycross_core::Now;
use indexmap::IndexMap;

/// An attempt that is not over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenAttempt {
    /// Where it was sent.
    pub(crate) backend: usize,
    /// Counts the tries of the request from 0.
    pub(crate) ordinal: u16,
    /// When it was sent.
    pub(crate) sent_ms: u64,
    /// When its acknowledgement is due, until it comes.
    pub(crate) ack_by_ms: Option<u64>,
    /// Whether its first chunk has come.
    pub(crate) began: bool,
}

impl OpenAttempt {
    /// Whether its acknowledgement is overdue.
    pub(crate) fn is_overdue(&self, now: Now) -> bool {
        self.ack_by_ms.is_some_and(|ack_by_ms| ack_by_ms <= now.unix_ms.0)
    }
}

/// A request that is not over.
#[derive(Clone, Debug, Default)]
struct OpenRequest {
    tried: Vec<usize>,
    attempt: Option<OpenAttempt>,
}

/// All requests of an entry that are not over, by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenTable {
    rows: IndexMap<usize, OpenRequest>,
}

impl OpenTable {
    /// Adds a request.
    pub(crate) fn add(&mut self, request: usize) {
        self.rows.insert(request, OpenRequest::default());
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, request: usize) {
        self.rows.swap_remove(&request);
    }

    /// Removes all requests.
    pub(crate) fn take_all(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.rows).into_keys().collect()
    }

    /// Whether a request is open.
    pub(crate) fn has(&self, request: usize) -> bool {
        self.rows.contains_key(&request)
    }

    /// Backend servers that a request has been sent to.
    pub(crate) fn tried(&self, request: usize) -> &[usize] {
        self.rows.get(&request).map_or(&[], |row| &row.tried)
    }

    /// Notes an attempt and gives its ordinal.
    pub(crate) fn sent(&mut self, now: Now, request: usize, backend: usize) -> u16 {
        let row = self.rows.entry(request).or_default();
        let ordinal = row.tried.len() as u16;
        let sent_ms = now.unix_ms.0;
        let ack_by_ms = Some(sent_ms + ACK_MS);
        row.tried.push(backend);
        row.attempt = Some(OpenAttempt { backend, ordinal, sent_ms, ack_by_ms, began: false });
        ordinal
    }

    /// The open attempt, if it is this one.
    pub(crate) fn attempt_mut(&mut self, attempt: Attempt) -> Option<&mut OpenAttempt> {
        let open = self.rows.get_mut(&attempt.request)?.attempt.as_mut()?;
        (open.ordinal == attempt.ordinal).then_some(open)
    }

    /// Ends the open attempt, if it is this one.
    pub(crate) fn end_attempt(&mut self, request: usize, ordinal: u16) -> Option<OpenAttempt> {
        self.rows.get_mut(&request)?.attempt.take_if(|attempt| attempt.ordinal == ordinal)
    }

    /// Open attempts, with their requests.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (usize, OpenAttempt)> {
        self.rows.iter().filter_map(|(request, row)| Some((*request, row.attempt?)))
    }
}
