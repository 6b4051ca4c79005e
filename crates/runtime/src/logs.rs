//! Logs: one line of key=value pairs for each event, on standard error.

use logforth::append::Stderr;
use logforth::diagnostic::Diagnostic;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use std::fmt::Write;

/// Targets of libraries that speak of their own business, unless the filter names them.
const QUIET: &str = "rocket=off,rocket_http=off,quinn=error,hyper=error";

/// Sends every log line to standard error.
///
/// `filter` has the form of `RUST_LOG`: a level, or `target=level` pairs with commas between them.
///
/// # Errors
///
/// When logs have been set up before, or the filter cannot be read.
pub fn install(filter: &str) -> Result<(), LogsError> {
    let filter = RustLogFilterBuilder::try_from_spec(format!("{QUIET},{filter}"))
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

/// Whether a filter can be read.
#[must_use]
pub fn is_filter(filter: &str) -> bool {
    RustLogFilterBuilder::try_from_spec(filter).is_ok()
}

/// Writes every event as exactly one line.
///
/// The layout of the library quotes only values with a space, a quote or an equals sign. A caller
/// who puts a line feed into a value without any of these would begin a line of its own, and an
/// operator would read what the caller wrote as the process's word. Here every control character
/// and line separator becomes an escape.
#[derive(Debug)]
pub struct SingleLineLayout(LogfmtLayout);

impl SingleLineLayout {
    /// Makes the layout, with moments in UTC.
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

/// Logs could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("logs cannot be set up: {0}")]
pub struct LogsError(String);
