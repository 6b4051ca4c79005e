//! Parses published bytes into a validated document.

use crate::document::{Document, SCHEMA_VERSION};
use crate::fault::Fault;
use crate::json_path::JsonPath;
use crate::limits::MAX_DOCUMENT_BYTES;
use crate::strict_json;
use crate::validate::{check_fields, check_rules};
use serde_json::Value;

/// Parses and validates a document.
///
/// All faults of single fields (unknown, missing, of the wrong type, out of range) are reported
/// together. Faults between fields are reported with them if every field has the right type;
/// otherwise they are reported only after the types are corrected. For a document of a newer schema
/// version only the version is reported, because this release does not know its fields.
///
/// # Errors
///
/// Returns the faults found, at least one.
pub fn parse(bytes: &[u8]) -> Result<Document, Vec<Fault>> {
    check_size(bytes)?;
    let mut faults = Vec::new();
    let value = strict_json::parse_value(bytes, &mut faults)
        .map_err(|error| vec![json_syntax_fault(&error)])?;
    check_version(&value)?;
    check_fields(&value, &mut faults);
    let document = match serde_json::from_value::<Document>(value) {
        Ok(document) => document,
        Err(error) => return Err(faults_or_type_error(faults, &error)),
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
    Err(vec![Fault::new(&JsonPath::Root, found, allowed)])
}

fn json_syntax_fault(error: &serde_json::Error) -> Fault {
    let found = format!("line {} column {}", error.line(), error.column());
    Fault::new(&JsonPath::Root, found, format!("JSON; the parser reports: {error}"))
}

fn check_version(value: &Value) -> Result<(), Vec<Fault>> {
    match value.get("schema_version").and_then(Value::as_u64) {
        Some(version) if version > u64::from(SCHEMA_VERSION) => {
            Err(vec![newer_version_fault(version)])
        }
        _ => Ok(()),
    }
}

/// Returns the fault of a document whose schema version is newer than [`SCHEMA_VERSION`].
pub(crate) fn newer_version_fault(version: u64) -> Fault {
    let allowed = format!("1 to {SCHEMA_VERSION}; a newer release wrote this document");
    Fault::new(&JsonPath::Root.member("schema_version"), version.to_string(), allowed)
}

/// Returns the faults found so far, or the deserialisation error if there are none.
///
/// This rejects a document that passes the field checks but does not fit the Rust types.
fn faults_or_type_error(mut faults: Vec<Fault>, error: &serde_json::Error) -> Vec<Fault> {
    if faults.is_empty() {
        faults.push(Fault::new(&JsonPath::Root, "a value of another type", error.to_string()));
    }
    faults
}
