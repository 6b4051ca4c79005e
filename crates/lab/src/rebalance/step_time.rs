//! The model of a step's time.

use hickorycross_core::placement::ExpertMap;
use serde::{Deserialize, Serialize};

/// Time of a step that does not depend on expert loads.
const BASE_US: f64 = 2_500.0;
/// Time of a step's expert layers on a rank with the mean load.
const EXPERTS_US: f64 = 2_500.0;
/// Factor on step time while weights are loaded in the background.
const LOADING_FACTOR: f64 = 1.02;

/// Time of one step: a base, and in each layer the slowest rank, because ranks exchange tokens after
/// every layer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepTime {
    /// Time of the step: base and the slowest rank of each layer.
    pub slowest_us: f64,
    /// The same with the fastest rank of each layer.
    pub fastest_us: f64,
}

impl StepTime {
    /// Models a step with these expert loads by layer. A loading group is slower by a fiftieth.
    #[must_use]
    pub fn of(map: &ExpertMap, layer_loads: &[Vec<f64>], is_loading: bool) -> Self {
        let (mut slowest, mut fastest) = (0.0, 0.0);
        for (placed, loads) in map.layers.iter().zip(layer_loads) {
            let ranks = placed.rank_loads(loads);
            let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
            slowest += ranks.iter().copied().fold(0.0, f64::max) / mean;
            fastest += ranks.iter().copied().fold(f64::INFINITY, f64::min) / mean;
        }
        let factor = if is_loading { LOADING_FACTOR } else { 1.0 };
        let layers = map.layers.len() as f64;
        let time_us = |share: f64| factor * (BASE_US + EXPERTS_US * share / layers);
        Self { slowest_us: time_us(slowest), fastest_us: time_us(fastest) }
    }

    /// Step-time skew as a span: slowest less fastest.
    #[must_use]
    pub fn skew_us(&self) -> f64 {
        self.slowest_us - self.fastest_us
    }

    /// Step-time skew as a ratio: slowest over fastest.
    #[must_use]
    pub fn skew_ratio(&self) -> f64 {
        self.slowest_us / self.fastest_us
    }
}
