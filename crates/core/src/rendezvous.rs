//! Rendezvous hashing, which assigns each key to one of many names.
//!
//! Processes that know the same names agree on the assignment without communication, and the
//! removal of a name reassigns only the keys that it had.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a name for a key; the key belongs to the name with the highest weight.
pub(crate) fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Hashes a textual key for use with [`weight`].
pub(crate) fn key_of(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}
