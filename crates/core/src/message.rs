//! The messages between entries and agents.
//!
//! Any message may be lost, duplicated, delayed or reordered. A receiver therefore relies on the
//! identifiers in a message, never on the link on which it arrived.

use crate::ids::{AttemptId, Incarnation, RequestId};
pub use crate::key_digest::KeyDigest;
use crate::time::UnixMs;
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{BackendServerId, RouteId, Stamp, TeamId, TierId};
use serde::{Deserialize, Serialize};

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Vec<u8>,
}

/// Method, path and headers of a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path with the query string.
    pub path: String,
    /// Headers to pass on, without hop-by-hop headers.
    pub headers: Vec<Header>,
}

/// Status and headers of a backend server's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers to pass on, without hop-by-hop headers.
    pub headers: Vec<Header>,
}

/// Submits one attempt to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The attempt. A duplicate with the same identifier is answered, but not executed again.
    pub attempt: AttemptId,
    /// Incarnation of the addressed agent; any other refuses the attempt.
    pub agent: Incarnation,
    /// The team that sent the request.
    pub team: TeamId,
    /// The tier of the request, which determines its priority in the queue.
    pub tier: TierId,
    /// The route of the request.
    pub route: RouteId,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<KeyDigest>,
    /// Digest of method, path and body, so that a key reused for another request is refused.
    pub content: u64,
    /// Execution must not begin at or after this time.
    pub deadline: UnixMs,
    /// Method, path and headers.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
}

/// A message from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Queue and execute an attempt.
    Submit(Box<Submit>),
    /// Send the response of an attempt on this link from now on, starting at a given chunk.
    Attach {
        /// The attempt.
        attempt: AttemptId,
        /// The agent incarnation that accepted it.
        agent: Incarnation,
        /// Index of the first chunk that the entry does not have.
        next_chunk: u32,
    },
    /// Prevent the attempt from starting, or report that it has started.
    Revoke {
        /// The attempt.
        attempt: AttemptId,
        /// The agent incarnation to which the attempt was submitted.
        agent: Incarnation,
        /// Deadline of the attempt; a tombstone is kept until it has safely passed.
        deadline: UnixMs,
        /// Index of the first chunk that the entry does not have, in case the attempt has started.
        next_chunk: u32,
    },
    /// Stop the attempt if possible, because nobody waits for its response any more.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Acknowledges all chunks before a given one.
    Received {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first chunk not yet received. Once the end marker has arrived too, this is
        /// one more than the number of chunks; the number itself does not acknowledge the marker.
        next_chunk: u32,
    },
    /// Shows that the entry is alive; answered by [`ToEntry::HeartbeatAck`].
    Heartbeat {
        /// Repeated in the reply.
        nonce: u64,
        /// Stamp of the document that the entry has adopted.
        stamp: Stamp,
    },
    /// The entry's demand for teams of which this agent is a home agent; answered by
    /// [`ToEntry::Totals`].
    Demand(Vec<TeamDemand>),
    /// Reply to [`ToEntry::HolderQuery`].
    HolderReport(HolderReport),
}

/// Asks an entry which documents other agents hold.
///
/// An agent that became the home of idempotency keys may run them once no other agent can take
/// them as a former home any more. Agents have no links to each other, but entries do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderQuery {
    /// Stamp of the document in force at the asking agent.
    pub stamp: Stamp,
    /// Backend servers about whose agents it asks.
    pub backend_servers: Vec<BackendServerId>,
    /// Whether it also asks if every other agent holds this document.
    pub every_agent: bool,
    /// The last document that it held before it skipped some revisions, if it did and its keys
    /// depend on whether another agent held one of them.
    pub skipped_after: Option<u64>,
}

/// What an entry knows about the documents that agents hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// Stamp of the document in force at the entry.
    pub stamp: Stamp,
    /// The earliest revision from which on all revisions up to that stamp give all keys the same
    /// homes, as far as the entry knows.
    pub homes_since: u64,
    /// The queried backend servers of whose agents the entry knows enough.
    pub holders: Vec<Holder>,
    /// What is known of all other agents that may be homes of the asking agent's keys. None unless
    /// each has said, since the query, that it holds the document in force at the entry.
    pub every_agent: Option<EveryAgent>,
}

/// What is known of all agents when each holds the document in force at an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EveryAgent {
    /// When the last of them adopted it.
    pub holds_since: UnixMs,
    /// The time since which none of them has held a document that the asking agent skipped.
    pub holds_no_skipped_since: UnixMs,
}

/// The documents that the agents of one backend server hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The backend server.
    pub backend_server: BackendServerId,
    /// What each of its listed instances holds; empty if the instance list names none.
    pub held: Vec<HeldStamp>,
}

/// The document that an agent has adopted, and the one that it held before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adoption {
    /// The document in force.
    pub held: HeldStamp,
    /// The document that it replaced; none if it was the first since the start of the agent.
    pub replaced: Option<HeldStamp>,
}

