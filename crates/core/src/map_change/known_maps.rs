//! Maps that an agent was told of, so that the next one can be told as a change.

use super::order::OrderKind;
use crate::placement::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;

/// Maps that are kept: the one in use, one that is prepared, and two that were abandoned.
const MOST_KEPT: usize = 4;

/// The map that a change is about was never told to this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("map {0} is not known")]
pub struct UnknownMap(pub u64);

/// Maps by version, those told of last at the end.
#[derive(Clone, Debug, Default)]
pub struct KnownMaps {
    maps: IndexMap<u64, Arc<ExpertMap>>,
}

impl KnownMaps {
    /// The order with its whole map, which is kept for later changes.
    ///
    /// # Errors
    ///
    /// When the order tells a change of a map that is not known: an agent that has just started was not
    /// told of the map in use.
    pub fn resolve(&mut self, kind: &OrderKind) -> Result<OrderKind, UnknownMap> {
        match kind {
            OrderKind::PrepareChange { version, base, change } => {
                let base_map = self.maps.get(base).ok_or(UnknownMap(*base))?;
                let map = Arc::new(change.apply(base_map).ok_or(UnknownMap(*base))?);
                self.keep(*version, &map);
                Ok(OrderKind::Prepare { version: *version, map })
            }
            OrderKind::Prepare { version, map } => {
                self.keep(*version, map);
                Ok(kind.clone())
            }
            _ => Ok(kind.clone()),
        }
    }

    fn keep(&mut self, version: u64, map: &Arc<ExpertMap>) {
        self.maps.shift_remove(&version);
        self.maps.insert(version, Arc::clone(map));
        while self.maps.len() > MOST_KEPT {
            self.maps.shift_remove_index(0);
        }
    }
}
