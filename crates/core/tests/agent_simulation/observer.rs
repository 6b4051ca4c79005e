//! Checks the invariants of an agent's actions from outside.

use crate::agent_harness::KEY_HORIZON_MS;
use bytes::Bytes;
use hickorycross_core::agent::{AgentAction, AgentEvent};
use hickorycross_core::audit::Change;
use hickorycross_core::message::{
    KeyDigest, RefusalReason, RevokeOutcome, Submit, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, Now, UnixMs, Verdict};
use indexmap::{IndexMap, IndexSet};

/// Independent record of the events and actions of an agent.
#[derive(Default)]
pub(crate) struct Observer {
    slots: u32,
    submits: IndexMap<AttemptId, Submit>,
    runs: IndexMap<AttemptId, Run>,
    /// Attempts reported as not run.
    not_run: IndexSet<AttemptId>,
    key_uses: IndexMap<KeyDigest, KeyUse>,
    /// Chunks of an attempt's response that its entry has received.
    held: IndexMap<AttemptId, IndexMap<u32, Bytes>>,
    /// Attempts reported as accepted.
    accepted: IndexSet<AttemptId>,
    draining: bool,
    drained: u32,
}

/// The latest run of a key.
struct KeyUse {
    content: u64,
    free_at: UnixMs,
}

struct Run {
    chunks: Vec<Bytes>,
    ended: bool,
}

impl Observer {
    pub(crate) fn new(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    pub(crate) fn starts(&self) -> usize {
        self.runs.len()
    }

    /// Returns the index of the first chunk that the entry has not received.
    pub(crate) fn next_missing_chunk(&self, attempt: AttemptId) -> u32 {
        let Some(held) = self.held.get(&attempt) else { return 0 };
        (0..).find(|index| !held.contains_key(index)).unwrap_or(0)
    }

    /// Returns the next chunk of a run; every chunk has unique content.
    pub(crate) fn next_chunk_of(&self, run: AttemptId) -> Bytes {
        Bytes::from(format!("{run}/{}", self.runs[&run].chunks.len()))
    }

    /// Records an event before the agent handles it.
    pub(crate) fn observe_event(&mut self, now: Now, event: &AgentEvent) {
        match event {
            AgentEvent::Message { message: ToAgent::Submit(submit), .. } => {
                self.submits.entry(submit.attempt).or_insert_with(|| (**submit).clone());
            }
            AgentEvent::BackendChunk { attempt, bytes } => {
                self.runs[attempt].chunks.push(bytes.clone());
            }
            AgentEvent::BackendEnd { attempt } => self.end_run(now, *attempt, Verdict::Ran),
            AgentEvent::BackendFailed { attempt, verdict, .. } => {
                let answered = !self.runs[attempt].chunks.is_empty();
                let verdict = if answered { Verdict::Ran } else { *verdict };
                self.end_run(now, *attempt, verdict);
            }
            AgentEvent::Drain => self.draining = true,
            _ => {}
        }
    }

    pub(crate) fn observe_action(&mut self, now: Now, action: &AgentAction) {
        match action {
            AgentAction::Start { attempt, deadline, .. } => self.start(now, *attempt, *deadline),
            AgentAction::Send { message, .. } => self.message(now, message),
            AgentAction::Audit(record) => {
                let violated = matches!(record.change, Change::InvariantViolated { .. });
                assert!(!violated, "{record:?}");
            }
            AgentAction::Drained => {
                assert!(self.runs.values().all(|run| run.ended), "drained while running");
                self.drained += 1;
            }
            AgentAction::Abort { attempt } => assert!(!self.runs[attempt].ended, "abort after end"),
        }
    }

    pub(crate) fn check_finished(&self) {
        assert_eq!(self.drained, 1, "drained exactly once");
        assert!(self.runs.values().all(|run| run.ended));
    }

    fn start(&mut self, now: Now, attempt: AttemptId, deadline: UnixMs) {
        let running = self.runs.values().filter(|run| !run.ended).count() as u32;
        let submit = &self.submits[&attempt];
        assert!(running < self.slots, "more running requests than slots");
        assert_eq!(deadline, submit.deadline);
        assert!(now.unix_ms < deadline, "{attempt} started after its deadline");
        assert!(
            !self.not_run.contains(&attempt),
            "{attempt} started after it was reported as not run"
        );
        assert!(!self.draining, "{attempt} started while draining");
        assert!(self.accepted.contains(&attempt), "{attempt} started without being accepted");
        if let Some(key) = submit.key.filter(|_| !submit.idempotent) {
            let running = KeyUse { content: submit.content, free_at: UnixMs::NEVER };
            let before = self.key_uses.insert(key, running);
            let free = before.is_none_or(|before| before.free_at <= now.unix_ms);
            assert!(free, "the key of {attempt} ran twice");
        }
        let run = Run { chunks: Vec::new(), ended: false };
        assert!(self.runs.insert(attempt, run).is_none(), "{attempt} started twice");
    }

    fn end_run(&mut self, now: Now, attempt: AttemptId, verdict: Verdict) {
        self.runs[&attempt].ended = true;
        let Some(key) = self.submits[&attempt].key else { return };
        let horizon_ms = if verdict == Verdict::NotRun { 0 } else { KEY_HORIZON_MS };
        self.key_uses[&key].free_at = now.after(horizon_ms.into());
    }

    fn message(&mut self, now: Now, message: &ToEntry) {
        match message {
            ToEntry::Accepted { attempt, .. } => {
                self.accepted.insert(*attempt);
            }
            ToEntry::Refused { attempt, reason, .. } => {
                let other_incarnation = *reason == RefusalReason::WrongIncarnation;
                assert!(
                    other_incarnation || !self.runs.contains_key(attempt),
                    "{attempt} ran but was reported as not run"
                );
                if self.not_run.insert(*attempt) {
                    self.check_key_unused(now, *attempt, *reason);
                }
            }
            ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned } => {
                assert!(
                    !self.runs.contains_key(attempt),
                    "{attempt} ran but was reported as not run"
                );
                self.not_run.insert(*attempt);
            }
            ToEntry::Failed { attempt, verdict: Verdict::NotRun, .. } => {
                let ended = |run: &Run| run.ended && run.chunks.is_empty();
                assert!(
                    self.runs_of(*attempt).any(ended),
                    "{attempt} may have run but was reported as not run"
                );
            }
            ToEntry::Chunk { attempt, index, bytes } => self.chunk(*attempt, *index, bytes),
            ToEntry::End { attempt, chunk_count, byte_count, .. } => {
                let is_complete = self.runs_of(*attempt).any(|run| {
                    let bytes: u64 = run.chunks.iter().map(|chunk| chunk.len() as u64).sum();
                    run.ended && run.chunks.len() == *chunk_count as usize && bytes == *byte_count
                });
                assert!(is_complete, "{attempt} got an end marker without a complete response");
            }
            _ => {}
        }
    }

