//! Figures of the engine of a service: how fast it reads prompts and writes output, and how much
//! it holds.

use serde::{Deserialize, Serialize};

/// Largest figure that is used. A larger one is a mistake, and sums of such figures would lose the
/// small ones.
const MAX_FIGURE: f64 = 1e12;

/// Figures of the engine of a service, as the operators configured them.
///
/// A figure that is absent, not positive, not finite or huge is not used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Requests that a backend server runs at once.
    pub slots: Option<f64>,
    /// Prompt tokens that fit into the memory of a backend server.
    pub kv_capacity_tokens: Option<f64>,
    /// Duration of a step without any work, in milliseconds.
    pub step_ms: Option<f64>,
    /// Time that each running request adds to a step, in milliseconds.
    pub per_seq_ms: Option<f64>,
    /// Prompt tokens that are read per second.
    pub read_per_s: Option<f64>,
    /// Mean tokens of a prompt.
    pub usual_prompt_tokens: Option<f64>,
    /// Mean tokens of an output.
    pub usual_output_tokens: Option<f64>,
}

impl EngineFigures {
    /// Returns the same figures without those that cannot be used.
    #[must_use]
    pub fn usable(&self) -> Self {
        let usable =
            |figure: Option<f64>| figure.filter(|figure| *figure > 0.0 && *figure <= MAX_FIGURE);
        Self {
            slots: usable(self.slots),
            kv_capacity_tokens: usable(self.kv_capacity_tokens),
            step_ms: usable(self.step_ms),
            per_seq_ms: usable(self.per_seq_ms),
            read_per_s: usable(self.read_per_s),
            usual_prompt_tokens: usable(self.usual_prompt_tokens),
            usual_output_tokens: usable(self.usual_output_tokens),
        }
    }

    /// Returns the time that an engine spends on reading a prompt, in milliseconds.
    pub(super) fn reading_ms(&self, prompt_tokens: f64) -> f64 {
        self.read_per_s.map_or(0.0, |read_per_s| prompt_tokens * 1_000.0 / read_per_s)
    }

    /// Returns the time that an engine spends on writing an output, in milliseconds.
    ///
    /// For each token, that is the time that one more request adds to a step, and the part of the
    /// step that belongs to one of the slots.
    pub(super) fn writing_ms(&self, output_tokens: f64) -> f64 {
        let slot_ms = self.step_ms.zip(self.slots).map_or(0.0, |(step_ms, slots)| step_ms / slots);
        output_tokens * (self.per_seq_ms.unwrap_or(0.0) + slot_ms)
    }
}
