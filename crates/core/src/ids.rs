//! Identifiers of running things. Names from the document live in `hickorycross-config`.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Names an instance in the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub Arc<str>);

impl InstanceId {
    /// Makes an identifier from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of a process: drawn at random when it starts, so that a successor on the same address
/// is never taken for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One connection between two processes, numbered by the process that holds this end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkId(pub u64);

/// One request of a caller, unique over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The entry's incarnation.
    pub entry: Incarnation,
    /// Counts the entry's requests.
    pub sequence: u64,
}

/// One try of a request at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that it serves.
    pub request: RequestId,
    /// Counts the tries of the request from 0.
    pub ordinal: u16,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.sequence)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.ordinal)
    }
}

/// A fencing token: an order with a lower one than its receiver has seen is refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fencing(pub u64);
