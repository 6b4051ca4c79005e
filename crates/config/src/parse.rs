//! From published bytes to a checked document.

use crate::document::{Document, SCHEMA_VERSION};
use crate::fault::Fault;
use crate::limits::MAX_DOCUMENT_BYTES;
use crate::path::Path;
use crate::strict_json;
use crate::validate::{check_fields, check_rules};
use serde_json::Value;

/// Parses and validates a document.
///
/// Faults of single fields (unknown, missing, of another type, out of range) are reported all at
/// once. Faults between fields join them wherever every field has its type; otherwise they show
/// once the types are right. A document of a newer schema version is reported as such, alone:
/// this release cannot judge its fields.
///
/// # Errors
///
/// Every fault found, at least one.
pub fn parse(bytes: &[u8]) -> Result<Document, Vec<Fault>> {
    check_size(bytes)?;
    let mut faults = Vec::new();
    let value = strict_json::read(bytes, &mut faults).map_err(|error| vec![not_json(&error)])?;
    check_version(&value)?;
    check_fields(&value, &mut faults);
    let document = match serde_json::from_value::<Document>(value) {
        Ok(document) => document,
        Err(error) => return Err(with_type_error(faults, &error)),
    };
    check_rules(&document, &mut faults);
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

fn check_size(bytes: &[u8]) -> Result<(), Vec<Fault>> {
    if bytes.len() <= MAX_DOCUMENT_BYTES {
        return Ok(());
    }
    let found = format!("{} bytes", bytes.len());
    let allowed = format!("at most {MAX_DOCUMENT_BYTES} bytes");
    Err(vec![Fault::new(&Path::Root, found, allowed)])
}

fn not_json(error: &serde_json::Error) -> Fault {
    let found = format!("line {} column {}", error.line(), error.column());
    Fault::new(&Path::Root, found, format!("JSON; the parser reports: {error}"))
}

fn check_version(value: &Value) -> Result<(), Vec<Fault>> {
    match value.get("schema_version").and_then(Value::as_u64) {
        Some(version) if version > u64::from(SCHEMA_VERSION) => Err(vec![newer(version)]),
        _ => Ok(()),
    }
}

/// The fault of a document that a newer release wrote.
pub(crate) fn newer(version: u64) -> Fault {
    let allowed = format!("1 to {SCHEMA_VERSION}; a newer release wrote this document");
    Fault::new(&Path::Root.member("schema_version"), version.to_string(), allowed)
}

/// Keeps a document out even where the field checks are more lenient than its types.
fn with_type_error(mut faults: Vec<Fault>, error: &serde_json::Error) -> Vec<Fault> {
    if faults.is_empty() {
        faults.push(Fault::new(&Path::Root, "a value of another type", error.to_string()));
    }
    faults
}
