//! Graceful shutdown of an agent.

use super::core::AgentCore;
use super::interface::AgentAction;
use super::snapshot::DrainState;
use crate::audit::Change;
use crate::ids::AttemptId;
use crate::message::{RefusalReason, ToEntry};
use crate::time::Now;

impl AgentCore {
    /// Starts the drain: announces it on all links and refuses all queued attempts.
    pub(super) fn begin_drain(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        if self.drain != DrainState::Serving {
            return;
        }
        self.drain = DrainState::Draining;
        self.audit(now, Change::DrainBegun, actions);
        for link in self.links.keys() {
            actions.push(AgentAction::Send { link: *link, message: ToEntry::Leaving });
        }
        if self.mechanisms.refuse_queued_on_drain {
            self.refuse_all_queued(now, RefusalReason::Leaving, actions);
        }
    }

    /// Completes the drain once nothing runs and no entry may still fetch a response.
    pub(super) fn finish_drain(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        if self.drain != DrainState::Draining || !self.running.is_empty() {
            return;
        }
        let runs: Vec<AttemptId> = self.executions.keys().copied().collect();
        if !runs.into_iter().all(|run| self.is_settled(now, run)) {
            return;
        }
        self.drain = DrainState::Drained;
        self.audit(now, Change::DrainEnded, actions);
        actions.push(AgentAction::Drained);
    }
}
