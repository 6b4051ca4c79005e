//! Messages of entries, judged by whose attempt they name.

use super::border::AgentAction;
use super::core::AgentCore;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{TeamDemand, ToAgent, ToEntry};
use crate::time::Now;

impl AgentCore {
    pub(super) fn message(
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
        if self.mechanisms.owner_check && is_foreign(entry, &message) {
            self.counters.foreign_messages += 1;
            return;
        }
        match message {
            ToAgent::Submit(submit) => self.submit(now, link, *submit, actions),
            ToAgent::Attach { attempt, agent, next_chunk } => {
                self.attach(now, link, attempt, agent, next_chunk, actions);
            }
            ToAgent::Revoke { attempt, agent, deadline, next_chunk } => {
                let revoke = super::recover::Revocation { attempt, agent, deadline, next_chunk };
                self.revoke(now, link, revoke, actions);
            }
            ToAgent::Cancel { attempt } => self.cancel(now, attempt, actions),
            ToAgent::Received { attempt, next_chunk } => self.received(now, attempt, next_chunk),
            ToAgent::Heartbeat { nonce, .. } => self.heartbeat(now, link, nonce, actions),
            ToAgent::Demand(demands) => self.sum_demand(now, link, entry, &demands, actions),
        }
    }

    fn heartbeat(&self, now: Now, link: LinkId, nonce: u64, actions: &mut Vec<AgentAction>) {
        let message = ToEntry::HeartbeatAck { nonce, stamp: self.stamp, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    fn sum_demand(
        &mut self,
        now: Now,
        link: LinkId,
        entry: Incarnation,
        demands: &[TeamDemand],
        actions: &mut Vec<AgentAction>,
    ) {
        self.demand.report(now, entry, demands);
        let message = ToEntry::Totals(self.demand.totals(now, demands));
        actions.push(AgentAction::Send { link, message });
    }
}

/// Whether a message names an attempt of another entry than the one at the end of the link. Such a
/// message could cancel a stranger's attempt or draw its answer to itself.
fn is_foreign(entry: Incarnation, message: &ToAgent) -> bool {
    attempt_of(message).is_some_and(|attempt| attempt.request.entry != entry)
}

fn attempt_of(message: &ToAgent) -> Option<AttemptId> {
    match message {
        ToAgent::Submit(submit) => Some(submit.attempt),
        ToAgent::Attach { attempt, .. }
        | ToAgent::Revoke { attempt, .. }
        | ToAgent::Cancel { attempt }
        | ToAgent::Received { attempt, .. } => Some(*attempt),
        ToAgent::Heartbeat { .. } | ToAgent::Demand(_) => None,
    }
}
