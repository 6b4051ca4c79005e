//! Checks that a document's parts fit together.

use crate::document::{Document, SCHEMA_VERSION};
use crate::fault::Fault;

/// Finds every fault of a document; an empty list means that it may be published.
#[must_use]
pub fn validate(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    if document.schema_version == 0 || document.schema_version > SCHEMA_VERSION {
        faults.push(Fault {
            path: "schema_version".to_owned(),
            value: document.schema_version.to_string(),
            allowed: format!("1 to {SCHEMA_VERSION}"),
        });
    }
    faults
}
