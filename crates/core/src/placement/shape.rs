//! The fixed dimensions of a model group.

use hickorycross_config::ModelGroup;
use thiserror::Error;

/// Dimensions that every expert map of a group obeys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupShape {
    /// Ranks that advance in lock-step.
    pub ranks: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Experts of each layer.
    pub experts_per_layer: u16,
    /// Experts of one layer that one rank can hold, replicas included.
    pub expert_slots_per_rank: u16,
    /// Bytes of one expert's weights in one layer.
    pub expert_bytes: u64,
}

/// Why a group's dimensions admit no expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A dimension is zero.
    #[error("ranks, layers, experts and slots are all at least 1")]
    Zero,
    /// The number of ranks does not fit its type.
    #[error("{ranks} ranks are more than {max}", max = u16::MAX)]
    TooManyRanks {
        /// Ranks that the document asks for.
        ranks: usize,
    },
    /// The slots of all ranks hold fewer experts than a layer has.
    #[error("{slots} slots cannot hold {experts} experts")]
    TooFewSlots {
        /// Slots of all ranks in one layer.
        slots: u32,
        /// Experts of one layer.
        experts: u16,
    },
}

impl GroupShape {
    /// Takes the dimensions from a document's model group.
    ///
    /// # Errors
    ///
    /// [`ShapeError`] when no expert map exists for these dimensions.
    pub fn from_model_group(group: &ModelGroup) -> Result<Self, ShapeError> {
        let ranks = group.backend_servers.len() * usize::from(group.ranks_per_server);
        let shape = Self {
            ranks: u16::try_from(ranks).map_err(|_| ShapeError::TooManyRanks { ranks })?,
            layers: group.layers,
            experts_per_layer: group.experts_per_layer,
            expert_slots_per_rank: group.expert_slots_per_rank,
            expert_bytes: group.expert_bytes,
        };
        shape.validate()?;
        Ok(shape)
    }

    /// Checks that an expert map exists for these dimensions.
    ///
    /// # Errors
    ///
    /// [`ShapeError`] when none does.
    pub fn validate(&self) -> Result<(), ShapeError> {
        let smallest =
            self.ranks.min(self.layers).min(self.experts_per_layer).min(self.expert_slots_per_rank);
        if smallest == 0 {
            return Err(ShapeError::Zero);
        }
        let slots = self.slots_per_layer();
        if slots < u32::from(self.experts_per_layer) {
            return Err(ShapeError::TooFewSlots { slots, experts: self.experts_per_layer });
        }
        Ok(())
    }

    /// Slots of all ranks in one layer.
    #[must_use]
    pub fn slots_per_layer(&self) -> u32 {
        u32::from(self.ranks) * u32::from(self.expert_slots_per_rank)
    }
}
