//! Which backend server remembers an idempotency key.

use crate::message::KeyDigest;
use hickorycross_config::{BackendServerId, Document, Route};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The home of a key: the backend server of the route with the highest weight for that key.
///
/// Every process on one revision of the document finds the same home, whatever it believes of the
/// instances. None when the document names no backend server for the route.
#[must_use]
pub fn key_home<'a>(
    document: &'a Document,
    route: &'a Route,
    key: KeyDigest,
) -> Option<&'a BackendServerId> {
    home_among(document.backends_of(&route.target), key)
}

/// Rendezvous hashing: removing a backend server moves only the keys whose home it was.
pub(crate) fn home_among(backends: &[BackendServerId], key: KeyDigest) -> Option<&BackendServerId> {
    backends.iter().max_by_key(|id| (weight(id, key), id.as_str()))
}

fn weight(backend: &BackendServerId, key: KeyDigest) -> u64 {
    let seed = xxh3_64_with_seed(&key.0.to_le_bytes(), 0);
    xxh3_64_with_seed(backend.as_str().as_bytes(), seed)
}
