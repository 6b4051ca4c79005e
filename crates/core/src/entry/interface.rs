//! Events that drive the entry core and actions that it requests.

use crate::audit::AuditRecord;
use crate::ids::{Incarnation, InstanceId, LinkId, RequestId};
use crate::instance::Instance;
use crate::message::{RequestHead, ResponseHead, ToAgent, ToEntry};
use crate::time::UnixMs;
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{BackendServerId, Document, KeyHash, Stamp};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The target that a caller's request names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model, by the name that callers use.
    Model(String),
    /// A service other than a model, by the path of the request.
    Path(String),
}

/// A caller's request as parsed by the HTTP server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier, assigned in sequence by the HTTP server within the entry's incarnation.
    pub request: RequestId,
    /// Hash of the API key.
    pub key_hash: KeyHash,
    /// The model or path that the request is for.
    pub target: RequestTarget,
    /// Set when the caller marked the request as non-idempotent.
    pub non_idempotent: bool,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The caller's deadline, if it set one; the route bounds it.
    pub deadline: Option<UnixMs>,
    /// Method, path and headers to forward.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
}

/// An input to the entry core.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// Time has passed. Sent several times a second.
    Tick,
    /// Another document is in force. The sender has already checked that it may follow the one
    /// before.
    Adopted {
        /// Revision and digest of the document.
        stamp: Stamp,
        /// The document.
        document: Arc<Document>,
    },
    /// The platform's complete instance list.
    Instances(Vec<Instance>),
    /// A link requested by [`EntryAction::OpenLink`] has been established.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The backend server that the agent reports as its own.
        backend_server: BackendServerId,
        /// The agent's incarnation.
        incarnation: Incarnation,
    },
    /// A link could not be established, or has been closed.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// A message from an agent was received.
    Message {
        /// The link on which it was received.
        link: LinkId,
        /// The message.
        message: ToEntry,
    },
    /// A caller's request was received with its whole body.
    Arrived(Box<Arrival>),
    /// The caller disconnected before its response was complete.
    CallerGone {
        /// The caller's request.
        request: RequestId,
    },
    /// The process is to stop: refuse new requests and finish the open ones.
    Drain,
}

/// Why a request was refused. The `snake_case` name is part of the error body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No document has been adopted yet, or the entry is draining.
    NotReady,
    /// The API key is unknown.
    UnknownKey,
    /// No route serves the model.
    UnknownModel,
    /// No route serves the path.
    UnknownPath,
    /// The deadline has passed.
    DeadlinePassed,
    /// The team has reached its rate limit.
    TeamLimit,
    /// The projected wait exceeds the deadline, or the queues are full.
    Overloaded,
    /// No backend server of the route can be reached.
    NoBackend,
    /// The response was cut off, or it is unknown whether the request ran.
    Interrupted,
    /// The idempotency key was used before and the earlier response cannot be replayed.
    KeyUsed,
    /// The idempotency key was used before with a different request.
    KeyConflict,
    /// The response violated the protocol.
    BadAnswer,
    /// The request violated the rules of the API.
    BadRequest,
}

/// The final response to a request that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// What is known about whether the request ran.
    pub verdict: Verdict,
    /// Earliest time at which a retry by the caller makes sense, if known.
    pub retry_at: Option<UnixMs>,
    /// Explanation for human readers.
    pub detail: String,
}

/// An effect that the entry core requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Open a connection to an agent from a new local port.
    OpenLink {
        /// Identifier assigned by the core.
        link: LinkId,
        /// The instance expected at the other end.
        instance: InstanceId,
        /// The agent's link address.
        address: SocketAddr,
    },
    /// Close a link immediately.
    CloseLink {
        /// The link.
        link: LinkId,
    },
    /// Send a message to an agent.
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// Send the response's status and headers to the caller.
    Head {
        /// The request.
        request: RequestId,
        /// Status and headers.
        head: ResponseHead,
    },
    /// Send a chunk of the response body to the caller.
    Chunk {
        /// The request.
        request: RequestId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The response is complete.
    Finish {
        /// The request.
        request: RequestId,
    },
    /// End the request without a complete response. After [`EntryAction::Head`] the HTTP server
    /// must break the connection, so that the caller cannot take the response for complete.
    Refuse {
        /// The request.
        request: RequestId,
        /// The final response.
        refusal: Refusal,
    },
    /// Write a record to the audit trail.
    Audit(AuditRecord),
    /// The last open request has ended after [`EntryEvent::Drain`].
    Drained,
}
