//! Input events and output actions of [`AgentCore`](super::AgentCore).

use crate::audit::AuditRecord;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{RequestHead, ResponseHead, ToAgent, ToEntry};
use crate::time::UnixMs;
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{Document, Stamp};
use std::sync::Arc;

/// An input to the agent's decision logic.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEvent {
    /// Periodic timer, sent several times a second.
    Tick,
    /// A new configuration document is in force. The caller has already checked that it may replace
    /// the previous one.
    Adopted {
        /// Revision and digest of the document.
        stamp: Stamp,
        /// The document.
        document: Arc<Document>,
    },
    /// A peer uses a different document under the revision that is in force here. Repeated every
    /// few seconds while that lasts.
    ConflictingDocument {
        /// The document that the peer uses.
        document: Arc<Document>,
    },
    /// An entry opened a link.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// Incarnation of the entry.
        entry: Incarnation,
    },
    /// A link was closed or lost.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// A message from an entry arrived.
    Message {
        /// The link on which it arrived.
        link: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// The backend server sent the head of its response.
    BackendHead {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// Status and headers.
        head: ResponseHead,
    },
    /// The backend server sent a chunk of its response body.
    BackendChunk {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The backend server's response is complete.
    BackendEnd {
        /// The attempt that it answers.
        attempt: AttemptId,
    },
    /// The request to the backend server failed.
    BackendFailed {
        /// The attempt.
        attempt: AttemptId,
        /// `NotRun` only when no byte of the request can have reached the backend server.
        verdict: Verdict,
        /// Human-readable cause.
        detail: String,
    },
    /// Result of the latest health check of the backend server.
    BackendHealth {
        /// Whether the check succeeded.
        healthy: bool,
    },
    /// Shut down gracefully: refuse new and queued attempts, finish running ones.
    Drain,
}

/// An output of the agent's decision logic, to be carried out by the program.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message to an entry.
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: ToEntry,
    },
    /// Send a request to the backend server immediately.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Method, path and headers.
        head: RequestHead,
        /// The body.
        body: Bytes,
        /// Checked again by the program right before the first byte is sent.
        deadline: UnixMs,
        /// Priority for engines that support it: the rank of the tier, 0 being the highest.
        priority: u8,
    },
    /// Cancel a request at the backend server. Its slot stays occupied until the program reports
    /// [`AgentEvent::BackendFailed`] or [`AgentEvent::BackendEnd`].
    Abort {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Write a record to the audit trail.
    Audit(AuditRecord),
    /// The drain begun by [`AgentEvent::Drain`] is complete; the process may exit.
    Drained,
}
