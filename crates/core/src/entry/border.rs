//! Events into an entry's core and actions out of it.

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

/// What a caller wants to reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model by the name that callers use.
    Model(String),
    /// A plain service by path.
    Path(String),
}

/// One request of a caller, as the HTTP side understood it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its identifier, numbered by the HTTP side within the entry's incarnation.
    pub request: RequestId,
    /// Hash of the API key.
    pub key_hash: KeyHash,
    /// What it wants to reach.
    pub target: RequestTarget,
    /// Set when the caller marked it as non-idempotent.
    pub non_idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The caller's own deadline.
    pub deadline: Option<UnixMs>,
    /// Method, path and headers to pass on.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
}

/// What happens to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// Time has passed; sent several times a second.
    Tick,
    /// Another document is in force. The adoption order has been checked already.
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// The platform's instance list, whole.
    Instances(Vec<Instance>),
    /// A link asked for by [`EntryAction::OpenLink`] is up.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The backend server that the agent says it stands beside.
        backend_server: BackendServerId,
        /// The agent's incarnation.
        incarnation: Incarnation,
    },
    /// A link could not be opened, or has ended.
    LinkClosed {
        /// The link.
        link: LinkId,
    },
    /// A message came.
    Message {
        /// The link on which it came.
        link: LinkId,
        /// The message.
        message: ToEntry,
    },
    /// A caller's request came, whole.
    Arrived(Box<Arrival>),
    /// The caller no longer waits.
    CallerGone {
        /// Its request.
        request: RequestId,
    },
    /// The process is to stop: finish what is open, take nothing new.
    Drain,
}

/// Why a request is not answered by a backend server; the text is part of the error body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No document has been adopted yet, or the entry drains.
    NotReady,
    /// The API key is unknown.
    UnknownKey,
    /// No route serves the model.
    UnknownModel,
    /// No route serves the path.
    UnknownPath,
    /// The deadline has passed.
    DeadlinePassed,
    /// The team's limit is used up.
    TeamLimit,
    /// The projected wait exceeds the deadline, or queues are full.
    Overloaded,
    /// No backend server of the route can be reached.
    NoBackend,
    /// The answer was cut off, or its fate is unknown.
    Interrupted,
    /// The idempotency key was used before and its answer cannot be repeated.
    KeyUsed,
    /// The idempotency key was used before for another request.
    KeyConflict,
    /// The answer broke the rules of the protocol.
    BadAnswer,
    /// The request broke the rules of the API.
    BadRequest,
}

/// The final answer to a request that was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// What is known of its execution.
    pub verdict: Verdict,
    /// When coming back makes sense.
    pub retry_at: Option<UnixMs>,
    /// For people.
    pub detail: String,
}

/// What an entry's core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Open a connection from a fresh local port.
    OpenLink {
        /// Its number, chosen by the core.
        link: LinkId,
        /// The instance that should answer.
        instance: InstanceId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Close a link at once.
    CloseLink {
        /// The link.
        link: LinkId,
    },
    /// Send a message.
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: ToAgent,
    },
    /// Send status and headers to the caller.
    Head {
        /// The request.
        request: RequestId,
        /// Status and headers.
        head: ResponseHead,
    },
    /// Send a piece of the body to the caller.
    Chunk {
        /// The request.
        request: RequestId,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is whole.
    Finish {
        /// The request.
        request: RequestId,
    },
    /// End the request without a whole answer. After [`EntryAction::Head`] the HTTP side must
    /// break the connection so that the caller cannot take the answer for whole.
    Refuse {
        /// The request.
        request: RequestId,
        /// The final answer.
        refusal: Refusal,
    },
    /// Write to the audit trail.
    Audit(AuditRecord),
    /// Nothing is left to finish after [`EntryEvent::Drain`].
    Drained,
}
