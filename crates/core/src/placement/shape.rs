//! The fixed dimensions of a model group.

use hickorycross_config::ModelGroup;
use thiserror::Error;

/// The dimensions that every expert map of a group must match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupShape {
    /// Number of ranks, which advance in lock-step.
    pub ranks: u16,
    /// Number of layers that have experts.
    pub layers: u16,
    /// Number of experts in each layer.
    pub experts_per_layer: u16,
    /// Number of experts of one layer that a rank can hold, replicas included.
    pub expert_slots_per_rank: u16,
    /// Bytes of one expert's weights in one layer.
    pub expert_bytes: u64,
}

/// An error in a group's dimensions for which no expert map exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A dimension is zero.
    #[error("ranks, layers, experts and slots must all be at least 1")]
    Zero,
    /// There are more ranks than a `u16` can number.
    #[error("{ranks} ranks exceed the maximum of {max}", max = u16::MAX)]
    TooManyRanks {
        /// Ranks in the configuration document.
        ranks: usize,
    },
    /// The slots of all ranks hold fewer experts than a layer has.
    #[error("{slots} slots per layer cannot hold {experts} experts")]
    TooFewSlots {
        /// Slots of all ranks in one layer.
        slots: u32,
        /// Experts of one layer.
        experts: u16,
    },
}

impl GroupShape {
    /// Returns the dimensions of a model group in the configuration document.
    ///
    /// # Errors
    ///
    /// Returns a [`ShapeError`] when no expert map exists for these dimensions.
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
    /// Returns a [`ShapeError`] when none does.
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

    /// Returns the number of expert slots of all ranks in one layer.
    #[must_use]
    pub fn slots_per_layer(&self) -> u32 {
        u32::from(self.ranks) * u32::from(self.expert_slots_per_rank)
    }
}
