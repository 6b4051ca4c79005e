//! Load reports of a model group and their validation.

use crate::placement::shape::GroupShape;
use crate::time::UnixMs;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The loads of a group's experts over consecutive steps.
///
/// Reports can arrive late or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// First step that the report covers.
    pub first_step: u64,
    /// Last step that the report covers.
    pub last_step: u64,
    /// Time at which the last step ended. A [`LoadCollector`] approximates it by the arrival of the
    /// first load of the window.
    ///
    /// [`LoadCollector`]: crate::placement::LoadCollector
    pub ended_at: UnixMs,
    /// For each layer and expert, the number of tokens in all covered steps.
    pub layer_loads_tokens: Vec<Vec<f32>>,
}

/// An error that makes a load report unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The report overlaps steps that an accepted report already covers.
    #[error("report up to step {last_step} overlaps steps already covered up to {covered}")]
    Covered {
        /// Last step of the report.
        last_step: u64,
        /// Last step covered by accepted reports.
        covered: u64,
    },
    /// The last step of the report precedes its first.
    #[error("last step {last_step} of the report precedes its first step")]
    Backwards {
        /// Last step of the report.
        last_step: u64,
    },
    /// The number of layers or experts differs from that of the group.
    #[error("number of layers or experts does not match the group at layer {layer}")]
    Dimensions {
        /// Index of the layer.
        layer: usize,
    },
    /// A load is negative, infinite or not a number.
    #[error("layer {layer} has a negative or non-finite load")]
    Load {
        /// Index of the layer.
        layer: usize,
    },
}

impl LoadReport {
    /// Returns the number of steps that the report covers.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.last_step.saturating_sub(self.first_step).saturating_add(1)
    }

    /// Checks the report against the shape of its group.
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
