//! Dispatch of messages from entries.

use super::core::AgentCore;
use super::interface::AgentAction;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{TeamDemand, ToAgent, ToEntry};
use crate::time::Now;

impl AgentCore {
    pub(super) fn dispatch(
        &mut self,
        now: Now,
        link: LinkId,
        message: ToAgent,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(entry) = self.links.get(&link).copied() else {
            self.counters.foreign_messages += 1;
            return;
        };
        if self.mechanisms.owner_check && names_foreign_attempt(entry, &message) {
            self.counters.foreign_messages += 1;
            return;
        }
        match message {
            ToAgent::Submit(submit) => self.handle_submit(now, link, *submit, actions),
            ToAgent::Attach { attempt, agent, next_chunk } => {
                self.handle_attach(now, link, attempt, agent, next_chunk, actions);
            }
            ToAgent::Revoke { attempt, agent, deadline, next_chunk } => {
                let revoke = super::recovery::Revocation { attempt, agent, deadline, next_chunk };
                self.handle_revoke(now, link, revoke, actions);
            }
            ToAgent::Cancel { attempt } => self.handle_cancel(now, attempt, actions),
            ToAgent::Received { attempt, next_chunk } => self.acknowledge(now, attempt, next_chunk),
            ToAgent::Heartbeat { nonce, .. } => self.handle_heartbeat(now, link, nonce, actions),
            ToAgent::Demand(demands) => self.handle_demand(now, link, entry, &demands, actions),
            ToAgent::HolderReport(report) => {
                self.handle_holder_report(now, &report, actions);
            }
        }
    }

    fn handle_heartbeat(&self, now: Now, link: LinkId, nonce: u64, actions: &mut Vec<AgentAction>) {
        let message = ToEntry::HeartbeatAck { nonce, stamp: self.stamp, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    fn handle_demand(
        &mut self,
        now: Now,
        link: LinkId,
        entry: Incarnation,
        demands: &[TeamDemand],
        actions: &mut Vec<AgentAction>,
    ) {
        self.demand.record(now, entry, demands);
        let message = ToEntry::Totals(self.demand.totals(now, demands));
        actions.push(AgentAction::Send { link, message });
    }
}

/// Returns whether a message names an attempt of an entry other than the one on this link.
///
/// Such a message could cancel another entry's attempt or divert its response.
fn names_foreign_attempt(entry: Incarnation, message: &ToAgent) -> bool {
    attempt_of(message).is_some_and(|attempt| attempt.request.entry != entry)
}

fn attempt_of(message: &ToAgent) -> Option<AttemptId> {
    match message {
        ToAgent::Submit(submit) => Some(submit.attempt),
        ToAgent::Attach { attempt, .. }
        | ToAgent::Revoke { attempt, .. }
        | ToAgent::Cancel { attempt }
        | ToAgent::Received { attempt, .. } => Some(*attempt),
        ToAgent::Heartbeat { .. } | ToAgent::Demand(_) | ToAgent::HolderReport(_) => None,
    }
}
