//! Which backend server remembers an idempotency key.

use crate::message::KeyDigest;
use hickorycross_config::{BackendServerId, Document, Route};

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
    crate::key_home(&document.backends_of(&route.target), key)
}
