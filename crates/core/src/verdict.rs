//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is known about the execution of a request that ended without a whole answer.
///
/// The order is by how much may have happened: combining the verdicts of several attempts takes
/// the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No backend server has started it and none will.
    NotRun,
    /// A backend server may have started it; its outcome is unknown.
    MayHaveRun,
    /// A backend server has run it, wholly or in part.
    Ran,
}

impl Verdict {
    /// The text carried in the verdict header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Whether another attempt is permitted.
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
