//! Digests of published documents, and the stamps that order their revisions.

use crate::document::KeyHash;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// The 64-bit XXH3 digest of a document's bytes as published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub u64);

impl Digest {
    /// Computes the digest of a document's published bytes.
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

/// Identifies one published document by the platform's revision and the digest of its bytes.
///
/// Only the revision orders documents. Two stamps with the same revision and different digests are
/// a fault of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The platform's revision; a higher one replaces a lower one.
    pub revision: u64,
    /// The digest of the published bytes.
    pub digest: Digest,
}

impl Stamp {
    /// The stamp of a process that has not adopted a document yet.
    pub const NONE: Self = Self { revision: 0, digest: Digest(0) };
}

/// Returns the SHA-256 of an API key, as listed in a team's `key_hashes`.
#[must_use]
pub fn hash_api_key(key: &str) -> KeyHash {
    KeyHash(Sha256::digest(key.as_bytes()).into())
}
