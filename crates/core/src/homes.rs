//! Comparison of the homes that two documents give to idempotency keys.

use hickorycross_config::{Document, Target};

/// Returns whether every key has the same home under both documents.
pub(crate) fn have_same_homes(before: &Document, after: &Document) -> bool {
    routes_match_same_requests(before, after)
        && before
            .routes
            .iter()
            .zip(&after.routes)
            .all(|(old, new)| before.backends_of(&old.target) == after.backends_of(&new.target))
}

/// Returns whether every request matches the same route under both documents.
pub(crate) fn routes_match_same_requests(before: &Document, after: &Document) -> bool {
    before.routes.len() == after.routes.len()
        && before.routes.iter().zip(&after.routes).all(|(old, new)| {
            old.id == new.id && targets_match_same_requests(before, &old.target, after, &new.target)
        })
}

fn targets_match_same_requests(
    before: &Document,
    old: &Target,
    after: &Document,
    new: &Target,
) -> bool {
    match (old, new) {
        (Target::Model { .. }, Target::Model { .. }) => {
            before.models_of(old) == after.models_of(new)
        }
        (Target::Service { path_prefix: old, .. }, Target::Service { path_prefix: new, .. }) => {
            old == new
        }
        _ => false,
    }
}