    /// Checks that a refusal for the agent's state, which reports the request as not run under any
    /// attempt, does not concern a used key.
    fn check_key_unused(&self, now: Now, attempt: AttemptId, reason: RefusalReason) {
        let of_state = matches!(
            reason,
            RefusalReason::QueueFull | RefusalReason::Leaving | RefusalReason::BackendDown
        );
        let Some(submit) = self.submits.get(&attempt).filter(|submit| !submit.idempotent) else {
            return;
        };
        let key_use = submit.key.and_then(|key| self.key_uses.get(&key));
        let used = key_use
            .is_some_and(|used| used.content == submit.content && used.free_at > now.unix_ms);
        assert!(
            !of_state || !used,
            "{reason:?}: the request of {attempt} was run under another attempt"
        );
    }

    /// Checks that a chunk belongs to a run of this request and never changes.
    fn chunk(&mut self, attempt: AttemptId, index: u32, bytes: &Bytes) {
        let is_known =
            self.runs_of(attempt).any(|run| run.chunks.get(index as usize) == Some(bytes));
        assert!(is_known, "{attempt} got a chunk of another request");
        let held = self.held.entry(attempt).or_default();
        let before = held.insert(index, bytes.clone());
        assert!(
            before.is_none_or(|before| before == *bytes),
            "{attempt} got two different chunks with one index"
        );
    }

    /// Returns the attempt's own run, and the runs of the same request with the same key.
    fn runs_of(&self, attempt: AttemptId) -> impl Iterator<Item = &Run> {
        let own = self.submits.get(&attempt);
        self.runs
            .iter()
            .filter(move |(run, _)| {
                let other = &self.submits[*run];
                let same_key = own.is_some_and(|own| own.key.is_some() && own.key == other.key);
                let same_content = own.is_some_and(|own| own.content == other.content);
                **run == attempt || (same_key && same_content)
            })
            .map(|(_, run)| run)
    }
}
