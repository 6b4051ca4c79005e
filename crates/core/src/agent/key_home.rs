//! Selects the backend server that remembers an idempotency key.

use crate::message::KeyDigest;
use hickorycross_config::{BackendServerId, Document, Route};

/// Returns the home of a key: the backend server of the route whose agent remembers the key.
///
/// The home is chosen by rendezvous hashing over the document alone, so all processes on the same
/// revision agree on it, regardless of which instances they consider alive. None when the document
/// names no backend server for the route.
#[must_use]
pub fn key_home<'a>(
    document: &'a Document,
    route: &'a Route,
    key: KeyDigest,
) -> Option<&'a BackendServerId> {
    crate::key_home(&document.backends_of(&route.target), key)
}
