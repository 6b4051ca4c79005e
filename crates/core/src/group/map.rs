//! Expert maps, which list the experts of each rank layer by layer.

pub use crate::placement::LayerPlacement;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Dimensions that a map must have to fit a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MapShape {
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Number of experts per layer.
    pub experts: u16,
    /// Number of layers with experts.
    pub layers: u16,
}

/// One version of a group's expert map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Version number, assigned by the coordinator.
    pub version: u64,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Number of experts per layer.
    pub experts: u16,
    /// Placement of the experts, one entry per layer.
    pub layers: Vec<LayerPlacement>,
}

/// Digest (xxh3) of a map's content, including its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MapDigest(pub u64);

/// Identifies a map by version and digest.
///
/// The version alone is not unique: if a coordinator dies before any member reports its new map,
/// the next coordinator may assign the same version to a different map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MapRef {
    /// Version of the map.
    pub version: u64,
    /// Digest of the map's content.
    pub digest: MapDigest,
    /// Dimensions of the map, so that a coordinator without the content can tell whether it fits.
    pub shape: MapShape,
}

impl fmt::Display for MapRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.version, self.digest.0)
    }
}

impl ExpertMap {
    /// Creates the initial map of a group, with experts assigned round-robin and no replicas.
    #[must_use]
    pub fn uniform(version: u64, shape: MapShape) -> Self {
        let layer = LayerPlacement {
            experts_of_rank: (0..shape.ranks)
                .map(|rank| (rank..shape.experts).step_by(usize::from(shape.ranks)).collect())
                .collect(),
        };
        Self {
            version,
            ranks: shape.ranks,
            experts: shape.experts,
            layers: vec![layer; usize::from(shape.layers)],
        }
    }

    /// Returns the dimensions of this map.
    #[must_use]
    pub fn shape(&self) -> MapShape {
        MapShape {
            ranks: self.ranks,
            experts: self.experts,
            layers: u16::try_from(self.layers.len()).unwrap_or(u16::MAX),
        }
    }

    /// Returns the reference to this map, computed from its content.
    #[must_use]
    pub fn reference(&self) -> MapRef {
        MapRef { version: self.version, digest: self.digest(), shape: self.shape() }
    }

    /// Returns whether the map has the given dimensions and assigns every expert of every layer.
    #[must_use]
    pub fn fits(&self, shape: MapShape) -> bool {
        self.shape() == shape && self.layers.iter().all(|layer| self.is_complete(layer))
    }

    fn is_complete(&self, layer: &LayerPlacement) -> bool {
        let mut held = vec![false; usize::from(self.experts)];
        for &expert in layer.experts_of_rank.iter().flatten() {
            match held.get_mut(usize::from(expert)) {
                Some(slot) => *slot = true,
                None => return false,
            }
        }
        layer.experts_of_rank.len() == usize::from(self.ranks) && held.into_iter().all(|is| is)
    }

    fn digest(&self) -> MapDigest {
        let mut hasher = Xxh3::new();
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&self.ranks.to_le_bytes());
        hasher.update(&self.experts.to_le_bytes());
        hash_length(&mut hasher, self.layers.len());
        for layer in &self.layers {
            hash_length(&mut hasher, layer.experts_of_rank.len());
            layer.experts_of_rank.iter().for_each(|experts| hash_experts(&mut hasher, experts));
        }
        MapDigest(hasher.digest())
    }
}

fn hash_experts(hasher: &mut Xxh3, experts: &[u16]) {
    hash_length(hasher, experts.len());
    for expert in experts {
        hasher.update(&expert.to_le_bytes());
    }
}

/// Hashes a length as 64 bits, so that the digest does not depend on the platform's word size.
fn hash_length(hasher: &mut Xxh3, length: usize) {
    hasher.update(&(length as u64).to_le_bytes());
}
