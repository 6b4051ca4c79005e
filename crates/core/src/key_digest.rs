//! Digests of callers' idempotency keys.

use crate::time::UnixMs;
use hickorycross_config::TeamId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

const HASH_BITS: u32 = 80;
const HASH_MASK: u128 = (1 << HASH_BITS) - 1;
const UUID_CHARS: usize = 36;
const UUID_VERSION_CHAR: usize = 14;
const UUID_VARIANT_CHAR: usize = 19;

/// Identifies a caller's idempotency key within its team.
///
/// The upper 48 bits are the creation time in milliseconds since the Unix epoch if the key is a
/// UUID of version 7 (RFC 9562), and zero otherwise. The lower 80 bits are a hash of the team and
/// the whole key, so that a creation time is never combined with a key that does not contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(pub u128);

impl KeyDigest {
    /// Computes the digest of a key and the team that sent it, so that the same key of two teams
    /// has two digests.
    #[must_use]
    pub fn of(team: &TeamId, key: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&(team.as_str().len() as u64).to_le_bytes());
        hasher.update(team.as_str().as_bytes());
        hasher.update(key.as_bytes());
        let created_unix_ms = uuid_v7_unix_ms(key).unwrap_or(0);
        Self((u128::from(created_unix_ms) << HASH_BITS) | (hasher.digest128() & HASH_MASK))
    }

    /// Returns the creation time of the key by the caller's clock, if the key contains one.
    #[must_use]
    pub const fn created(self) -> Option<UnixMs> {
        match (self.0 >> HASH_BITS) as u64 {
            0 => None,
            unix_ms => Some(UnixMs(unix_ms)),
        }
    }
}

/// Returns the creation time in a UUID of version 7; none if the key is not one.
fn uuid_v7_unix_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let hyphen_at = |index: usize| matches!(index, 8 | 13 | 18 | 23);
    let well_formed = bytes.len() == UUID_CHARS
        && bytes.iter().enumerate().all(|(index, byte)| match hyphen_at(index) {
            true => *byte == b'-',
            false => byte.is_ascii_hexdigit(),
        })
        && bytes[UUID_VERSION_CHAR] == b'7'
        && matches!(bytes[UUID_VARIANT_CHAR], b'8' | b'9' | b'a' | b'b' | b'A' | b'B');
    if !well_formed {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &key[..8], &key[9..13]), 16).ok()
}
