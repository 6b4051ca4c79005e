//! The fault type that parsing and validation report.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One fault in a document: its path, the value found there and the values allowed there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: found {value}, allowed is {allowed}")]
pub struct Fault {
    /// JSON path of the value, such as `teams[2].tier`; `$` is the whole document.
    pub path: String,
    /// Description of the value found; long texts are cut and secrets left out.
    pub value: String,
    /// Description of the values allowed there.
    pub allowed: String,
}

impl Fault {
    pub(crate) fn new(
        path: &dyn fmt::Display,
        value: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self { path: path.to_string(), value: value.into(), allowed: allowed.into() }
    }
}
