//! What a group reports about its steps.

use crate::placement::shape::GroupShape;
use crate::time::UnixMs;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Expert loads over a run of steps. Reports arrive late, and some never do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// First step that the report covers.
    pub first_step: u64,
    /// Last step that the report covers.
    pub last_step: u64,
    /// When the last step ended.
    pub ended_at: UnixMs,
    /// For each layer and expert, tokens over all steps covered.
    pub layer_loads_tokens: Vec<Vec<f32>>,
}

/// Why a report was not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportError {
    /// Its steps are already covered by a report used before.
    #[error("steps up to {last_step} are already covered up to {covered}")]
    Covered {
        /// Last step of the report.
        last_step: u64,
        /// Last step used.
        covered: u64,
    },
    /// Its steps run backwards.
    #[error("last step {last_step} lies before the first")]
    Backwards {
        /// Last step of the report.
        last_step: u64,
    },
    /// Its layers or experts are not those of the group.
    #[error("layer {layer} does not have the experts of the group")]
    Dimensions {
        /// Index of the layer.
        layer: usize,
    },
    /// A load is negative or not a number.
    #[error("layer {layer} has a load that is no number of tokens")]
    Load {
        /// Index of the layer.
        layer: usize,
    },
}

impl LoadReport {
    /// Steps that the report covers.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.last_step.saturating_sub(self.first_step).saturating_add(1)
    }

    /// Checks the report against its group.
    pub(crate) fn check(&self, shape: &GroupShape) -> Result<(), ReportError> {
        if self.last_step < self.first_step {
            return Err(ReportError::Backwards { last_step: self.last_step });
        }
        if self.layer_loads_tokens.len() != usize::from(shape.layers) {
            return Err(ReportError::Dimensions { layer: self.layer_loads_tokens.len() });
        }
        for (layer, loads) in self.layer_loads_tokens.iter().enumerate() {
            if loads.len() != usize::from(shape.experts_per_layer) {
                return Err(ReportError::Dimensions { layer });
            }
            if !loads.iter().all(|load| load.is_finite() && *load >= 0.0) {
                return Err(ReportError::Load { layer });
            }
        }
        Ok(())
    }
}
