//! What is wrong with settings.

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use std::fmt;

/// Longest value that a message quotes, in characters.
const QUOTED_CHARS: usize = 80;

/// One fault of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `link_security.mutual_tls.key_file`.
    pub field: String,
    /// What stands there.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl Fault {
    /// Makes a fault; a long value is cut.
    #[must_use]
    pub fn new(field: &str, found: &str, allowed: &str) -> Self {
        let found = found.chars().take(QUOTED_CHARS).collect();
        Self { field: field.to_owned(), found, allowed: allowed.to_owned() }
    }

    pub(super) fn first_name(&self) -> &str {
        self.field.split('.').next().unwrap_or(&self.field)
    }

    pub(super) fn allowed_text(&self) -> String {
        format!("allowed is {}", self.allowed)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed is {}", self.field, self.found, self.allowed)
    }
}

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// It cannot be read.
    #[error("cannot read the settings file {path}: {cause}")]
    #[diagnostic(code(settings::unreadable), help("name an existing file with --settings"))]
    Unreadable {
        /// Its path.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// It is not a JSON object.
    #[error("the settings file is not valid: {cause}")]
    #[diagnostic(code(settings::malformed), help("see docs/SETTINGS.md for every field"))]
    Malformed {
        /// Why.
        cause: String,
        /// The file.
        #[source_code]
        source_file: NamedSource<String>,
        /// Where in it.
        #[label("here")]
        place: SourceSpan,
    },
    /// Fields are missing, unknown, of another type, or do not fit.
    #[error("the settings cannot be used:\n{}", lines(faults))]
    #[diagnostic(code(settings::faults), help("see docs/SETTINGS.md for every field"))]
    Faults {
        /// Every fault.
        faults: Vec<Fault>,
        /// The file.
        #[source_code]
        source_file: NamedSource<String>,
        /// Where in it the faults stand, as far as they stand in the file.
        #[label(collection)]
        places: Vec<LabeledSpan>,
    },
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