/// The stamp of a document that an agent holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStamp {
    /// The stamp.
    pub stamp: Stamp,
    /// When the agent adopted the document, by the agent's clock.
    pub adopted_at: UnixMs,
}

/// One team's demand at one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Requests per second that the entry received, refused ones included.
    pub requests_per_s: f32,
}

/// One team's demand over all entries that have recently reported it to the agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamTotal {
    /// The team.
    pub team: TeamId,
    /// Sum of the entries' demand, in requests per second.
    pub requests_per_s: f32,
    /// Number of entries in the sum.
    pub entries: u32,
}

/// Whether an agent accepts new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentState {
    /// The agent accepts new attempts.
    Serving,
    /// The agent finishes its attempts and accepts no new ones.
    Leaving,
    /// The agent's backend server does not respond.
    BackendDown,
}

/// Requests of one tier that wait in an agent's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierWaiting {
    /// Rank of the tier.
    pub rank: u8,
    /// Number of waiting requests.
    pub requests: u32,
}

/// Load report of one backend server, sampled by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// When the load was sampled, by the agent's clock.
    pub sampled: UnixMs,
    /// Whether the agent accepts new attempts.
    pub state: AgentState,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Waiting requests by tier; contains only tiers with waiting requests.
    pub waiting: Vec<TierWaiting>,
    /// Smoothed time that a request occupies a slot.
    pub service_ms: u32,
}

/// Why an agent refuses an attempt. Each reason guarantees that this agent did not execute it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is full, or an attempt of a higher tier displaced this one.
    QueueFull,
    /// The agent is shutting down.
    Leaving,
    /// The deadline has passed.
    Expired,
    /// The attempt was revoked before.
    Revoked,
    /// The attempt was addressed to another incarnation of the agent. This says nothing about
    /// whether that incarnation executed it, if the entry sent it there as well.
    WrongIncarnation,
    /// This agent is not the home of the idempotency key under its document revision.
    NotKeyHome,
    /// The backend server cannot be reached.
    BackendDown,
    /// The route or tier does not exist in the agent's document yet.
    UnknownRoute,
    /// The idempotency key was used before for a request with another content.
    KeyConflict,
    /// The creation time in the idempotency key is in the future; no request may run under the key
    /// before that time.
    KeyNotYetValid,
}

/// The result of a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevokeOutcome {
    /// The attempt had not started and never will.
    Tombstoned,
    /// The attempt had started; its response follows on this link.
    Attached,
    /// The attempt was addressed to another incarnation, about which the agent knows nothing.
    UnknownIncarnation,
}

/// A message from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The attempt is queued or running.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// Load of the backend server at that time.
        load: Load,
    },
    /// The attempt did not run and will not.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why the attempt was refused.
        reason: RefusalReason,
        /// Earliest time at which a retry may succeed, if known.
        retry_at: Option<UnixMs>,
        /// Load of the backend server at that time.
        load: Load,
    },
    /// The response starts.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// Status and headers.
        head: ResponseHead,
    },
    /// A chunk of the response body.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the chunk, from 0.
        index: u32,
        /// The bytes of the chunk.
        bytes: Bytes,
    },
    /// End marker: the response is complete once the receiver has exactly this many chunks and
    /// bytes.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// Number of chunks of the response.
        chunk_count: u32,
        /// Number of bytes of all chunks.
        byte_count: u64,
        /// Load of the backend server at that time.
        load: Load,
    },
    /// The attempt ended without a complete response.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the attempt may have been executed.
        verdict: Verdict,
        /// Human-readable cause of the failure.
        detail: String,
    },
    /// A request with this idempotency key was already sent to the backend server in another
    /// attempt, and its response cannot be repeated.
    KeyUsed {
        /// The attempt, which was not executed itself.
        attempt: AttemptId,
        /// The request that used the key, if known.
        earlier: Option<RequestId>,
        /// Whether the earlier request may have been executed.
        verdict: Verdict,
    },
    /// Reply to [`ToAgent::Revoke`].
    Revoked {
        /// The attempt.
        attempt: AttemptId,
        /// Result of the revocation.
        outcome: RevokeOutcome,
    },
    /// Reply to [`ToAgent::Heartbeat`].
    HeartbeatAck {
        /// Nonce of the heartbeat.
        nonce: u64,
        /// Stamp of the document that the agent has adopted.
        stamp: Stamp,
        /// Load of the backend server at that time.
        load: Load,
    },
    /// Reply to [`ToAgent::Demand`].
    Totals(Vec<TeamTotal>),
    /// The agent accepts no new attempts from now on.
    Leaving,
    /// The document that the agent has adopted; sent when a link opens and at each adoption.
    Adopted(Adoption),
    /// Asks which documents other agents hold; answered by [`ToAgent::HolderReport`].
    HolderQuery(HolderQuery),
}
