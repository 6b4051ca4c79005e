//! Identifies incarnations of backend servers in messages between entries.

use super::BackendServer;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Identifies one incarnation of a backend server in fewer bytes than its name and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationDigest(pub u64);

impl IncarnationDigest {
    /// Returns the digest of the name and start time of a backend server.
    #[must_use]
    pub fn of(server: &BackendServer) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&server.born_ms.to_le_bytes());
        hasher.update(server.id.as_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for IncarnationDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
