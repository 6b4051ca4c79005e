//! Validation of documents.
//!
//! [`check_fields`] checks each field on its own against the JSON schema; each [`Rule`] checks a
//! constraint between several fields.

mod describe_schema;
mod describe_value;
mod duplicates;
mod fields;
mod floors;
mod groups;
mod references;
mod routes;

use crate::document::{Document, SCHEMA_VERSION};
use crate::fault::Fault;
use crate::json_path::JsonPath;
use crate::parse::newer_version_fault;

pub(crate) use fields::check_fields;

/// A constraint between several fields of a document.
pub(crate) trait Rule: Sync {
    /// Adds a fault for each violation of the rule.
    fn check(&self, document: &Document, faults: &mut Vec<Fault>);
}

const RULES: [&dyn Rule; 5] = [
    &duplicates::Duplicates,
    &references::References,
    &floors::Floors,
    &groups::Groups,
    &routes::Routes,
];

/// Returns every fault of a document; it may be published if the list is empty.
///
/// For a document of a newer schema version only the version is reported, because this release does
/// not know its fields.
#[must_use]
pub fn validate(document: &Document) -> Vec<Fault> {
    if document.schema_version > SCHEMA_VERSION {
        return vec![newer_version_fault(document.schema_version.into())];
    }
    let mut faults = Vec::new();
    match serde_json::to_value(document) {
        Ok(value) => check_fields(&value, &mut faults),
        Err(error) => faults.push(Fault::new(&JsonPath::Root, "not JSON", error.to_string())),
    }
    check_rules(document, &mut faults);
    faults
}

/// Adds the faults of all rules between fields.
pub(crate) fn check_rules(document: &Document, faults: &mut Vec<Fault>) {
    for rule in RULES {
        rule.check(document, faults);
    }
}
