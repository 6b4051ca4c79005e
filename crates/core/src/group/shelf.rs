//! The contents of the maps that a member may have to hand on.

use super::map::{ExpertMap, MapRef};
use indexmap::IndexMap;
use std::sync::Arc;

/// Contents by name. A map of 60 layers and 256 experts takes some 75 KB.
#[derive(Debug, Default)]
pub(crate) struct MapShelf {
    maps: IndexMap<MapRef, Arc<ExpertMap>>,
}

impl MapShelf {
    /// Stores a map under the name computed from its content, which it returns.
    pub(crate) fn put(&mut self, map: Arc<ExpertMap>) -> MapRef {
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
