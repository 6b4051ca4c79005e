//! Maps as an engine holds them.

use hickorycross_core::group::{ExpertMap, MapRef};
use std::sync::Arc;

/// A map with the number of replicas of each expert, by layer.
#[derive(Clone, Debug)]
pub(super) struct StagedMap {
    pub(super) map: Arc<ExpertMap>,
    pub(super) reference: MapRef,
    pub(super) replicas: Vec<Vec<u16>>,
}

impl StagedMap {
    /// Takes a map that fits its group.
    pub(super) fn new(map: Arc<ExpertMap>) -> Self {
        let replicas = map.layers.iter().map(|layer| {
            let mut counts = vec![0; usize::from(map.experts)];
            for expert in layer.experts_of_rank.iter().flatten() {
                counts[usize::from(*expert)] += 1;
            }
            counts
        });
        let replicas = replicas.collect();
        Self { reference: map.reference(), replicas, map }
    }
}
