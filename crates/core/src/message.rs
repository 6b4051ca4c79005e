//! The messages between entries and agents.
//!
//! Every message may be lost, doubled, delayed or overtaken: a receiver judges it by the
//! identifiers that it carries, never by the link on which it came.

use crate::ids::{AttemptId, Incarnation, RequestId};
pub use crate::key_digest::KeyDigest;
use crate::time::UnixMs;
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{RouteId, Stamp, TeamId, TierId};
use serde::{Deserialize, Serialize};

/// One HTTP header, name in lower case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value, as received.
    pub value: Vec<u8>,
}

/// What a backend server needs of a request besides its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// HTTP method, in upper case.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to pass on, without hop-by-hop headers.
    pub headers: Vec<Header>,
}

/// Status and headers of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers to pass on, without hop-by-hop headers.
    pub headers: Vec<Header>,
}

/// Hands one attempt to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The attempt; a second copy with the same identifier is answered, not run again.
    pub attempt: AttemptId,
    /// The agent incarnation that it is meant for; any other refuses it.
    pub agent: Incarnation,
    /// The team that pays.
    pub team: TeamId,
    /// The tier that orders the queue.
    pub tier: TierId,
    /// The route that matched.
    pub route: RouteId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, if it sent one.
    pub key: Option<KeyDigest>,
    /// Digest of method, path and body, so that a key reused for another request is refused.
    pub content: u64,
    /// Work on it must not begin at or after this moment.
    pub deadline: UnixMs,
    /// Method, path and headers.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
}

/// What an entry tells an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Run this attempt.
    Submit(Box<Submit>),
    /// Send the answer of an attempt on this link from now on, beginning at a chunk.
    Attach {
        /// The attempt.
        attempt: AttemptId,
        /// The agent incarnation that accepted it.
        agent: Incarnation,
        /// Index of the first chunk that the entry does not have.
        next_chunk: u32,
    },
    /// Make sure that the attempt does not start, or say that it has.
    Revoke {
        /// The attempt.
        attempt: AttemptId,
        /// The agent incarnation that it was meant for.
        agent: Incarnation,
        /// Deadline of the attempt: a tombstone is kept until it has safely passed.
        deadline: UnixMs,
        /// Index of the first chunk that the entry does not have, should it be running.
        next_chunk: u32,
    },
    /// Nobody waits for the attempt any more: stop it if possible.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The entry holds every chunk before this one.
    Received {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first chunk not yet held; one more than the count of chunks once the end
        /// marker has come too. Naming just the count says nothing of the end marker.
        next_chunk: u32,
    },
    /// Sign of life; answered by [`ToEntry::HeartbeatAck`].
    Heartbeat {
        /// Repeated in the answer.
        nonce: u64,
        /// What the entry has adopted.
        stamp: Stamp,
    },
    /// The entry's demand for teams whose totals this agent sums up.
    Demand(Vec<TeamDemand>),
}

/// One entry's demand for one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamId,
    /// Requests a second that callers brought to this entry, refused ones included.
    pub requests_per_s: f32,
}

/// Demand for one team over all entries that an agent has heard of lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamTotal {
    /// The team.
    pub team: TeamId,
    /// Sum of the entries' demands.
    pub requests_per_s: f32,
    /// Entries in the sum.
    pub entries: u32,
}

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AgentState {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// Its backend server does not answer.
    BackendDown,
}

/// Requests of one tier that wait beside a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierWaiting {
    /// Rank of the tier.
    pub rank: u8,
    /// Requests waiting.
    pub requests: u32,
}

/// Load of one backend server, as its agent saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// When it was sampled.
    pub sampled: UnixMs,
    /// Whether new work is taken.
    pub state: AgentState,
    /// Requests running.
    pub running: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Waiting requests by tier, only tiers with any.
    pub waiting: Vec<TierWaiting>,
    /// Smoothed time that one request occupies a slot.
    pub service_ms: u32,
}

/// Why an agent refuses an attempt. Each of these proves that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The queue is full, or a higher tier took the place.
    QueueFull,
    /// The agent is leaving.
    Leaving,
    /// The deadline has passed.
    Expired,
    /// The attempt was revoked before.
    Revoked,
    /// It was meant for another incarnation of the agent. This one did not run it; an entry that
    /// sent it to the other one as well knows nothing of what that one did.
    WrongIncarnation,
    /// This agent is not the home of the idempotency key under its revision.
    NotKeyHome,
    /// The backend server cannot be reached.
    BackendDown,
    /// The agent's document does not know the route or tier yet.
    UnknownRoute,
    /// The key was used before for a request with another content.
    KeyConflict,
    /// The moment of creation in the key lies ahead: nothing may run under it before.
    KeyNotYetValid,
}

/// What came of a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevokeOutcome {
    /// It had not started and never will.
    Tombstoned,
    /// It had started: its answer follows on this link.
    Attached,
    /// It was meant for another incarnation, of which nothing is known.
    UnknownIncarnation,
}

/// What an agent tells an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The attempt is queued or running.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// Load at that moment.
        load: Load,
    },
    /// The attempt did not run and will not.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// Earliest moment at which coming back makes sense.
        retry_at: Option<UnixMs>,
        /// Load at that moment.
        load: Load,
    },
    /// The answer begins.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// Status and headers.
        head: ResponseHead,
    },
    /// A piece of the answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// Counts the pieces from 0.
        index: u32,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is whole if the receiver holds exactly this many pieces and bytes.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// Pieces of the answer.
        chunk_count: u32,
        /// Bytes of all pieces.
        byte_count: u64,
        /// Load at that moment.
        load: Load,
    },
    /// The attempt ended without a whole answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// What is known of its execution.
        verdict: Verdict,
        /// For people.
        detail: String,
    },
    /// The request with this key has already been given to the backend server under another
    /// attempt, and its answer cannot be repeated.
    KeyUsed {
        /// The attempt, which did not run itself.
        attempt: AttemptId,
        /// The request that used the key, if known.
        earlier: Option<RequestId>,
        /// What is known of the earlier execution.
        verdict: Verdict,
    },
    /// Answer to [`ToAgent::Revoke`].
    Revoked {
        /// The attempt.
        attempt: AttemptId,
        /// What came of it.
        outcome: RevokeOutcome,
    },
    /// Answer to [`ToAgent::Heartbeat`].
    HeartbeatAck {
        /// As received.
        nonce: u64,
        /// What the agent has adopted.
        stamp: Stamp,
        /// Load at that moment.
        load: Load,
    },
    /// Answer to [`ToAgent::Demand`].
    Totals(Vec<TeamTotal>),
    /// The agent takes no new work from now on.
    Leaving,
}
