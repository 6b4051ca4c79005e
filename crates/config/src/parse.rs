//! From published bytes to a checked document.

use crate::document::Document;
use crate::fault::Fault;
use crate::validate::validate;

/// Parses and validates a document.
///
/// # Errors
///
/// Every fault found, at least one.
pub fn parse(bytes: &[u8]) -> Result<Document, Vec<Fault>> {
    let document: Document = serde_json::from_slice(bytes).map_err(|error| {
        vec![Fault {
            path: "$".to_owned(),
            value: format!("line {} column {}", error.line(), error.column()),
            allowed: error.to_string(),
        }]
    })?;
    let faults = validate(&document);
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}
