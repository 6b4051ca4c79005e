//! Builds a proposed change from two maps: the weights to load and the predicted skew.

use crate::placement::estimate::LoadEstimator;
use crate::placement::expert_map::ExpertMap;
use crate::placement::policy::{Prediction, ProposedChange};
use crate::placement::skew::layer_skew;

/// Returns the change from `present` to `target`, or `None` when they are equal.
pub(crate) fn change_between(
    estimator: &LoadEstimator,
    present: &ExpertMap,
    target: ExpertMap,
) -> Option<ProposedChange> {
    if *present == target {
        return None;
    }
    let loads = present.weight_loads_for(&target);
    let moved_bytes = estimator.shape().expert_bytes.saturating_mul(loads.len() as u64);
    let prediction = Prediction {
        skew_before: map_skew(estimator, present),
        skew_after: map_skew(estimator, &target),
        moved_bytes,
    };
    Some(ProposedChange { target, loads, prediction })
}

/// Returns the predicted skew of a map, averaged over its layers.
fn map_skew(estimator: &LoadEstimator, map: &ExpertMap) -> f64 {
    let skews = map.layers.iter().enumerate();
    let sum: f64 = skews.map(|(layer, placed)| layer_skew(placed, estimator.loads(layer))).sum();
    sum / map.layers.len().max(1) as f64
}
