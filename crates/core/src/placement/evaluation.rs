//! Compares the realised gain of a change with its prediction.
//!
//! Expert loads do not depend on the map. Loads reported after the change therefore give the skew
//! of both the old and the new map, and drift of demand does not distort the comparison. The loads
//! from which the change was proposed are excluded: the search picked the map that fits their
//! noise, so they overestimate its gain.

use crate::placement::expert_map::ExpertMap;
use crate::placement::report::LoadReport;
use crate::placement::skew::layer_skew;

/// Number of reports after a change from which its gain is computed.
const EVALUATED_REPORTS: u32 = 2;

/// Collects the loads reported after a change and computes its realised gain.
#[derive(Clone, Debug)]
pub(crate) struct ChangeEvaluation {
    before: ExpertMap,
    predicted: f64,
    first_step: Option<u64>,
    reports: u32,
    steps: f64,
    tokens: Vec<Vec<f64>>,
}

/// The predicted and the realised gain of a change, as the mean reduction of skew over layers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GainComparison {
    pub(crate) predicted: f64,
    pub(crate) realised: f64,
}

impl ChangeEvaluation {
    pub(crate) fn new(before: ExpertMap, predicted: f64) -> Self {
        let tokens = Vec::new();
        Self { before, predicted, first_step: None, reports: 0, steps: 0.0, tokens }
    }

    /// Records the first step on the new map; earlier steps are not evaluated.
    pub(crate) fn record_adoption(&mut self, first_step: u64) {
        self.first_step = Some(first_step);
    }

    /// Adds a report if all its steps were run on the new map.
    pub(crate) fn observe(&mut self, report: &LoadReport) {
        if self.first_step.is_none_or(|first_step| report.first_step < first_step) {
            return;
        }
        if self.tokens.is_empty() {
            self.tokens = report.layer_loads_tokens.iter().map(|l| vec![0.0; l.len()]).collect();
        }
        for (sums, loads) in self.tokens.iter_mut().zip(&report.layer_loads_tokens) {
            sums.iter_mut().zip(loads).for_each(|(sum, load)| *sum += f64::from(*load));
        }
        self.steps += report.steps() as f64;
        self.reports += 1;
    }

    /// Returns the predicted and the realised gain of the present map over the previous one, or
    /// `None` until enough reports have arrived.
    pub(crate) fn compare(&self, present: &ExpertMap) -> Option<GainComparison> {
        if self.reports < EVALUATED_REPORTS {
            return None;
        }
        let mut realised = 0.0;
        for (layer, tokens) in self.tokens.iter().enumerate() {
            let loads: Vec<f64> = tokens.iter().map(|tokens| tokens / self.steps).collect();
            realised += layer_skew(&self.before.layers[layer], &loads);
            realised -= layer_skew(&present.layers[layer], &loads);
        }
        let realised = realised / self.tokens.len().max(1) as f64;
        Some(GainComparison { predicted: self.predicted, realised })
    }
}
