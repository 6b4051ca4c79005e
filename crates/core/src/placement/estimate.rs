//! Per-expert loads, smoothed per layer from lagging reports.
//!
//! Each layer keeps a running mean over up to [`WINDOW_REPORTS`] reports and a short one beside it.
//! When the two differ by more than noise explains, demand has changed and the window restarts
//! with the newest report. Slow drift is followed by the window itself.

use crate::placement::expert_map::LayerPlacement;
use crate::placement::noise::LayerNoise;
use crate::placement::report::{LoadReport, ReportError};
use crate::placement::shape::GroupShape;
use crate::time::{Now, UnixMs};

/// Reports over which a load is averaged when demand is steady.
const WINDOW_REPORTS: u32 = 60;
/// Reports over which the short mean runs.
const SHORT_REPORTS: u32 = 3;
/// Mean square of the normalised difference of the two means above which demand has changed. It is
/// 1 on noise alone.
const CHANGE_RATIO: f64 = 3.0;
/// Age of the newest report above which no decision is made.
///
/// Without this bound a coordinator that was cut off from its ranks would wake up, judge demand by
/// what it last knew and move experts away from where they are needed. One would notice a change
/// right after a gap in the reports, undone soon after.
const MAX_REPORT_AGE_MS: u64 = 30_000;

/// Smoothed loads of a group with their noise.
#[derive(Clone, Debug)]
pub struct LoadEstimator {
    shape: GroupShape,
    layers: Vec<LayerEstimate>,
    covered_step: Option<u64>,
    newest_at: UnixMs,
    changed_at: UnixMs,
    steps_per_s: f64,
}

/// Smoothed loads of one layer, in tokens a step.
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
    /// An estimator that has seen no report.
    #[must_use]
    pub fn new(shape: GroupShape) -> Self {
        let experts = usize::from(shape.experts_per_layer);
        Self {
            shape,
            layers: (0..shape.layers).map(|_| LayerEstimate::new(experts)).collect(),
            covered_step: None,
            newest_at: UnixMs::default(),
            changed_at: UnixMs::default(),
            steps_per_s: 0.0,
        }
    }

    /// Takes a report.
    ///
    /// # Errors
    ///
    /// [`ReportError`] when it is malformed, a repetition or older than one used before; the
    /// estimates are then unchanged.
    pub fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError> {
        report.check(&self.shape)?;
        // A repeated or overtaken report would count its steps twice and make the estimates look
        // surer than they are; the step numbers expose it.
        if let Some(covered) = self.covered_step.filter(|covered| report.first_step <= *covered) {
            return Err(ReportError::Covered { last_step: report.last_step, covered });
        }
        self.observe_rate(report);
        for (layer, loads) in self.layers.iter_mut().zip(&report.layer_loads_tokens) {
            let has_changed = layer.observe(loads, report.steps() as f64);
            if has_changed {
                self.changed_at = report.ended_at;
            }
        }
        self.covered_step = Some(report.last_step);
        self.newest_at = report.ended_at;
        Ok(())
    }

    fn observe_rate(&mut self, report: &LoadReport) {
        let Some(covered) = self.covered_step else { return };
        let elapsed_ms = report.ended_at.since(self.newest_at);
        if elapsed_ms > 0 {
            self.steps_per_s = (report.last_step - covered) as f64 * 1e3 / elapsed_ms as f64;
        }
    }

    /// Whether the estimates are fresh and long enough to decide on.
    #[must_use]
    pub fn is_ready(&self, now: Now) -> bool {
        let fresh = !self.newest_at.after(MAX_REPORT_AGE_MS).is_past(now);
        fresh && self.steps_per_s > 0.0 && self.layers.iter().all(|layer| layer.noise.is_settled())
    }

    /// Steps a second between the last two reports; 0 before the second.
    #[must_use]
    pub fn steps_per_s(&self) -> f64 {
        self.steps_per_s
    }

    /// When demand last changed suddenly in some layer.
    pub(crate) fn changed_at(&self) -> UnixMs {
        self.changed_at
    }

    /// The last step that a used report covers.
    #[must_use]
    pub fn covered_step(&self) -> Option<u64> {
        self.covered_step
    }

    /// Smoothed loads of a layer's experts, in tokens a step.
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

    /// Takes a report's loads; returns whether demand has changed suddenly.
    fn observe(&mut self, loads_tokens: &[f32], steps: f64) -> bool {
        self.sample.clear();
        self.sample.extend(loads_tokens.iter().map(|tokens| f64::from(*tokens) / steps));
        self.noise.observe(&self.sample, steps);
        self.steps_per_report = steps;
        self.reports = (self.reports + 1).min(WINDOW_REPORTS);
        smooth(&mut self.mean, &self.sample, self.reports);
        smooth(&mut self.short, &self.sample, self.reports.min(SHORT_REPORTS));
        let has_changed = self.has_changed();
        if has_changed {
            self.restart();
        }
        has_changed
    }

    /// Forgets all but the newest report. The short mean still holds reports from before the change,
    /// and a window that began with them would be wrong until it has outgrown them.
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

    /// Square of the standard error of each rank's load, in square tokens a step.
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

fn smooth(mean: &mut [f64], sample: &[f64], reports: u32) {
    let gain = 1.0 / f64::from(reports);
    for (mean, sample) in mean.iter_mut().zip(sample) {
        *mean += gain * (sample - *mean);
    }
}
