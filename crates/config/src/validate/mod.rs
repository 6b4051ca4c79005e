//! Checks that a document's fields are allowed and that its parts fit together.

mod allowed;
mod duplicates;
mod fields;
mod floors;
mod found;
mod groups;
mod references;
mod routes;

use crate::document::{Document, SCHEMA_VERSION};
use crate::fault::Fault;
use crate::parse::newer;
use crate::path::Path;

pub(crate) use fields::check_fields;

/// A rule between several fields of a document.
pub(crate) trait Rule: Sync {
    /// Adds a fault for each place where the document breaks the rule.
    fn check(&self, document: &Document, faults: &mut Vec<Fault>);
}

const RULES: [&dyn Rule; 5] = [
    &duplicates::Duplicates,
    &references::References,
    &floors::Floors,
    &groups::Groups,
    &routes::Routes,
];

/// Finds every fault of a document; an empty list means that it may be published.
///
/// A document of a newer schema version has that one fault: this release cannot judge its fields.
#[must_use]
pub fn validate(document: &Document) -> Vec<Fault> {
    if document.schema_version > SCHEMA_VERSION {
        return vec![newer(document.schema_version.into())];
    }
    let mut faults = Vec::new();
    match serde_json::to_value(document) {
        Ok(value) => check_fields(&value, &mut faults),
        Err(error) => faults.push(Fault::new(&Path::Root, "not JSON", error.to_string())),
    }
    check_rules(document, &mut faults);
    faults
}

/// Adds the faults between fields.
pub(crate) fn check_rules(document: &Document, faults: &mut Vec<Fault>) {
    for rule in RULES {
        rule.check(document, faults);
    }
}
