//! Results as files.

use super::fit::Series;
use super::measure::Measurement;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// Writes the results into a directory: all of it as JSON, the points as CSV.
///
/// # Errors
///
/// When the directory or a file cannot be written.
pub fn write(measurement: &Measurement, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let json = serde_json::to_vec_pretty(measurement)?;
    std::fs::write(directory.join("cores.json"), json)?;
    write_csv(&measurement.series, &directory.join("cores.csv"))
}

/// Writes points as CSV, one line each.
///
/// # Errors
///
/// When the file cannot be written.
pub fn write_csv(series: &[Series], file: &Path) -> io::Result<()> {
    let mut csv = "role,measured,varied,x,trial,y\n".to_owned();
    for one in series {
        let name = one.name;
        for sample in &one.samples {
            let _ = writeln!(
                csv,
                "{},{},{},{},{},{:.3}",
                name.role, name.measured, name.varied, sample.x, sample.trial, sample.y
            );
        }
    }
    std::fs::write(file, csv)
}
