//! Expert maps: which rank of a group holds which experts of each layer.

use crate::placement::shape::GroupShape;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The experts of one layer by rank.
///
/// An expert may have replicas on several ranks; its load is split evenly between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LayerPlacement {
    /// For each rank, the distinct experts that it holds.
    pub experts_of_rank: Vec<Vec<u16>>,
}

/// The placements of all layers of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExpertMap {
    /// One placement for each layer.
    pub layers: Vec<LayerPlacement>,
}

impl ExpertMap {
    /// Creates a map of `ranks` ranks of which only the rank `own` is known.
    ///
    /// That rank holds the experts in `held`, listed by layer. The remaining experts are
    /// distributed evenly over the other ranks.
    #[must_use]
    pub fn from_known_rank(
        own: u16,
        ranks: u16,
        held: &[Vec<u16>],
        experts_per_layer: u16,
    ) -> Self {
        let others: Vec<usize> = (0..ranks).filter(|it| *it != own).map(usize::from).collect();
        let layer = |held: &Vec<u16>| {
            let mut experts_of_rank = vec![Vec::new(); usize::from(ranks)];
            experts_of_rank[usize::from(own)].clone_from(held);
            let further = (0..experts_per_layer).filter(|expert| !held.contains(expert));
            for (expert, rank) in further.zip(others.iter().cycle()) {
                experts_of_rank[*rank].push(expert);
            }
            LayerPlacement { experts_of_rank }
        };
        Self { layers: held.iter().map(layer).collect() }
    }
}

/// A load of one expert's weights by one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightLoad {
    /// Index of the layer.
    pub layer: u16,
    /// Index of the expert in its layer.
    pub expert: u16,
    /// The rank that loads it.
    pub rank: u16,
}

/// An error in an expert map that is checked against the shape of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MapError {
    /// The map and the group differ in their number of layers.
    #[error("map has {found} layers, expected {expected}")]
    Layers {
        /// Layers of the map.
        found: usize,
        /// Layers of the group.
        expected: u16,
    },
    /// A layer and the group differ in their number of ranks.
    #[error("layer {layer} has {found} ranks, expected {expected}")]
    Ranks {
        /// Index of the layer.
        layer: usize,
        /// Ranks of the layer.
        found: usize,
        /// Ranks of the group.
        expected: u16,
    },
    /// A rank holds more experts than it has slots.
    #[error("layer {layer} rank {rank}: {found} experts exceed {slots} slots")]
    Slots {
        /// Index of the layer.
        layer: usize,
        /// Index of the rank.
        rank: usize,
        /// Experts that the rank holds.
        found: usize,
        /// Slots that the rank has.
        slots: u16,
    },
    /// A rank lists an expert that the layer does not have, or lists one twice.
    #[error("layer {layer} rank {rank}: expert {expert} is unknown or repeated")]
    Expert {
        /// Index of the layer.
        layer: usize,
        /// Index of the rank.
        rank: usize,
        /// The unknown or repeated expert.
        expert: u16,
    },
    /// No rank holds an expert.
    #[error("layer {layer}: no rank holds expert {expert}")]
    Missing {
        /// Index of the layer.
        layer: usize,
        /// The expert without a rank.
        expert: usize,
    },
}

impl LayerPlacement {
    /// Counts the ranks that hold each of `experts` experts.
    #[must_use]
    pub fn replicas(&self, experts: usize) -> Vec<u16> {
        let mut replicas = vec![0; experts];
        for expert in self.experts_of_rank.iter().flatten() {
            replicas[usize::from(*expert)] += 1;
        }
        replicas
    }

    /// Splits expert loads evenly over replicas and sums them by rank, in the unit of `loads`.
    #[must_use]
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        let replicas = self.replicas(loads.len());
        let share = |expert: &u16| {
            let expert = usize::from(*expert);
            loads[expert] / f64::from(replicas[expert])
        };
        self.experts_of_rank.iter().map(|experts| experts.iter().map(share).sum()).collect()
    }

    /// Returns whether `rank` holds `expert`.
    #[must_use]
    pub fn holds(&self, rank: u16, expert: u16) -> bool {
        self.experts_of_rank[usize::from(rank)].contains(&expert)
    }

    fn check(&self, layer: usize, shape: &GroupShape) -> Result<(), MapError> {
        if self.experts_of_rank.len() != usize::from(shape.ranks) {
            let found = self.experts_of_rank.len();
            return Err(MapError::Ranks { layer, found, expected: shape.ranks });
        }
        let mut held = vec![false; usize::from(shape.experts_per_layer)];
        for (rank, experts) in self.experts_of_rank.iter().enumerate() {
            check_rank(layer, rank, experts, shape)?;
            for expert in experts {
                held[usize::from(*expert)] = true;
            }
        }
        match held.iter().position(|held| !held) {
            Some(expert) => Err(MapError::Missing { layer, expert }),
            None => Ok(()),
        }
    }
}

fn check_rank(
    layer: usize,
    rank: usize,
    experts: &[u16],
    shape: &GroupShape,
) -> Result<(), MapError> {
    let slots = shape.expert_slots_per_rank;
    if experts.len() > usize::from(slots) {
        return Err(MapError::Slots { layer, rank, found: experts.len(), slots });
    }
    for (index, expert) in experts.iter().enumerate() {
        let unknown = *expert >= shape.experts_per_layer;
        if unknown || experts[..index].contains(expert) {
            return Err(MapError::Expert { layer, rank, expert: *expert });
        }
    }
    Ok(())
}

impl ExpertMap {
    /// Returns the number of ranks, or 0 for a map without layers.
    #[must_use]
    pub fn ranks(&self) -> usize {
        self.layers.first().map_or(0, |layer| layer.experts_of_rank.len())
    }

    /// Checks the map against the shape of its group: every expert is placed, no rank holds more
    /// experts than it has slots, and none lists an expert twice.
    ///
    /// # Errors
    ///
    /// Returns the first [`MapError`] found.
    pub fn validate(&self, shape: &GroupShape) -> Result<(), MapError> {
        if self.layers.len() != usize::from(shape.layers) {
            return Err(MapError::Layers { found: self.layers.len(), expected: shape.layers });
        }
        self.layers.iter().enumerate().try_for_each(|(layer, placed)| placed.check(layer, shape))
    }

    /// Returns the weights that ranks must load before this map can be replaced by `target`.
    #[must_use]
    pub fn weight_loads_for(&self, target: &Self) -> Vec<WeightLoad> {
        let mut loads = Vec::new();
        for (layer, (present, wanted)) in (0..).zip(self.layers.iter().zip(&target.layers)) {
            for (rank, experts) in (0..).zip(&wanted.experts_of_rank) {
                let missing = experts.iter().filter(|expert| !present.holds(rank, **expert));
                loads.extend(missing.map(|expert| WeightLoad { layer, expert: *expert, rank }));
            }
        }
        loads
    }
}
