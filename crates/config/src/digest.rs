//! Digest of a document and the order of its revisions.

use crate::document::KeyHash;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Digest of a document's bytes as published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// Computes the digest of published bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one published document: the platform's revision with the digest of its bytes.
///
/// The revision alone gives the order. Two stamps of one revision with distinct digests are a
/// fault of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The platform's revision; higher replaces lower.
    pub revision: u64,
    /// Digest of the published bytes.
    pub digest: Digest,
}

impl Stamp {
    /// The stamp of a process that has adopted nothing yet.
    pub const NONE: Self = Self { revision: 0, digest: Digest(0) };
}

/// Hashes an API key for comparison with a document's `key_hashes`.
#[must_use]
pub fn hash_api_key(key: &str) -> KeyHash {
    KeyHash(Sha256::digest(key.as_bytes()).into())
}
