//! Results as files.

use super::measure::Measurement;
use std::io;
use std::path::Path;

/// Writes the results as JSON into a directory.
///
/// # Errors
///
/// When the directory or a file cannot be written.
pub fn write(measurement: &Measurement, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let json = serde_json::to_vec_pretty(measurement)?;
    std::fs::write(directory.join("policy.json"), json)
}
