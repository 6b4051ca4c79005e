//! Looking up what a caller wants in the document.

use crate::entry::border::{Arrival, RefusalCode, RequestTarget};
use crate::entry::constants::PREFIX_BYTES;
use hickorycross_config::{Document, Route, Target};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Finds the route of a request.
///
/// # Errors
///
/// The code of the refusal when no route matches.
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

/// The service route with the longest prefix of the path.
fn service_route<'a>(document: &'a Document, path: &str) -> Option<&'a Route> {
    let matching = document.routes.iter().filter_map(|route| match &route.target {
        Target::Service { path_prefix, .. } if path.starts_with(path_prefix.as_str()) => {
            Some((path_prefix.len(), route))
        }
        _ => None,
    });
    matching.max_by_key(|(length, _)| *length).map(|(_, route)| route)
}

/// Digest of what a request asks for: method, path and body.
pub(super) fn content_digest(arrival: &Arrival) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [arrival.head.method.as_bytes(), arrival.head.path.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&arrival.body);
    hasher.digest()
}

/// Digest of the beginning of a prompt, for affinity with a prefix cache. It is a hint.
pub(super) fn prefix_digest(arrival: &Arrival) -> Option<u64> {
    match arrival.target {
        RequestTarget::Model(_) => {
            let length = arrival.body.len().min(PREFIX_BYTES);
            Some(xxh3_64(&arrival.body[..length]))
        }
        RequestTarget::Path(_) => None,
    }
}
