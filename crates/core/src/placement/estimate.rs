//! Estimates per-expert loads by smoothing reports that arrive with a delay.
//!
//! Each layer keeps a running mean over up to [`WINDOW_REPORTS`] reports and a short mean over
//! [`SHORT_REPORTS`]. When the two differ by more than noise explains, demand has changed suddenly
//! and the window restarts with the newest report. The window itself follows slow drift.

use crate::placement::expert_map::LayerPlacement;
use crate::placement::noise::LayerNoise;
use crate::placement::report::{LoadReport, ReportError};
use crate::placement::shape::GroupShape;
use crate::time::{Now, UnixMs};

/// Maximum number of reports over which a load is averaged while demand is steady.
const WINDOW_REPORTS: u32 = 60;
/// Number of reports over which the short mean runs.
const SHORT_REPORTS: u32 = 3;
/// Mean squared difference of the two means, normalised by its variance, above which demand counts
/// as changed. Noise alone gives a value of 1.
const CHANGE_RATIO: f64 = 3.0;
/// Maximum age of the newest report for which the estimates are used.
///
/// Without this limit, a coordinator that was cut off from its ranks would decide by outdated
/// demand right after the gap, move experts away from where they are needed, and undo the change
/// soon after.
const MAX_REPORT_AGE_MS: u64 = 30_000;

/// Estimates the loads of a group's experts and their noise from load reports.
#[derive(Clone, Debug)]
pub struct LoadEstimator {
    shape: GroupShape,
    layers: Vec<LayerEstimate>,
    last_covered_step: Option<u64>,
    newest_report_at: UnixMs,
    demand_changed_at: UnixMs,
    steps_per_s: f64,
}

/// Smoothed loads of one layer, in tokens per step, with their noise.
#[derive(Clone, Debug)]
pub(crate) struct LayerEstimate {
    mean: Vec<f64>,
    short: Vec<f64>,
    noise: LayerNoise,
    reports: u32,
    steps_per_report: f64,
    sample: Vec<f64>,
}

impl LoadEstimator {
    /// Creates an estimator without reports.
    #[must_use]
    pub fn new(shape: GroupShape) -> Self {
        let experts = usize::from(shape.experts_per_layer);
        Self {
            shape,
            layers: (0..shape.layers).map(|_| LayerEstimate::new(experts)).collect(),
            last_covered_step: None,
            newest_report_at: UnixMs::default(),
            demand_changed_at: UnixMs::default(),
            steps_per_s: 0.0,
        }
    }

    /// Updates the estimates with a report.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`] when the report is malformed or covers steps that are already
    /// covered; the estimates are then unchanged.
    pub fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError> {
        report.check(&self.shape)?;
        // Counting the steps of a duplicate or reordered report twice would make the estimates look
        // more certain than they are.
        if let Some(covered) =
            self.last_covered_step.filter(|covered| report.first_step <= *covered)
        {
            return Err(ReportError::Covered { last_step: report.last_step, covered });
        }
        self.update_step_rate(report);
        for (layer, loads) in self.layers.iter_mut().zip(&report.layer_loads_tokens) {
            let has_changed = layer.observe(loads, report.steps() as f64);
            if has_changed {
                self.demand_changed_at = report.ended_at;
            }
        }
        self.last_covered_step = Some(report.last_step);
        self.newest_report_at = report.ended_at;
        Ok(())
    }

    fn update_step_rate(&mut self, report: &LoadReport) {
        let Some(covered) = self.last_covered_step else { return };
        let elapsed_ms = report.ended_at.since(self.newest_report_at);
        if elapsed_ms > 0 {
            self.steps_per_s = (report.last_step - covered) as f64 * 1e3 / elapsed_ms as f64;
        }
    }

    /// Returns whether the newest report is recent and there are enough reports to decide on.
    #[must_use]
    pub fn is_ready(&self, now: Now) -> bool {
        let fresh = !self.newest_report_at.after(MAX_REPORT_AGE_MS).is_past(now);
        fresh && self.steps_per_s > 0.0 && self.layers.iter().all(|layer| layer.noise.is_settled())
    }

