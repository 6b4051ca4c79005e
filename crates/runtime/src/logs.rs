//! Logging of events on standard error, each as one line of key=value pairs.

use logforth::append::Stderr;
use logforth::diagnostic::Diagnostic;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use std::fmt::Write;

/// Default filter that silences libraries; the filter of the settings can override it.
const LIBRARY_FILTER: &str = "rocket=off,rocket_http=off,quinn=error,hyper=error";

/// Installs the logger of the process, which writes to standard error.
///
/// `filter` has the form of `RUST_LOG`: a level, or `target=level` pairs with commas between them.
///
/// # Errors
///
/// If a logger has already been installed, or the filter is not valid.
pub fn install(filter: &str) -> Result<(), LogsError> {
    let filter = RustLogFilterBuilder::try_from_spec(format!("{LIBRARY_FILTER},{filter}"))
        .map_err(|error| LogsError(error.to_string()))?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(filter.build())
                .append(Stderr::default().with_layout(SingleLineLayout::new()))
        })
        .try_apply()
        .map_err(|error| LogsError(error.to_string()))
}

/// Whether a filter is valid.
#[must_use]
pub fn is_filter(filter: &str) -> bool {
    RustLogFilterBuilder::try_from_spec(filter).is_ok()
}

/// A logfmt layout that writes every event as exactly one line.
///
/// The layout of the library quotes only values that contain a space, a quote or an equals sign. A
/// caller could send a value with a line feed and none of these, and so forge a log line that looks
/// like one of the process. This layout escapes every control character and line separator.
#[derive(Debug)]
pub struct SingleLineLayout(LogfmtLayout);

impl SingleLineLayout {
    /// Creates the layout, with timestamps in UTC.
    #[must_use]
    pub fn new() -> Self {
        Self(LogfmtLayout::default().timezone(jiff::tz::TimeZone::UTC))
    }
}

impl Default for SingleLineLayout {
    fn default() -> Self {
        Self::new()
    }
}

impl Layout for SingleLineLayout {
    fn format(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, logforth::Error> {
        let line = self.0.format(record, diagnostics)?;
        Ok(escape(&String::from_utf8_lossy(&line)).into_bytes())
    }
}

fn escape(line: &str) -> String {
    let mut escaped = String::with_capacity(line.len());
    for character in line.chars() {
        if ends_line(character) {
            let _ = write!(escaped, "{}", character.escape_default());
        } else {
            escaped.push(character);
        }
    }
    escaped
}

fn ends_line(character: char) -> bool {
    character.is_control() || matches!(character, '\u{2028}' | '\u{2029}')
}

/// The error when the logger cannot be set up.
#[derive(Debug, thiserror::Error)]
#[error("logs cannot be set up: {0}")]
pub struct LogsError(String);
