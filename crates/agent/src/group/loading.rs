//! The agent's fair share of the weight store, as the document sets it.

use hickorycross_config::{BackendKind, BackendServerId, Document, ModelGroup};
use hickorycross_core::Now;
use hickorycross_core::group::{
    ExpertMap, GroupMember, LOAD_TIME_BUDGET_MS, StageDecision, StageEvent, StageGate,
    max_loads_within, missing_experts,
};
use hickorycross_core::group::{GroupEvent, MapRef};
use hickorycross_core::placement::{ServerLoadCap, WeightLoaderSettings};
use std::ops::Range;

/// What a document lets the agents of a group load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StorePace {
    loader: WeightLoaderSettings,
    ranks_per_server: u16,
}

impl StorePace {
    pub(crate) fn of(document: &Document, group: &ModelGroup) -> Self {
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

    /// Bytes a second that one agent may load.
    pub(crate) fn share_bytes_per_s(&self) -> u64 {
        self.loader.share_bytes_per_s()
    }

    /// What one agent can load before a change is abandoned.
    pub(crate) fn server_cap(&self) -> ServerLoadCap {
        let max_loads = max_loads_within(&self.loader, LOAD_TIME_BUDGET_MS);
        ServerLoadCap {
            ranks_per_server: self.ranks_per_server,
            max_loads: u32::try_from(max_loads).unwrap_or(u32::MAX),
        }
    }
}

/// The loads of the engine beside this agent.
pub(crate) struct Loading {
    gate: StageGate,
    ranks: Range<u16>,
    seed: u64,
}

impl Loading {
    /// Begins for a group. The seed fixes the jitter after refusals.
    pub(crate) fn new(
        pace: StorePace,
        group: &ModelGroup,
        own: &BackendServerId,
        seed: u64,
    ) -> Self {
        Self { gate: StageGate::new(pace.loader, seed), ranks: local_ranks(group, own), seed }
    }

    /// Follows another document.
    pub(crate) fn adopt(
        &mut self,
        now: Now,
        pace: StorePace,
        group: &ModelGroup,
        own: &BackendServerId,
    ) {
        self.ranks = local_ranks(group, own);
        if self.gate.settings() != pace.loader {
            self.gate.update_settings(now, pace.loader, self.seed);
        }
    }

    /// Judges the order to load a map.
    pub(crate) fn ask(&mut self, now: Now, member: &GroupMember, map: &ExpertMap) -> StageDecision {
        let reference = map.reference();
        if member.is_needed_now(reference) {
            return self.gate.bypass();
        }
        let loads = missing_experts(self.ranks.clone(), member.loaded_maps(), map);
        self.gate.request(now, reference, loads)
    }

    /// Lets time pass; gives what the member has to know.
    pub(crate) fn tick(&mut self, now: Now) -> Option<GroupEvent> {
        let event = match self.gate.tick(now)? {
            StageEvent::Due(map) => GroupEvent::EngineStageDue(map),
            StageEvent::Abandoned(map) => GroupEvent::EngineStageFailed(map),
        };
        Some(event)
    }

    /// The engine has loaded a map.
    pub(crate) fn staged(&mut self, map: MapRef) {
        self.gate.on_loaded(map);
    }

    /// The engine could not load a map; gives what the member has to know.
    pub(crate) fn failed(&mut self, now: Now, map: MapRef) -> GroupEvent {
        if self.gate.on_load_failed(now, map) {
            GroupEvent::EngineStageDeferred(map)
        } else {
            GroupEvent::EngineStageFailed(map)
        }
    }
}

/// Ranks on a server; none where the group does not name it.
fn local_ranks(group: &ModelGroup, own: &BackendServerId) -> Range<u16> {
    let place = group.backend_servers.iter().position(|server| server == own);
    let first = place.and_then(|place| u16::try_from(place).ok());
    let first = first.map(|place| place.saturating_mul(group.ranks_per_server));
    first.map_or(0..0, |first| first..first.saturating_add(group.ranks_per_server))
}
