//! The tables behind an engine's ranks: maps, grants, load windows.

use super::map::StagedMap;
use super::order::OrderSeen;
use hickorycross_core::Fencing;
use hickorycross_core::group::{EngineState, MapRef, StepGrant};
use hickorycross_core::placement::RankLoad;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::time::Instant;

/// State of an engine's ranks.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) highest: Fencing,
    pub(super) orders: Vec<OrderSeen>,
    pub(super) held: IndexMap<MapRef, Held>,
    pub(super) grants: Vec<StepGrant>,
    pub(super) completed_step: u64,
    pub(super) used: Option<MapRef>,
    pub(super) stage_failed: Option<MapRef>,
    pub(super) experts_moved: u64,
    pub(super) windows: VecDeque<Published>,
}

/// A map that is being loaded or is there.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) map: Arc<StagedMap>,
    pub(super) ready: Instant,
}

/// A window and the moment at which its load may be read.
#[derive(Clone, Debug)]
pub(super) struct Published {
    pub(super) readable: Instant,
    pub(super) load: RankLoad,
}

impl Table {
    /// Uses exactly these grants. Grants of maps that are not loaded are not taken.
    pub(super) fn grant(&mut self, grants: &[StepGrant]) {
        let now = Instant::now();
        let is_loaded = |map: &MapRef| self.held.get(map).is_some_and(|held| held.ready <= now);
        self.grants = grants.iter().filter(|grant| is_loaded(&grant.map)).copied().collect();
    }

    /// Unloads a map that no grant names.
    pub(super) fn discard(&mut self, map: MapRef) {
        if !self.grants.iter().any(|grant| grant.map == map) {
            self.held.shift_remove(&map);
        }
    }

    /// Gives up loads that are not finished.
    pub(super) fn stop_loading(&mut self, now: Instant) {
        self.held.retain(|_, held| held.ready <= now);
    }

    pub(super) fn resident(&self, now: Instant) -> Vec<MapRef> {
        let ready = self.held.iter().filter(|(_, held)| held.ready <= now);
        ready.map(|(map, _)| *map).collect()
    }

    pub(super) fn state(&self, now: Instant) -> EngineState {
        EngineState {
            completed_step: self.completed_step,
            grants: self.grants.clone(),
            resident: self.resident(now),
            staging: self.held.iter().find(|(_, held)| held.ready > now).map(|(map, _)| *map),
        }
    }
}
