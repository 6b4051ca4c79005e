//! The difference between two expert maps, in a compact form for messages.

use crate::placement::expert_map::{ExpertMap, LayerPlacement};
use serde::{Deserialize, Serialize};

/// The experts of all ranks whose placement differs between two maps, by layer.
///
/// A change moves some hundred of the thousands of experts that the map of a large group lists, so
/// an encoded delta is less than half as long as the map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    layers: Vec<Vec<ChangedRank>>,
}

/// The experts of one layer that a rank holds in the new map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ChangedRank {
    /// Number of unchanged ranks since the previous changed one. It usually encodes in one byte,
    /// where an absolute rank takes two.
    skipped: u16,
    experts: Vec<u16>,
}

impl MapDelta {
    /// Returns the delta that turns `base` into `target`.
    #[must_use]
    pub fn between(base: &ExpertMap, target: &ExpertMap) -> Self {
        let layers = base.layers.iter().zip(&target.layers);
        Self { layers: layers.map(|(base, target)| changed_ranks(base, target)).collect() }
    }

    /// Applies the delta to `base`. Returns `None` when the delta does not fit the shape of `base`.
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

/// Returns the ranks of one layer that hold other experts in `target` than in `base`.
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
