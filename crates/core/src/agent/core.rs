//! The agent's core: one event in, actions out.

use super::attempt::{Attempt, Stage};
use super::border::{AgentAction, AgentEvent};
use super::identity::AgentIdentity;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{AgentState, Load, RefusalReason, Submit, ToAgent, ToEntry};
use crate::time::Now;
use crate::verdict::Verdict;
use hickorycross_config::{Document, Stamp};
use indexmap::IndexMap;
use std::sync::Arc;

/// The decisions of one agent.
#[derive(Debug)]
pub struct AgentCore {
    identity: AgentIdentity,
    stamp: Stamp,
    document: Option<Arc<Document>>,
    links: IndexMap<LinkId, Incarnation>,
    attempts: IndexMap<AttemptId, Attempt>,
    leaving: bool,
    drained: bool,
    healthy: bool,
}

impl AgentCore {
    /// An agent that has adopted nothing yet. `seed` feeds every random choice.
    #[must_use]
    pub fn new(identity: AgentIdentity, _seed: u64) -> Self {
        Self {
            identity,
            stamp: Stamp::NONE,
            document: None,
            links: IndexMap::new(),
            attempts: IndexMap::new(),
            leaving: false,
            drained: false,
            healthy: true,
        }
    }

    /// Handles one event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Tick => {}
            AgentEvent::Adopted { stamp, document } => {
                self.stamp = stamp;
                self.document = Some(document);
            }
            AgentEvent::LinkOpened { link, entry } => {
                self.links.insert(link, entry);
            }
            AgentEvent::LinkClosed { link } => {
                self.links.shift_remove(&link);
            }
            AgentEvent::Message { link, message } => self.message(now, link, message, actions),
            AgentEvent::BackendHead { attempt, head } => {
                self.reply(attempt, ToEntry::Head { attempt, head }, actions);
            }
            AgentEvent::BackendChunk { attempt, bytes } => self.chunk(attempt, bytes, actions),
            AgentEvent::BackendEnd { attempt } => self.end(now, attempt, actions),
            AgentEvent::BackendFailed { attempt, verdict, detail } => {
                self.failed(attempt, verdict, detail, actions);
            }
            AgentEvent::BackendHealth { healthy } => self.healthy = healthy,
            AgentEvent::Drain => self.leaving = true,
        }
        self.start_queued(now, actions);
        self.finish_drain(actions);
    }

    fn message(
        &mut self,
        now: Now,
        link: LinkId,
        message: ToAgent,
        actions: &mut Vec<AgentAction>,
    ) {
        match message {
            ToAgent::Submit(submit) => self.submit(now, link, *submit, actions),
            ToAgent::Heartbeat { nonce, .. } => {
                let load = self.load(now);
                let message = ToEntry::HeartbeatAck { nonce, stamp: self.stamp, load };
                actions.push(AgentAction::Send { link, message });
            }
            _ => {}
        }
    }

    fn submit(&mut self, now: Now, link: LinkId, submit: Submit, actions: &mut Vec<AgentAction>) {
        let attempt = submit.attempt;
        let load = self.load(now);
        let message = match self.refusal(now, &submit) {
            Some(reason) => ToEntry::Refused { attempt, reason, retry_at: None, load },
            None => {
                self.attempts.entry(attempt).or_insert_with(|| Attempt::queued(link, submit));
                ToEntry::Accepted { attempt, load }
            }
        };
        actions.push(AgentAction::Send { link, message });
    }

    fn refusal(&self, now: Now, submit: &Submit) -> Option<RefusalReason> {
        if submit.agent != self.identity.incarnation {
            return Some(RefusalReason::WrongIncarnation);
        }
        if submit.deadline.is_past(now) {
            return Some(RefusalReason::Expired);
        }
        if self.leaving {
            return Some(RefusalReason::Leaving);
        }
        if !self.healthy {
            return Some(RefusalReason::BackendDown);
        }
        let known = self.document.as_ref().is_some_and(|document| {
            document.route(submit.route.as_str()).is_some()
                && document.tier(submit.tier.as_str()).is_some()
        });
        (!known).then_some(RefusalReason::UnknownRoute)
    }

    fn start_queued(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let mut free = self.slots().saturating_sub(self.running());
        for (id, attempt) in &mut self.attempts {
            if free == 0 {
                return;
            }
            let Stage::Queued(submit) = &attempt.stage else { continue };
            if submit.deadline.is_past(now) {
                continue;
            }
            let priority = self
                .document
                .as_ref()
                .and_then(|document| document.tier(submit.tier.as_str()))
                .map_or(u8::MAX, |tier| tier.rank);
            actions.push(AgentAction::Start {
                attempt: *id,
                head: submit.head.clone(),
                body: submit.body.clone(),
                deadline: submit.deadline,
                priority,
            });
            attempt.stage = Stage::Running { chunk_count: 0, byte_count: 0 };
            free -= 1;
        }
    }

    fn chunk(&mut self, attempt: AttemptId, bytes: bytes::Bytes, actions: &mut Vec<AgentAction>) {
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        let Stage::Running { chunk_count, byte_count } = &mut row.stage else { return };
        let index = *chunk_count;
        *chunk_count += 1;
        *byte_count += bytes.len() as u64;
        self.reply(attempt, ToEntry::Chunk { attempt, index, bytes }, actions);
    }

    fn end(&mut self, now: Now, attempt: AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        let Stage::Running { chunk_count, byte_count } = row.stage else { return };
        row.stage = Stage::Done;
        let load = self.load(now);
        self.reply(attempt, ToEntry::End { attempt, chunk_count, byte_count, load }, actions);
    }

    fn failed(
        &mut self,
        attempt: AttemptId,
        verdict: Verdict,
        detail: String,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        row.stage = Stage::Done;
        self.reply(attempt, ToEntry::Failed { attempt, verdict, detail }, actions);
    }

    fn reply(&self, attempt: AttemptId, message: ToEntry, actions: &mut Vec<AgentAction>) {
        let Some(row) = self.attempts.get(&attempt) else { return };
        actions.push(AgentAction::Send { link: row.link, message });
    }

    fn finish_drain(&mut self, actions: &mut Vec<AgentAction>) {
        if self.leaving && !self.drained && self.running() == 0 {
            self.drained = true;
            actions.push(AgentAction::Drained);
        }
    }

    fn running(&self) -> u32 {
        let running = |attempt: &&Attempt| matches!(attempt.stage, Stage::Running { .. });
        self.attempts.values().filter(running).count() as u32
    }

    fn slots(&self) -> u32 {
        self.document
            .as_ref()
            .and_then(|document| document.backend(self.identity.backend_server.as_str()))
            .map_or(0, |backend| backend.slots)
    }

    fn load(&self, now: Now) -> Load {
        let state = match (self.leaving, self.healthy) {
            (true, _) => AgentState::Leaving,
            (false, true) => AgentState::Serving,
            (false, false) => AgentState::BackendDown,
        };
        Load {
            sampled: now.unix_ms,
            state,
            running: self.running(),
            slots: self.slots(),
            waiting: Vec::new(),
            service_ms: 0,
        }
    }
}
