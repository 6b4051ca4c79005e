//! A baseline policy that repacks all layers at fixed intervals.

use crate::placement::change::change_between;
use crate::placement::estimate::LoadEstimator;
use crate::placement::expert_map::ExpertMap;
use crate::placement::pack::{pack_map, refine_layer};
use crate::placement::policy::{ChangeOutcome, ProposedChange, RebalancePolicy};
use crate::placement::report::{LoadReport, ReportError};
use crate::placement::shape::GroupShape;
use crate::time::{Now, UnixMs};

/// Maximum number of edits that refine each layer after packing.
const MAX_EDITS: u32 = 12;

/// Repacks all layers at fixed intervals, regardless of cost.
#[derive(Clone, Debug)]
pub struct PeriodicPolicy {
    estimator: LoadEstimator,
    period_ms: u64,
    due_at: UnixMs,
}

impl PeriodicPolicy {
    /// Creates a policy that repacks every `period_ms`, for the first time at `first_at`.
    #[must_use]
    pub fn new(shape: GroupShape, period_ms: u64, first_at: UnixMs) -> Self {
        Self { estimator: LoadEstimator::new(shape), period_ms, due_at: first_at }
    }
}

impl RebalancePolicy for PeriodicPolicy {
    fn name(&self) -> &'static str {
        "periodic"
    }

    fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError> {
        self.estimator.observe(report)
    }

    fn propose(&mut self, now: Now, present: &ExpertMap) -> Option<ProposedChange> {
        if !self.due_at.is_past(now) || !self.estimator.is_ready(now) {
            return None;
        }
        self.due_at = now.after(self.period_ms);
        let shape = self.estimator.shape();
        let loads: Vec<&[f64]> =
            (0..usize::from(shape.layers)).map(|layer| self.estimator.loads(layer)).collect();
        let mut target = pack_map(shape, &loads);
        for (placed, loads) in target.layers.iter_mut().zip(&loads) {
            *placed = refine_layer(shape, placed, loads, MAX_EDITS);
        }
        change_between(&self.estimator, present, target)
    }

    fn record_outcome(&mut self, _now: Now, _outcome: ChangeOutcome) {}
}
