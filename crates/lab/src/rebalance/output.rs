//! Results as files.

use crate::rebalance::summary::{PolicySummary, Spread};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Write};
use std::path::Path;

/// One experiment's results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The experiment's name.
    pub experiment: String,
    /// Weight of skew.
    pub skew_weight: f64,
    /// Weight of rebalancing cost.
    pub rebalance_cost_weight: f64,
    /// Seeds of the traces.
    pub seeds: Vec<u64>,
    /// One line for each policy.
    pub policies: Vec<PolicySummary>,
}

/// Writes results as JSON.
///
/// # Errors
///
/// Any error of the file.
pub fn write_json(path: &Path, results: &[ExperimentResult]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    serde_json::to_writer_pretty(&mut file, results)?;
    writeln!(file)?;
    file.flush()
}

/// Reads results that [`write_json`] wrote.
///
/// # Errors
///
/// Any error of the file or its format.
pub fn read_json(path: &Path) -> io::Result<Vec<ExperimentResult>> {
    Ok(serde_json::from_reader(BufReader::new(File::open(path)?))?)
}

/// Writes results as CSV, one line for each experiment and policy.
///
/// # Errors
///
/// Any error of the file.
pub fn write_csv(path: &Path, results: &[ExperimentResult]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    let spreads = COLUMNS.iter().map(|column| format!("{0}_mean,{0}_min,{0}_max", column.name));
    let header: Vec<String> = spreads.collect();
    writeln!(file, "experiment,seeds,policy,{}", header.join(","))?;
    for result in results {
        for policy in &result.policies {
            let cells: Vec<String> =
                COLUMNS.iter().map(|column| cells(&(column.value)(policy))).collect();
            let (name, seeds) = (&result.experiment, result.seeds.len());
            writeln!(file, "{name},{seeds},{},{}", policy.policy.as_str(), cells.join(","))?;
        }
    }
    file.flush()
}

/// A column group of the CSV file.
struct Column {
    name: &'static str,
    value: fn(&PolicySummary) -> Spread,
}

const COLUMNS: [Column; 10] = [
    Column { name: "skew_mean_us", value: |policy| policy.skew_mean_us },
    Column { name: "skew_p50_us", value: |policy| policy.skew_p50_us },
    Column { name: "skew_p99_us", value: |policy| policy.skew_p99_us },
    Column { name: "skew_mean_ratio", value: |policy| policy.skew_mean_ratio },
    Column { name: "skew_p99_ratio", value: |policy| policy.skew_p99_ratio },
    Column { name: "skew_of_bound", value: |policy| policy.skew_of_bound },
    Column { name: "steps_of_bound", value: |policy| policy.steps_of_bound },
    Column { name: "moved_bytes", value: |policy| policy.moved_bytes },
    Column { name: "changes", value: |policy| policy.changes },
    Column { name: "stall_steps", value: |policy| policy.stall_steps },
];

fn cells(spread: &Spread) -> String {
    format!("{:.4},{:.4},{:.4}", spread.mean, spread.min, spread.max)
}
