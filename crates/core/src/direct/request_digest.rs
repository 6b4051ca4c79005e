//! Tells whether two requests ask for the same thing.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// What makes two requests the same.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Who sends it: a team, or the address of a caller without a key.
    pub caller: &'a str,
    /// Its method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Digest of a [`RequestIdentity`], the same at every entry.
///
/// Each attempt of a caller has an id of its own, so a request that comes back, there or at another entry,
/// is known by this alone. Callers do not share one: who cannot send with another's key cannot speak for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Digests what makes a request the same as another one.
    #[must_use]
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let RequestIdentity { caller, method, host, target, body } = identity;
        let mut hasher = Xxh3::new();
        for part in [caller, method, host, target] {
            // Without its length the end of one part could pass for the beginning of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self(hasher.digest128())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
