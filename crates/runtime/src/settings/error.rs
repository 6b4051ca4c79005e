//! Faults of settings, and the errors that report them.

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use std::fmt;

/// Maximum length of a value in a message, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// A fault in the value of one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `link_security.mutual_tls.key_file`.
    pub field: String,
    /// The value or a description of what was found.
    pub found: String,
    /// A description of the allowed values.
    pub allowed: String,
}

impl Fault {
    /// Creates a fault; a long value is truncated.
    #[must_use]
    pub fn new(field: &str, found: &str, allowed: &str) -> Self {
        let found = found.chars().take(MAX_QUOTED_CHARS).collect();
        Self { field: field.to_owned(), found, allowed: allowed.to_owned() }
    }

    /// Returns the top-level field that contains the faulty one.
    pub(super) fn top_level_field(&self) -> &str {
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

/// The reason why settings cannot be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings file {path}: {cause}")]
    #[diagnostic(code(settings::unreadable), help("name an existing file with --settings"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The content of the file is not a JSON object.
    #[error("the settings file is not valid: {cause}")]
    #[diagnostic(code(settings::malformed), help("see docs/SETTINGS.md for every field"))]
    Malformed {
        /// The error of the JSON parser.
        cause: String,
        /// Name and content of the file.
        #[source_code]
        source_file: NamedSource<String>,
        /// Position of the error in the content.
        #[label("here")]
        place: SourceSpan,
    },
    /// Fields are missing, unknown, repeated or of the wrong type, or their values are not allowed.
    #[error("the settings cannot be used:\n{}", lines(faults))]
    #[diagnostic(code(settings::faults), help("see docs/SETTINGS.md for every field"))]
    Faults {
        /// All faults that were found.
        faults: Vec<Fault>,
        /// Name and content of the file.
        #[source_code]
        source_file: NamedSource<String>,
        /// Positions of the faulty fields that are in the file.
        #[label(collection)]
        places: Vec<LabeledSpan>,
    },
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
