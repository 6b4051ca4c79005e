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

    /// How many ranks hold each expert, by layer; none unless every layer names all ranks, and
    /// every expert at least once.
    fn replicas(&self) -> Option<Vec<Vec<u16>>> {
        self.layers.iter().map(|layer| layer.replicas(self.ranks, self.experts)).collect()
    }
}

impl LayerPlacement {
    fn replicas(&self, ranks: u16, experts: u16) -> Option<Vec<u16>> {
        let mut counts = vec![0; usize::from(experts)];
        for expert in self.experts_of_rank.iter().flatten() {
            *counts.get_mut(usize::from(*expert))? += 1;
        }
        let complete = self.experts_of_rank.len() == usize::from(ranks) && !counts.contains(&0);
        complete.then_some(counts)
    }
}

/// A complete map, with what is needed of it in every step.
#[derive(Clone, Debug)]
pub(super) struct StagedMap {
    pub(super) map: ExpertMap,
    pub(super) content: Digest,
    /// How many ranks hold each expert, by layer.
    pub(super) replicas: Vec<Vec<u16>>,
}

impl StagedMap {
    /// None for a map that is not complete.
    pub(super) fn new(map: &ExpertMap) -> Option<Self> {
        let replicas = map.replicas()?;
        Some(Self { map: map.clone(), content: map.content_digest(), replicas })
    }
}
