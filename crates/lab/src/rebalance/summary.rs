//! Figures of runs and their spread over seeds.

use crate::rebalance::plan::PolicyKind;
use crate::rebalance::step_time::StepTime;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Histogram units in a ratio of 1.
const RATIO_UNITS: f64 = 10_000.0;
/// Significant digits of histograms.
const DIGITS: u8 = 3;
/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Step times of one run.
pub(crate) struct StepFigures {
    skew_us: Histogram<u64>,
    skew_ratio: Histogram<u64>,
    step_sum_us: f64,
    skew_sum_us: f64,
    ratio_sum: f64,
    steps: u64,
    recent_skew_us: f64,
    recent_steps: u64,
}

impl Default for StepFigures {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the digits are in range");
        Self {
            skew_us: histogram(),
            skew_ratio: histogram(),
            step_sum_us: 0.0,
            skew_sum_us: 0.0,
            ratio_sum: 0.0,
            steps: 0,
            recent_skew_us: 0.0,
            recent_steps: 0,
        }
    }
}

impl StepFigures {
    pub(crate) fn add(&mut self, step: &StepTime) {
        self.skew_us.saturating_record(step.skew_us() as u64);
        self.skew_ratio.saturating_record((step.skew_ratio() * RATIO_UNITS) as u64);
        self.step_sum_us += step.slowest_us;
        self.skew_sum_us += step.skew_us();
        self.ratio_sum += step.skew_ratio();
        self.steps += 1;
        self.recent_skew_us += step.skew_us();
        self.recent_steps += 1;
    }

    pub(crate) fn take_recent_skew_us(&mut self) -> f64 {
        let mean = self.recent_skew_us / self.recent_steps.max(1) as f64;
        self.recent_skew_us = 0.0;
        self.recent_steps = 0;
        mean
    }

    pub(crate) fn figures(&self, moved_bytes: u64, changes: u64, stall_steps: u64) -> RunFigures {
        let steps = self.steps.max(1) as f64;
        let ratio_at = |part: f64| self.skew_ratio.value_at_quantile(part) as f64 / RATIO_UNITS;
        RunFigures {
            skew_mean_us: self.skew_sum_us / steps,
            skew_p50_us: self.skew_us.value_at_quantile(0.5) as f64,
            skew_p99_us: self.skew_us.value_at_quantile(0.99) as f64,
            skew_mean_ratio: self.ratio_sum / steps,
            skew_p50_ratio: ratio_at(0.5),
            skew_p99_ratio: ratio_at(0.99),
            step_mean_us: self.step_sum_us / steps,
            moved_bytes,
            changes,
            stall_steps,
        }
    }
}

/// What one policy reached on one trace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFigures {
    /// Mean of slowest less fastest rank.
    pub skew_mean_us: f64,
    /// Median of the same.
    pub skew_p50_us: f64,
    /// 99th percentile of the same.
    pub skew_p99_us: f64,
    /// Mean of slowest over fastest rank.
    pub skew_mean_ratio: f64,
    /// Median of the same.
    pub skew_p50_ratio: f64,
    /// 99th percentile of the same.
    pub skew_p99_ratio: f64,
    /// Mean time of a step, stalls not included.
    pub step_mean_us: f64,
    /// Bytes loaded.
    pub moved_bytes: u64,
    /// Maps adopted after the first.
    pub changes: u64,
    /// Steps lost to changes.
    pub stall_steps: u64,
}

impl RunFigures {
    /// Steps a second over a trace, stalls included.
    #[must_use]
    pub fn steps_per_s(&self, length_s: u64) -> f64 {
        let steps = length_s as f64 * US_PER_S / self.step_mean_us;
        (steps - self.stall_steps as f64) / length_s as f64
    }
}

/// One policy on one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeedRun {
    /// The policy.
    pub policy: PolicyKind,
    /// The trace's seed.
    pub seed: u64,
    /// What was measured.
    pub figures: RunFigures,
    /// Mean skew in each window, in microseconds.
    pub course_us: Vec<f64>,
}

/// Mean, least and greatest over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Mean over seeds.
    pub mean: f64,
    /// Least over seeds.
    pub min: f64,
    /// Greatest over seeds.
    pub max: f64,
}

impl Spread {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// One policy over all seeds of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySummary {
    /// The policy.
    pub policy: PolicyKind,
    /// Mean skew in microseconds.
    pub skew_mean_us: Spread,
    /// Median skew in microseconds.
    pub skew_p50_us: Spread,
    /// 99th percentile of skew in microseconds.
    pub skew_p99_us: Spread,
    /// Mean skew as slowest over fastest rank.
    pub skew_mean_ratio: Spread,
    /// 99th percentile of the same.
    pub skew_p99_ratio: Spread,
    /// Mean skew in microseconds over the bound's on the same seed.
    pub skew_of_bound: Spread,
    /// Steps a second over the bound's on the same seed.
    pub steps_of_bound: Spread,
    /// Bytes loaded.
    pub moved_bytes: Spread,
    /// Maps adopted after the first.
    pub changes: Spread,
    /// Steps lost to changes.
    pub stall_steps: Spread,
}

/// Sums up the runs of an experiment, one line for each policy.
#[must_use]
pub fn summarise(runs: &[SeedRun], length_s: u64) -> Vec<PolicySummary> {
    let policies = PolicyKind::ALL.iter();
    let present = policies.filter(|policy| runs.iter().any(|run| run.policy == **policy));
    present.map(|policy| summarise_policy(*policy, runs, length_s)).collect()
}

fn summarise_policy(policy: PolicyKind, runs: &[SeedRun], length_s: u64) -> PolicySummary {
    let own = || runs.iter().filter(move |run| run.policy == policy);
    let over = |value: fn(&RunFigures) -> f64| Spread::of(own().map(|run| value(&run.figures)));
    let bound = |seed: u64| {
        let is_bound = |run: &&SeedRun| run.seed == seed && run.policy == PolicyKind::Bound;
        runs.iter().find(is_bound).map(|run| run.figures).unwrap_or_default()
    };
    let skew = |run: &SeedRun| run.figures.skew_mean_us / bound(run.seed).skew_mean_us;
    let steps =
        |run: &SeedRun| run.figures.steps_per_s(length_s) / bound(run.seed).steps_per_s(length_s);
    PolicySummary {
        policy,
        skew_mean_us: over(|figures| figures.skew_mean_us),
        skew_p50_us: over(|figures| figures.skew_p50_us),
        skew_p99_us: over(|figures| figures.skew_p99_us),
        skew_mean_ratio: over(|figures| figures.skew_mean_ratio),
        skew_p99_ratio: over(|figures| figures.skew_p99_ratio),
        skew_of_bound: Spread::of(own().map(skew)),
        steps_of_bound: Spread::of(own().map(steps)),
        moved_bytes: over(|figures| figures.moved_bytes as f64),
        changes: over(|figures| figures.changes as f64),
        stall_steps: over(|figures| figures.stall_steps as f64),
    }
}
