//! What entries tell each other about parts of prompts under which backend servers have ended.

use super::{IncarnationDigest, PromptPart};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Digest of a caller: the name of a team, or the address of a caller without a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerDigest(pub u32);

impl CallerDigest {
    /// Returns the digest of a caller.
    #[must_use]
    pub fn of(caller: &str) -> Self {
        Self(xxh3_64(caller.as_bytes()) as u32)
    }
}

/// The end of a backend server under a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEnd {
    /// The incarnation that ended.
    pub incarnation: IncarnationDigest,
    /// Who sent the request.
    pub caller: CallerDigest,
    /// Whether the backend server had begun to answer.
    pub had_begun: bool,
    /// Whether the part counts although it was answered lately, because several backend servers
    /// have ended under it since.
    pub despite_answers: bool,
    /// Time from the beginning of the answer, or else from the send, to the end.
    pub ran_ms: u64,
}

/// What was observed of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartObservation {
    /// A backend server ended under a request with the part.
    BackendEnded(PartEnd),
    /// A backend server answered a request with the part; the age is that of the beginning.
    Answered,
    /// A request with the part was sent to find out whether it still crashes backend servers.
    Tried,
}

/// An observation of a part that one entry sends to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPart,
    /// What was observed.
    pub seen: PartObservation,
    /// Age of the observation in milliseconds.
    pub age_ms: u64,
}
