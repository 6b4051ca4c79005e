//! Logs: one line of key=value pairs for each event, on standard error.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

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
    let layout = LogfmtLayout::default().timezone(jiff::tz::TimeZone::UTC);
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(filter.build()).append(Stderr::default().with_layout(layout))
        })
        .try_apply()
        .map_err(|error| LogsError(error.to_string()))
}

/// Logs could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("logs cannot be set up: {0}")]
pub struct LogsError(String);