    /// Returns the steps per second between the last two reports, or 0 before the second report.
    #[must_use]
    pub fn steps_per_s(&self) -> f64 {
        self.steps_per_s
    }

    /// Returns when demand last changed suddenly in any layer.
    pub(crate) fn demand_changed_at(&self) -> UnixMs {
        self.demand_changed_at
    }

    /// Returns the last step covered by an accepted report, or `None` before the first.
    #[must_use]
    pub fn last_covered_step(&self) -> Option<u64> {
        self.last_covered_step
    }

    /// Returns the smoothed loads of a layer's experts, in tokens per step.
    #[must_use]
    pub fn loads(&self, layer: usize) -> &[f64] {
        &self.layers[layer].mean
    }

    pub(crate) fn layer(&self, layer: usize) -> &LayerEstimate {
        &self.layers[layer]
    }

    pub(crate) fn shape(&self) -> &GroupShape {
        &self.shape
    }
}

impl LayerEstimate {
    fn new(experts: usize) -> Self {
        Self {
            mean: vec![0.0; experts],
            short: vec![0.0; experts],
            noise: LayerNoise::new(experts),
            reports: 0,
            steps_per_report: 1.0,
            sample: Vec::with_capacity(experts),
        }
    }

    /// Adds a report's loads and returns whether demand has changed suddenly.
    fn observe(&mut self, loads_tokens: &[f32], steps: f64) -> bool {
        self.sample.clear();
        self.sample.extend(loads_tokens.iter().map(|tokens| f64::from(*tokens) / steps));
        self.noise.observe(&self.sample, steps);
        self.steps_per_report = steps;
        self.reports = (self.reports + 1).min(WINDOW_REPORTS);
        update_mean(&mut self.mean, &self.sample, self.reports);
        update_mean(&mut self.short, &self.sample, self.reports.min(SHORT_REPORTS));
        let has_changed = self.has_changed();
        if has_changed {
            self.restart();
        }
        has_changed
    }

    /// Restarts both means with the newest report only.
    ///
    /// The short mean still contains reports from before the change, so a window that started from
    /// it would be biased until newer reports outweigh them.
    fn restart(&mut self) {
        self.mean.copy_from_slice(&self.sample);
        self.short.copy_from_slice(&self.sample);
        self.reports = 1;
    }

    fn has_changed(&self) -> bool {
        if self.reports <= SHORT_REPORTS || !self.noise.is_settled() {
            return false;
        }
        let scale = self.noise.correlated_reports() / f64::from(SHORT_REPORTS);
        let squares = self.mean.iter().zip(&self.short).enumerate().map(|(expert, pair)| {
            let difference = pair.0 - pair.1;
            difference * difference / self.report_variance(expert)
        });
        squares.sum::<f64>() > CHANGE_RATIO * scale * self.mean.len() as f64
    }

    fn report_variance(&self, expert: usize) -> f64 {
        self.noise.report_variance(expert, self.mean[expert], self.steps_per_report)
    }

    pub(crate) fn loads(&self) -> &[f64] {
        &self.mean
    }

    /// Returns the squared standard error of each rank's load, in squared tokens per step.
    pub(crate) fn rank_error_squares(&self, placed: &LayerPlacement) -> Vec<f64> {
        let replicas = placed.replicas(self.mean.len());
        let scale = self.noise.correlated_reports() / f64::from(self.reports.max(1));
        let square = |expert: &u16| {
            let expert = usize::from(*expert);
            let split = f64::from(replicas[expert]);
            self.report_variance(expert) / (split * split)
        };
        let sum = |experts: &Vec<u16>| scale * experts.iter().map(square).sum::<f64>();
        placed.experts_of_rank.iter().map(sum).collect()
    }
}

fn update_mean(mean: &mut [f64], sample: &[f64], reports: u32) {
    let gain = 1.0 / f64::from(reports);
    for (mean, sample) in mean.iter_mut().zip(sample) {
        *mean += gain * (sample - *mean);
    }
}
