//! Messages of the fake fleet, reduced to what the policies need.

use super::queue::Attempt;
use hickorycross_core::message::{Load, RefusalReason, TeamDemand, TeamTotal};

/// From an entry to the agent of a backend server.
#[derive(Clone, Debug)]
pub(crate) enum ToBackend {
    /// Run this attempt.
    Submit(Attempt),
    /// Sign of life.
    Heartbeat,
    /// Demand for teams that this agent sums up.
    Demand(Vec<TeamDemand>),
}

/// From the agent of a backend server to an entry.
#[derive(Clone, Debug)]
pub(crate) enum ToEntry {
    /// The attempt waits or runs.
    Accepted { attempt: Attempt, load: Load },
    /// It did not run.
    Refused { attempt: Attempt, reason: RefusalReason, load: Load },
    /// The answer begins.
    FirstChunk { attempt: Attempt },
    /// The answer is whole.
    End { attempt: Attempt, load: Load },
    /// It failed without an answer.
    Failed { attempt: Attempt, load: Load },
    /// Answer to a heartbeat.
    HeartbeatAck { load: Load },
    /// Answer to demands.
    Totals(Vec<TeamTotal>),
    /// The agent takes nothing new.
    Leaving,
}

/// What the fake processes hand to the loop of virtual time.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// A message to an entry.
    SendEntry { entry: usize, message: ToEntry },
    /// A message to a backend server.
    SendBackend { backend: usize, message: ToBackend },
    /// The backend server gives the first chunk of this attempt after a while.
    FirstChunkIn { attempt: Attempt, after_ms: u64 },
    /// The backend server is done with this attempt after a while.
    DoneIn { attempt: Attempt, after_ms: u64 },
    /// The entry wants to try the request again after a while.
    RetryIn { request: usize, after_ms: u64 },
}
