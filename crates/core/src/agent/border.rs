//! Events into an agent's core and actions out of it.

use crate::audit::AuditRecord;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{RequestHead, ResponseHead, ToAgent, ToEntry};
use crate::time::UnixMs;
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{Document, Stamp};
use std::sync::Arc;

/// What happens to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// Another document is in force. The adoption order has been checked already.
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// A peer holds this document under the revision that is in force here; repeated every few
    /// seconds while it does.
    ConflictingDocument {
        /// What the peer holds.
        document: Arc<Document>,
    },
    /// An entry opened a link.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The entry's incarnation.
        entry: Incarnation,
    },
    /// A link has ended.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// A message came.
    Message {
        /// The link on which it came.
        link: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// The backend server's answer begins.
    BackendHead {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// Status and headers.
        head: ResponseHead,
    },
    /// A piece of the backend server's answer.
    BackendChunk {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The backend server's answer is whole.
    BackendEnd {
        /// The attempt that it answers.
        attempt: AttemptId,
    },
    /// The backend server's answer failed.
    BackendFailed {
        /// The attempt.
        attempt: AttemptId,
        /// `NotRun` only when not a byte of the request can have reached the backend server.
        verdict: Verdict,
        /// For people.
        detail: String,
    },
    /// Result of the latest health check of the backend server.
    BackendHealth {
        /// Whether it answered.
        healthy: bool,
    },
    /// The process is to stop: take nothing new, hand back what is queued, finish what runs.
    Drain,
}

/// What an agent's core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a message.
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: ToEntry,
    },
    /// Give a request to the backend server, now.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Method, path and headers.
        head: RequestHead,
        /// The body.
        body: Bytes,
        /// The program checks it once more right before the first byte is sent.
        deadline: UnixMs,
        /// Priority for engines that honour one: rank of the tier, 0 first.
        priority: u8,
    },
    /// Cancel a request at the backend server. Its slot stays taken until the program reports
    /// [`AgentEvent::BackendFailed`] or [`AgentEvent::BackendEnd`].
    Abort {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Write to the audit trail.
    Audit(AuditRecord),
    /// Nothing is left to finish after [`AgentEvent::Drain`].
    Drained,
}
