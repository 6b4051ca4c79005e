//! What an agent shows of itself.

use crate::message::Load;
use crate::time::UnixMs;
use hickorycross_config::{RouteId, Stamp};
use serde::Serialize;

/// State of an agent at one moment, for status views.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AgentSnapshot {
    /// The document in force.
    pub stamp: Stamp,
    /// Load, with the queue by tier.
    pub load: Load,
    /// Open links.
    pub links: u32,
    /// Attempts of which a record is kept.
    pub attempts: u32,
    /// Answers of which something is held, running ones included.
    pub answers: u32,
    /// Bytes held of all answers.
    pub retained_bytes: u64,
    /// Idempotency keys within their horizon.
    pub keys: u64,
    /// Routes for which some keys may have run where this agent cannot know of it.
    pub unknown_keys: Vec<UnknownKeys>,
    /// Whether the agent is draining, and whether it has finished.
    pub drain: DrainState,
}

/// Until when keys of a route may count as unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnknownKeys {
    /// The route.
    pub route: RouteId,
    /// The moment from which on every key is known.
    pub until: UnixMs,
}

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// Not begun.
    Serving,
    /// Begun, not finished.
    Draining,
    /// Nothing is left to finish.
    Drained,
}
