//! Work of one rank in one step.

use super::host::Granted;
use super::step::RankStep;

/// What a rank has to do, and with which map.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) rank: u16,
    pub(super) granted: Granted,
    pub(super) tokens: Vec<Vec<f64>>,
    pub(super) latency_factor: f64,
}

impl Work {
    pub(super) fn layer_tokens(&self, layer: usize) -> f64 {
        self.tokens.get(layer).map_or(0.0, |tokens| tokens.iter().sum())
    }

    pub(super) fn record(&self, us_per_token: f64) -> RankStep {
        let tokens: f64 = self.tokens.iter().flatten().sum();
        RankStep {
            rank: self.rank,
            map: self.granted.map.reference,
            rank_us: (tokens * us_per_token * self.latency_factor) as u64,
        }
    }
}
