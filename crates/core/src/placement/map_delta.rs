//! What one expert map changes in another.

use crate::placement::expert_map::{ExpertMap, LayerPlacement};
use serde::{Deserialize, Serialize};

/// Experts of the ranks that hold others by a new map than before, layer by layer.
///
/// A change moves some hundred of the thousands of experts that a map of a large group names, so this is
/// less than half as long as the map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    layers: Vec<Vec<ChangedRank>>,
}

/// What a rank holds of a layer by the new map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ChangedRank {
    /// Ranks between this one and the changed one before it, which takes a byte where a rank takes two.
    skipped: u16,
    experts: Vec<u16>,
}

impl MapDelta {
    /// What makes `base` into `target`.
    #[must_use]
    pub fn between(base: &ExpertMap, target: &ExpertMap) -> Self {
        let layers = base.layers.iter().zip(&target.layers);
        Self { layers: layers.map(|(base, target)| changed_ranks(base, target)).collect() }
    }

    /// The map that this makes of `base`; nothing if it is about a map of another shape.
    #[must_use]
    pub fn apply(&self, base: &ExpertMap) -> Option<ExpertMap> {
        if self.layers.len() != base.layers.len() {
            return None;
        }
        let mut map = base.clone();
        for (layer, changed) in map.layers.iter_mut().zip(&self.layers) {
            let mut rank = 0;
            for ChangedRank { skipped, experts } in changed {
                rank += usize::from(*skipped);
                layer.experts_of_rank.get_mut(rank)?.clone_from(experts);
                rank += 1;
            }
        }
        Some(map)
    }
}

fn changed_ranks(base: &LayerPlacement, target: &LayerPlacement) -> Vec<ChangedRank> {
    let mut skipped = 0;
    let mut changed = Vec::new();
    for (before, after) in base.experts_of_rank.iter().zip(&target.experts_of_rank) {
        if before == after {
            skipped += 1;
        } else {
            changed.push(ChangedRank { skipped, experts: after.clone() });
            skipped = 0;
        }
    }
    changed
}
