//! Rendezvous hashing: who among many names is responsible for a key.
//!
//! Whoever knows the same names comes to the same order without talking, and a name that goes
//! moves only the keys that it held.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a name for a key; the highest weight is responsible.
pub(crate) fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Digest of a textual key.
pub(crate) fn key_of(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}
