//! The omniscient bound: for each window the best map found for the loads that the window will have.
//!
//! It moves for nothing and knows the future, but it is a heuristic: no proof says that no better
//! map exists.

use crate::rebalance::trace::Window;
use hickorycross_core::placement::{
    ExpertMap, GroupShape, LayerPlacement, layer_skew, pack_layer, refine_layer,
};

/// Edits by which a map is evened out in each window.
const WINDOW_EDITS: u32 = 12;
/// Edits by which the first map is evened out; enough to end where no edit helps.
const FIRST_EDITS: u32 = 1_000;

/// The bound's present map.
#[derive(Clone, Debug)]
pub struct Bound {
    shape: GroupShape,
    map: ExpertMap,
}

impl Bound {
    /// Starts from the best map found for these expected loads.
    #[must_use]
    pub fn new(shape: GroupShape, loads: &[Vec<f64>]) -> Self {
        let layers = loads.iter().map(|loads| fresh(&shape, loads, FIRST_EDITS)).collect();
        Self { shape, map: ExpertMap { layers } }
    }

    /// The present map.
    #[must_use]
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Adopts, layer by layer, the better of a fresh map and the evened-out present one.
    pub fn foresee(&mut self, window: &Window) {
        for (layer, placed) in self.map.layers.iter_mut().enumerate() {
            let loads = window_loads(window, layer);
            let kept = refine_layer(&self.shape, placed, &loads, WINDOW_EDITS);
            let packed = fresh(&self.shape, &loads, WINDOW_EDITS);
            let is_better = layer_skew(&packed, &loads) < layer_skew(&kept, &loads);
            *placed = if is_better { packed } else { kept };
        }
    }
}

fn fresh(shape: &GroupShape, loads: &[f64], max_edits: u32) -> LayerPlacement {
    refine_layer(shape, &pack_layer(shape, loads), loads, max_edits)
}

/// Mean expert loads of a step over a window, in tokens.
fn window_loads(window: &Window, layer: usize) -> Vec<f64> {
    let steps: u64 = window.ticks.iter().map(|tick| tick.report.steps()).sum();
    let reports = || window.ticks.iter().map(|tick| &tick.report.layer_loads_tokens[layer]);
    let mut sums = vec![0.0; reports().next().map_or(0, Vec::len)];
    for loads in reports() {
        sums.iter_mut().zip(loads).for_each(|(sum, load)| *sum += f64::from(*load));
    }
    sums.iter_mut().for_each(|sum| *sum /= steps as f64);
    sums
}
