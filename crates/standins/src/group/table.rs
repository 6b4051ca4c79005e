//! The tables behind an engine's ranks: maps, grants, weights, load windows.

use super::map::StagedMap;
use super::order::{OrderError, OrderSeen};
use super::report::{GrantReport, LoadWindow};
use hickorycross_core::Fencing;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::time::Instant;

/// Maps that an engine holds at once, unless more are granted.
const MAX_HELD_MAPS: usize = 4;

/// State of an engine's ranks.
#[derive(Debug)]
pub(super) struct Table {
    pub(super) highest: Fencing,
    pub(super) orders: Vec<OrderSeen>,
    pub(super) held: IndexMap<u64, Held>,
    pub(super) grants: VecDeque<GrantReport>,
    pub(super) used: Option<GrantReport>,
    pub(super) weights_version: String,
    pub(super) next_weights: Option<(String, Instant)>,
    pub(super) experts_moved: u64,
    pub(super) windows: VecDeque<Published>,
}

/// A map that is staged or in use.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) map: Arc<StagedMap>,
    pub(super) ready: Instant,
}

/// A window and the moment at which its load may be read.
#[derive(Clone, Debug)]
pub(super) struct Published {
    pub(super) readable: Instant,
    pub(super) window: LoadWindow,
}

impl Table {
    pub(super) fn new(weights_version: &str) -> Self {
        Self {
            highest: Fencing(0),
            orders: Vec::new(),
            held: IndexMap::new(),
            grants: VecDeque::new(),
            used: None,
            weights_version: weights_version.to_owned(),
            next_weights: None,
            experts_moved: 0,
            windows: VecDeque::new(),
        }
    }

    pub(super) fn grant(&mut self, grant: GrantReport) -> Result<(), OrderError> {
        let ready = self.held.get(&grant.version).is_some_and(|held| held.ready <= Instant::now());
        if !ready {
            return Err(OrderError::NotStaged { version: grant.version });
        }
        match self.grants.back_mut() {
            Some(last) if last.version == grant.version => {
                last.through_step = last.through_step.max(grant.through_step);
            }
            Some(last) if last.through_step >= grant.through_step => {}
            _ => self.grants.push_back(grant),
        }
        Ok(())
    }

    /// Whether a map is in use or granted.
    pub(super) fn is_needed(&self, version: u64) -> bool {
        let mut needed = self.used.iter().chain(&self.grants);
        needed.any(|grant| grant.version == version)
    }

    /// Forgets the map that was staged first, if too many are held.
    pub(super) fn make_room(&mut self) {
        if self.held.len() < MAX_HELD_MAPS {
            return;
        }
        let oldest = self.held.keys().copied().find(|version| !self.is_needed(*version));
        if let Some(version) = oldest {
            self.held.shift_remove(&version);
        }
    }

    pub(super) fn staged(&self, now: Instant) -> Vec<u64> {
        let ready = self.held.iter().filter(|(_, held)| held.ready <= now);
        ready.map(|(version, _)| *version).collect()
    }

    pub(super) fn swap_weights(&mut self, now: Instant) {
        let loaded = self.next_weights.take_if(|(_, ready)| *ready <= now);
        if let Some((version, _)) = loaded {
            self.weights_version = version;
        }
    }
}
