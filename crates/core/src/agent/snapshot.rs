//! Snapshot of an agent's state, for status views.

use crate::message::Load;
use crate::time::UnixMs;
use hickorycross_config::{RouteId, Stamp};
use serde::Serialize;

/// State of an agent at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AgentSnapshot {
    /// Revision and digest of the document in force.
    pub stamp: Stamp,
    /// Current load, with the queue length by tier.
    pub load: Load,
    /// Number of open links.
    pub links: u32,
    /// Number of attempts of which a record is kept.
    pub attempts: u32,
    /// Number of responses that are retained, including those of running requests.
    pub answers: u32,
    /// Size of all retained response chunks.
    pub retained_bytes: u64,
    /// Number of used idempotency keys that are remembered.
    pub keys: u64,
    /// Routes with keys that may have run at another agent or an earlier incarnation.
    pub unknown_keys: Vec<UnknownKeys>,
    /// Progress of a graceful shutdown.
    pub drain: DrainState,
}

/// A route with keys of which it is unknown whether they were used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnknownKeys {
    /// The route.
    pub route: RouteId,
    /// From this time on, all keys of the route are known.
    pub until: UnixMs,
}

/// Progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// No shutdown was requested.
    Serving,
    /// Running requests and unfetched responses remain.
    Draining,
    /// Nothing remains; the process may exit.
    Drained,
}
