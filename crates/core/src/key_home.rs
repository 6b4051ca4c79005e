//! Assignment of idempotency keys to the backend servers whose agents remember them.

use crate::message::KeyDigest;
use hickorycross_config::BackendServerId;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed that makes these hashes independent of other uses of the same hash function.
const KEY_HOME_SEED: u64 = 0x6b65_795f_686f_6d65;

/// Returns the home of an idempotency key: the backend server whose agent remembers the key.
///
/// The home is chosen by rendezvous hashing over `backends`, the backend servers that the document
/// names for the route. Processes with the same revision therefore agree on it, even when their
/// instance lists differ. Returns none if `backends` is empty.
#[must_use]
pub fn key_home<'a>(
    backends: &[&'a BackendServerId],
    key: KeyDigest,
) -> Option<&'a BackendServerId> {
    backends
        .iter()
        .copied()
        .max_by_key(|backend_server| (score(backend_server, key), Reverse(*backend_server)))
}

fn score(backend_server: &BackendServerId, key: KeyDigest) -> u64 {
    let mut bytes = key.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(backend_server.as_str().as_bytes());
    xxh3_64_with_seed(&bytes, KEY_HOME_SEED)
}
