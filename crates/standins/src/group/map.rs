//! Expert maps, in the shape that orders carry.

use hickorycross_config::Digest;
use serde::{Deserialize, Serialize};

/// Which rank holds which experts, in every layer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Grows with every change of a group's map.
    pub version: u64,
    /// Ranks of the group.
    pub ranks: u16,
    /// Experts of each layer.
    pub experts: u16,
    /// The layers, from the first.
    pub layers: Vec<LayerPlacement>,
}

/// Which rank holds which experts, in one layer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayerPlacement {
    /// By rank. An expert that stands on several ranks is replicated.
    pub experts_of_rank: Vec<Vec<u16>>,
}

impl ExpertMap {
    /// A map without replicas that deals the experts to the ranks in turn.
    #[must_use]
    pub fn even(version: u64, ranks: u16, experts: u16, layers: u16) -> Self {
        let of_rank = |rank: u16| (rank..experts).step_by(usize::from(ranks)).collect();
        let experts_of_rank = (0..ranks).map(of_rank).collect();
        let layer = LayerPlacement { experts_of_rank };
        Self { version, ranks, experts, layers: vec![layer; usize::from(layers)] }
    }

    /// Digest over the compact JSON text of the map, to tell apart two maps of one version.
    #[must_use]
    pub fn content_digest(&self) -> Digest {
        // A map is a plain struct: it always serialises.
        Digest::of(&serde_json::to_vec(self).unwrap_or_default())
    }

    /// Whether every layer names all ranks, and every expert at least once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.layers.iter().all(|layer| {
            layer.experts_of_rank.len() == usize::from(self.ranks)
                && layer.replicas(self.experts).is_some_and(|counts| !counts.contains(&0))
        })
    }
}

impl LayerPlacement {
    /// How many ranks hold each expert; none if an expert out of range is named.
    pub(super) fn replicas(&self, experts: u16) -> Option<Vec<u16>> {
        let mut counts = vec![0; usize::from(experts)];
        for expert in self.experts_of_rank.iter().flatten() {
            *counts.get_mut(usize::from(*expert))? += 1;
        }
        Some(counts)
    }
}
