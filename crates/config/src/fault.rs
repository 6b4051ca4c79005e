//! A fault found in a document.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One fault: where, what stands there and what would be allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// JSON path, such as `teams[2].tier`; `$` is the whole document.
    pub path: String,
    /// The value found, shortened.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed is {}", self.path, self.value, self.allowed)
    }
}
