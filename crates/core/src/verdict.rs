//! The verdict on whether a request was executed.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is known about the execution of a request that ended without a complete response.
///
/// Verdicts are ordered by how much may have been executed; several attempts of a request together
/// have the greatest of their verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server has started the request, and none will.
    NotRun,
    /// A backend server may have started the request; its outcome is unknown.
    MayHaveRun,
    /// A backend server has executed the request, wholly or in part.
    Ran,
}

impl Verdict {
    /// Returns the value of the verdict header in responses to callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Whether a request with this verdict may be attempted again.
    #[must_use]
    pub const fn permits_retry(self, idempotent: bool) -> bool {
        idempotent || matches!(self, Self::NotRun)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
