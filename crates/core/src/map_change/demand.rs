//! How much load each expert has, from samples of all ranks.

use crate::direct::BootMs;

/// Time after which a sample counts half.
///
/// Demand was seen to shift every 3 to 4 s; a shift shows in the estimate after half a second.
const HALF_LIFE_MS: f64 = 200.0;

/// Choices of experts by layer, old ones fading out.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    loads: Vec<Vec<f64>>,
    faded_at: BootMs,
    seen: f64,
}

impl Demand {
    /// Adds one rank's choices.
    pub fn add(&mut self, now: BootMs, experts_per_layer: usize, choices: &[u32]) {
        if choices.is_empty() || experts_per_layer == 0 {
            return;
        }
        let layers = choices.len() / experts_per_layer;
        if self.loads.len() != layers {
            self.loads = vec![vec![0.0; experts_per_layer]; layers];
            self.seen = 0.0;
        }
        self.fade(now);
        let counted = choices.chunks_exact(experts_per_layer);
        for (loads, choices) in self.loads.iter_mut().zip(counted) {
            for (load, choices) in loads.iter_mut().zip(choices) {
                *load += f64::from(*choices);
            }
        }
        self.seen += choices.iter().copied().map(f64::from).sum::<f64>();
    }

    /// Loads by layer and expert, in choices.
    #[must_use]
    pub fn loads(&self) -> &[Vec<f64>] {
        &self.loads
    }

    /// Choices in the estimate.
    #[must_use]
    pub const fn seen(&self) -> f64 {
        self.seen
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.loads.clear();
        self.seen = 0.0;
    }

    fn fade(&mut self, now: BootMs) {
        let passed_ms = now.since(self.faded_at) as f64;
        if passed_ms <= 0.0 {
            return;
        }
        self.faded_at = now;
        let kept = 0.5f64.powf(passed_ms / HALF_LIFE_MS);
        self.seen *= kept;
        for load in self.loads.iter_mut().flatten() {
            *load *= kept;
        }
    }
}
