//! A fault found in a document.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One fault: where, what stands there and what would be allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: found {value}, allowed is {allowed}")]
pub struct Fault {
    /// JSON path, such as `teams[2].tier`; `$` is the whole document.
    pub path: String,
    /// The value found, shortened.
    pub value: String,
    /// What is allowed there.
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
