//! Whether a change brought what was predicted.
//!
//! Expert loads do not depend on the map. Loads reported after the change therefore tell what both
//! the old and the new map give, and a drift of demand meanwhile does not blur the comparison. The
//! loads on which the decision was made are left out: the search chose the map that suits their
//! noise, so they overrate it.

use crate::placement::expert_map::ExpertMap;
use crate::placement::report::LoadReport;
use crate::placement::skew::layer_skew;

/// Reports after a change on which it is judged.
const JUDGED_REPORTS: u32 = 2;

/// A change that is being judged.
#[derive(Clone, Debug)]
pub(crate) struct Realised {
    before: ExpertMap,
    predicted: f64,
    first_step: Option<u64>,
    reports: u32,
    steps: f64,
    tokens: Vec<Vec<f64>>,
}

/// A finished comparison, as mean reduction of skew over layers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Judgement {
    pub(crate) predicted: f64,
    pub(crate) realised: f64,
}

impl Realised {
    pub(crate) fn new(before: ExpertMap, predicted: f64) -> Self {
        let tokens = Vec::new();
        Self { before, predicted, first_step: None, reports: 0, steps: 0.0, tokens }
    }

    pub(crate) fn adopt(&mut self, first_step: u64) {
        self.first_step = Some(first_step);
    }

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

    /// Compares the old with the present map once enough reports came.
    pub(crate) fn judge(&self, present: &ExpertMap) -> Option<Judgement> {
        if self.reports < JUDGED_REPORTS {
            return None;
        }
        let mut realised = 0.0;
        for (layer, tokens) in self.tokens.iter().enumerate() {
            let loads: Vec<f64> = tokens.iter().map(|tokens| tokens / self.steps).collect();
            realised += layer_skew(&self.before.layers[layer], &loads);
            realised -= layer_skew(&present.layers[layer], &loads);
        }
        let realised = realised / self.tokens.len().max(1) as f64;
        Some(Judgement { predicted: self.predicted, realised })
    }
}
