//! Limits the loads of the engine beside this agent to a fair share of the weight store's
//! bandwidth.
//!
//! The configuration document sets the total bandwidth, which all engines share equally.

use hickorycross_config::{BackendKind, BackendServerId, Document, ModelGroup};
use hickorycross_core::Now;
use hickorycross_core::group::{
    ExpertMap, GroupMember, LOAD_TIME_BUDGET_MS, StageDecision, StageEvent, StageGate,
    max_loads_within, missing_experts,
};
use hickorycross_core::group::{GroupEvent, MapRef};
use hickorycross_core::placement::{ServerLoadCap, WeightLoaderSettings};
use std::ops::Range;

/// The share of the weight store's bandwidth that a document grants to each agent of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoreShare {
    loader: WeightLoaderSettings,
    ranks_per_server: u16,
}

impl StoreShare {
    /// Computes the share of each agent of `group`.
    pub(crate) fn new(document: &Document, group: &ModelGroup) -> Self {
        let is_engine = |kind| kind == BackendKind::Engine;
        let servers = document.backend_servers.iter();
        let engines = servers.filter(|server| is_engine(server.kind)).count();
        let loader = WeightLoaderSettings {
            store_bytes_per_s: document.balance.weight_store_bytes_per_s,
            agents: u32::try_from(engines).unwrap_or(u32::MAX),
            expert_bytes: group.expert_bytes,
        };
        Self { loader, ranks_per_server: group.ranks_per_server }
    }

    /// Returns the rate at which one agent may load, in bytes per second.
    pub(crate) fn share_bytes_per_s(&self) -> u64 {
        self.loader.share_bytes_per_s()
    }

    /// Returns how many experts one agent can load before a change of maps is abandoned.
    pub(crate) fn server_load_cap(&self) -> ServerLoadCap {
        let max_loads = max_loads_within(&self.loader, LOAD_TIME_BUDGET_MS);
        ServerLoadCap {
            ranks_per_server: self.ranks_per_server,
            max_loads: u32::try_from(max_loads).unwrap_or(u32::MAX),
        }
    }
}

/// Paces the loads of the engine beside this agent.
pub(crate) struct LoadPacer {
    gate: StageGate,
    /// Ranks that the engine hosts.
    ranks: Range<u16>,
    seed: u64,
}

impl LoadPacer {
    /// Creates a pacer for a group. `seed` determines the jitter of retries after refusals.
    pub(crate) fn new(
        store_share: StoreShare,
        group: &ModelGroup,
        own_server: &BackendServerId,
        seed: u64,
    ) -> Self {
        Self {
            gate: StageGate::new(store_share.loader, seed),
            ranks: local_ranks(group, own_server),
            seed,
        }
    }

    /// Applies the settings of another document.
    pub(crate) fn update(
        &mut self,
        now: Now,
        store_share: StoreShare,
        group: &ModelGroup,
        own_server: &BackendServerId,
    ) {
        self.ranks = local_ranks(group, own_server);
        if self.gate.settings() != store_share.loader {
            self.gate.update_settings(now, store_share.loader, self.seed);
        }
    }

    /// Decides whether an order to load a map may be sent to the engine now.
    pub(crate) fn check_order(
        &mut self,
        now: Now,
        member: &GroupMember,
        map: &ExpertMap,
    ) -> StageDecision {
        let reference = map.reference();
        if member.is_needed_now(reference) {
            return self.gate.bypass();
        }
        let loads = missing_experts(self.ranks.clone(), member.loaded_maps(), map);
        self.gate.request(now, reference, loads)
    }

    /// Advances the clock. Returns the event to pass to the member, if there is one.
    pub(crate) fn tick(&mut self, now: Now) -> Option<GroupEvent> {
        let event = match self.gate.tick(now)? {
            StageEvent::Due(map) => GroupEvent::EngineStageDue(map),
            StageEvent::Abandoned(map) => GroupEvent::EngineStageFailed(map),
        };
        Some(event)
    }

    /// Records that the engine has loaded a map.
    pub(crate) fn on_staged(&mut self, map: MapRef) {
        self.gate.on_loaded(map);
    }

    /// Records that the engine failed to load a map. Returns the event to pass to the member.
    pub(crate) fn on_stage_failed(&mut self, now: Now, map: MapRef) -> GroupEvent {
        if self.gate.on_load_failed(now, map) {
            GroupEvent::EngineStageDeferred(map)
        } else {
            GroupEvent::EngineStageFailed(map)
        }
    }
}

/// Returns the ranks that a backend server hosts, which are none if it is not in the group.
fn local_ranks(group: &ModelGroup, own_server: &BackendServerId) -> Range<u16> {
    let position = group.backend_servers.iter().position(|server| server == own_server);
    let index = position.and_then(|position| u16::try_from(position).ok());
    let first = index.map(|index| index.saturating_mul(group.ranks_per_server));
    first.map_or(0..0, |first| first..first.saturating_add(group.ranks_per_server))
}
