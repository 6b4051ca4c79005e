//! Load and state that an agent reports.

use super::core::AgentCore;
use super::snapshot::{AgentSnapshot, DrainState, UnknownKeys};
use crate::message::{AgentState, Load};
use crate::time::Now;
use hickorycross_config::BackendServer;

impl AgentCore {
    /// Returns the current state, for status views.
    #[must_use]
    pub fn snapshot(&self, now: Now) -> AgentSnapshot {
        let routes = self.document.iter().flat_map(|document| &document.routes);
        let unknown_keys = routes.filter(|route| !route.idempotent).filter_map(|route| {
            let until = self.homes.unknown_until(&route.id)?;
            (!until.is_past(now)).then(|| UnknownKeys { route: route.id.clone(), until })
        });
        AgentSnapshot {
            stamp: self.stamp,
            load: self.load(now),
            links: self.links.len() as u32,
            attempts: self.attempts.len() as u32,
            answers: self.executions.len() as u32,
            retained_bytes: self.retained_bytes,
            keys: self.keys.len() as u64,
            unknown_keys: unknown_keys.collect(),
            drain: self.drain,
        }
    }

    /// Returns this agent's backend server as described in the document; none without a document or
    /// when the document does not name it.
    pub(super) fn backend(&self) -> Option<&BackendServer> {
        self.document.as_ref()?.backend(self.identity.backend_server.as_str())
    }

    /// Returns the number of requests that the backend server may run at once.
    pub(super) fn slots(&self) -> u32 {
        self.backend().map_or(0, |backend| backend.slots)
    }

    pub(super) fn free_slots(&self) -> u32 {
        self.slots().saturating_sub(self.running.len() as u32)
    }

    /// Returns the current load.
    pub(super) fn load(&self, now: Now) -> Load {
        Load {
            sampled: now.unix_ms,
            state: self.state(),
            running: self.running.len() as u32,
            slots: self.slots(),
            waiting: self.queue.waiting_by_rank(),
            service_ms: self.service.smoothed_ms(),
        }
    }

    fn state(&self) -> AgentState {
        match (self.drain, self.healthy) {
            (DrainState::Serving, true) => AgentState::Serving,
            (DrainState::Serving, false) => AgentState::BackendDown,
            (DrainState::Draining | DrainState::Drained, _) => AgentState::Leaving,
        }
    }
}
