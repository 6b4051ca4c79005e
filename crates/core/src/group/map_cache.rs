//! Cache of the map contents that a member may have to send to others.

use super::map::{ExpertMap, MapRef};
use indexmap::IndexMap;
use std::sync::Arc;

/// Map contents by reference. A map of 60 layers and 256 experts takes about 75 KB.
#[derive(Debug, Default)]
pub(crate) struct MapCache {
    maps: IndexMap<MapRef, Arc<ExpertMap>>,
}

impl MapCache {
    /// Stores a map and returns its reference.
    pub(crate) fn insert(&mut self, map: Arc<ExpertMap>) -> MapRef {
        let reference = map.reference();
        self.maps.insert(reference, map);
        reference
    }

    pub(crate) fn get(&self, map: MapRef) -> Option<&Arc<ExpertMap>> {
        self.maps.get(&map)
    }

    pub(crate) fn retain(&mut self, keeps: impl Fn(MapRef) -> bool) {
        self.maps.retain(|&map, _| keeps(map));
    }
}
