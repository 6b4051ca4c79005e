//! A baseline policy that edits layers whose predicted skew exceeds a fixed threshold.

use crate::placement::change::change_between;
use crate::placement::estimate::LoadEstimator;
use crate::placement::expert_map::ExpertMap;
use crate::placement::pack::refine_layer;
use crate::placement::policy::{ChangeOutcome, ProposedChange, RebalancePolicy};
use crate::placement::report::{LoadReport, ReportError};
use crate::placement::shape::GroupShape;
use crate::placement::skew::layer_skew;
use crate::time::{Now, UnixMs};

/// Maximum number of edits to one layer in one change.
const EDITS_PER_LAYER: u32 = 4;

/// Refines each layer whose predicted skew exceeds a threshold, with a fixed cool-down.
#[derive(Clone, Debug)]
pub struct ThresholdPolicy {
    estimator: LoadEstimator,
    threshold: f64,
    cool_down_ms: u64,
    cool_down_ends_at: UnixMs,
}

impl ThresholdPolicy {
    /// Creates a policy that acts above a skew of `threshold` (load of the slowest rank minus that
    /// of the fastest, as a share of the mean) and waits `cool_down_ms` after each change.
    #[must_use]
    pub fn new(shape: GroupShape, threshold: f64, cool_down_ms: u64) -> Self {
        let estimator = LoadEstimator::new(shape);
        Self { estimator, threshold, cool_down_ms, cool_down_ends_at: UnixMs::default() }
    }
}

impl RebalancePolicy for ThresholdPolicy {
    fn name(&self) -> &'static str {
        "threshold"
    }

    fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError> {
        self.estimator.observe(report)
    }

    fn propose(&mut self, now: Now, present: &ExpertMap) -> Option<ProposedChange> {
        if !self.cool_down_ends_at.is_past(now) || !self.estimator.is_ready(now) {
            return None;
        }
        let mut target = present.clone();
        for (layer, placed) in target.layers.iter_mut().enumerate() {
            let loads = self.estimator.loads(layer);
            if layer_skew(placed, loads) > self.threshold {
                *placed = refine_layer(self.estimator.shape(), placed, loads, EDITS_PER_LAYER);
            }
        }
        change_between(&self.estimator, present, target)
    }

    fn record_outcome(&mut self, now: Now, _outcome: ChangeOutcome) {
        self.cool_down_ends_at = now.after(self.cool_down_ms);
    }
}
