//! Maps that an agent has received, so that the next one can be sent as a change.

use super::order::OrderKind;
use crate::placement::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;

/// Number of maps to keep: the one in use, a prepared one and two abandoned ones.
const MAX_MAPS: usize = 4;

/// The agent lacks the base map of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("map {0} is not known")]
pub struct UnknownMap(pub u64);

/// Received maps by version, the most recently received last.
#[derive(Clone, Debug, Default)]
pub struct KnownMaps {
    maps: IndexMap<u64, Arc<ExpertMap>>,
}

impl KnownMaps {
    /// Returns the order with its complete map, which is kept as a base for later changes.
    ///
    /// # Errors
    ///
    /// Fails if the order changes a map that the agent has not received, for example because it was
    /// restarted since.
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
        while self.maps.len() > MAX_MAPS {
            self.maps.shift_remove_index(0);
        }
    }
}
