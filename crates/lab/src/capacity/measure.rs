//! Runs every series.

use super::agent::{agent_memory, agent_series};
use super::bytes::{FrameSize, frame_sizes};
use super::config::{config_memory, config_series};
use super::design::DesignSize;
use super::entry::{entry_memory, entry_series};
use super::fit::Series;
use super::group::{group_series, map_bytes};
use super::limits::limits_series;
use serde::Serialize;

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effort {
    /// Repeats of each point.
    pub trials: u32,
    /// The size that the fits are evaluated at.
    pub design: DesignSize,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// The design size.
    pub design: DesignSize,
    /// Programs that wanted a processor over the last minute, before and after the run.
    pub load_average: [f64; 2],
    /// Processors of the machine.
    pub processors: usize,
    /// The series.
    pub series: Vec<Series>,
    /// Lengths of messages.
    pub frames: Vec<FrameSize>,
}

/// Measures everything; takes a few minutes.
#[must_use]
pub fn measure(effort: Effort) -> Measurement {
    let before = load_average();
    // Memory goes first: what later series free would be used again and hide growth.
    let mut series = config_memory(effort);
    series.extend(agent_memory(effort));
    series.extend(entry_memory(effort));
    series.extend(entry_series(effort));
    series.extend(agent_series(effort));
    series.extend(config_series(effort));
    series.extend(limits_series(effort));
    series.extend(group_series(effort));
    let mut frames = frame_sizes(effort);
    frames.push(FrameSize { frame: "whole map of 31 ranks", bytes: map_bytes(31) });
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    let design = effort.design;
    Measurement { design, load_average: [before, load_average()], processors, series, frames }
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|first| first.parse().ok()).unwrap_or(f64::NAN)
}
