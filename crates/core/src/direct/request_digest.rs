//! Identifies requests with the same content.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// The parts of a request that identify its content.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Its sender: a team, or the address of a caller without a key.
    pub caller: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

/// Digest of a [`RequestIdentity`], the same at every entry.
///
/// Each retry of a caller has a new request id, so only this digest identifies a retried request,
/// at the same or another entry. It includes the caller, so that one caller cannot get the requests
/// of another refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u128);

impl RequestDigest {
    /// Returns the digest of a request.
    #[must_use]
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let RequestIdentity { caller, method, host, target, body } = identity;
        let mut hasher = Xxh3::new();
        for part in [caller, method, host, target] {
            // Without the lengths, the end of one part could be taken for the beginning of the
            // next.
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
