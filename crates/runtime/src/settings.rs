//! Settings files of the programs.

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use std::path::Path;

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
    /// It is not JSON of the expected shape.
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
    /// Its values do not fit together.
    #[error("the settings cannot be used:\n{}", faults.join("\n"))]
    #[diagnostic(code(settings::faults), help("see docs/SETTINGS.md for every field"))]
    Faults {
        /// Each fault in a line: field, value, what is allowed.
        faults: Vec<String>,
    },
}

/// Reads a settings file.
///
/// # Errors
///
/// When it cannot be read, or is not of the expected shape; the error points into the file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable { path: path.display().to_string(), cause })?;
    serde_json::from_str(&text).map_err(|error| malformed(path, text, &error))
}

fn malformed(path: &Path, text: String, error: &serde_json::Error) -> SettingsError {
    let place = offset_of(&text, error.line(), error.column());
    SettingsError::Malformed {
        cause: error.to_string(),
        source_file: NamedSource::new(path.display().to_string(), text),
        place: SourceSpan::new(place.into(), 1),
    }
}

fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let offset = before + column.saturating_sub(1);
    offset.min(text.len().saturating_sub(1))
}
