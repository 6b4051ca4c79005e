//! Route lookup, and the digests that identify the content of a request.

use crate::entry::constants::PREFIX_DIGEST_BYTES;
use crate::entry::interface::{Arrival, RefusalCode, RequestTarget};
use hickorycross_config::{Document, Route, Target};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Finds the route that serves a target.
///
/// # Errors
///
/// Returns the refusal code if no route matches.
pub(super) fn find_route<'a>(
    document: &'a Document,
    target: &RequestTarget,
) -> Result<&'a Route, RefusalCode> {
    match target {
        RequestTarget::Model(model) => {
            model_route(document, model).ok_or(RefusalCode::UnknownModel)
        }
        RequestTarget::Path(path) => service_route(document, path).ok_or(RefusalCode::UnknownPath),
    }
}

fn model_route<'a>(document: &'a Document, model: &str) -> Option<&'a Route> {
    document
        .routes
        .iter()
        .find(|route| document.models_of(&route.target).iter().any(|one| one == model))
}

/// Returns the service route whose path prefix is the longest that matches.
fn service_route<'a>(document: &'a Document, path: &str) -> Option<&'a Route> {
    let matching = document.routes.iter().filter_map(|route| match &route.target {
        Target::Service { path_prefix, .. } if path.starts_with(path_prefix.as_str()) => {
            Some((path_prefix.len(), route))
        }
        _ => None,
    });
    matching.max_by_key(|(length, _)| *length).map(|(_, route)| route)
}

/// Returns a digest of method, path and body, by which reuse of an idempotency key for another
/// request is detected.
pub(super) fn content_digest(arrival: &Arrival) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [arrival.head.method.as_bytes(), arrival.head.path.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&arrival.body);
    hasher.digest()
}

/// Returns a digest of the start of a model request's body, which stands for the prefix of the
/// prompt. It is a routing hint for prefix cache affinity.
pub(super) fn prefix_digest(arrival: &Arrival) -> Option<u64> {
    match arrival.target {
        RequestTarget::Model(_) => {
            let length = arrival.body.len().min(PREFIX_DIGEST_BYTES);
            Some(xxh3_64(&arrival.body[..length]))
        }
        RequestTarget::Path(_) => None,
    }
}
