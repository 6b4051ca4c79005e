//! What must hold of an agent's actions, judged from outside.

use crate::agent_rig::KEY_HORIZON_MS;
use bytes::Bytes;
use hickorycross_core::agent::{AgentAction, AgentEvent};
use hickorycross_core::audit::Change;
use hickorycross_core::message::{
    KeyDigest, RefusalReason, RevokeOutcome, Submit, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, Now, UnixMs, Verdict};
use indexmap::{IndexMap, IndexSet};

/// The observer's own books.
#[derive(Default)]
pub(crate) struct Observer {
    slots: u32,
    submits: IndexMap<AttemptId, Submit>,
    runs: IndexMap<AttemptId, Run>,
    /// Attempts of which an entry was told that they did not run and will not.
    not_run: IndexSet<AttemptId>,
    key_uses: IndexMap<KeyDigest, KeyUse>,
    /// Pieces that an entry holds of an attempt's answer.
    held: IndexMap<AttemptId, IndexMap<u32, Bytes>>,
    /// Attempts whose fate an entry was told.
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
    pieces: Vec<Bytes>,
    over: bool,
}

impl Observer {
    pub(crate) fn new(slots: u32) -> Self {
        Self { slots, ..Self::default() }
    }

    pub(crate) fn starts(&self) -> usize {
        self.runs.len()
    }

    /// The first piece that the entry does not hold.
    pub(crate) fn held_by_entry(&self, attempt: AttemptId) -> u32 {
        let Some(held) = self.held.get(&attempt) else { return 0 };
        (0..).find(|index| !held.contains_key(index)).unwrap_or(0)
    }

    /// Makes the next piece of a run, unlike any other piece.
    pub(crate) fn next_piece(&self, run: AttemptId) -> Bytes {
        Bytes::from(format!("{run}/{}", self.runs[&run].pieces.len()))
    }

    /// Notes an event before the agent handles it.
    pub(crate) fn before(&mut self, now: Now, event: &AgentEvent) {
        match event {
            AgentEvent::Message { message: ToAgent::Submit(submit), .. } => {
                self.submits.entry(submit.attempt).or_insert_with(|| (**submit).clone());
            }
            AgentEvent::BackendChunk { attempt, bytes } => {
                self.runs[attempt].pieces.push(bytes.clone());
            }
            AgentEvent::BackendEnd { attempt } => self.end_run(now, *attempt, Verdict::Ran),
            AgentEvent::BackendFailed { attempt, verdict, .. } => {
                let answered = !self.runs[attempt].pieces.is_empty();
                let verdict = if answered { Verdict::Ran } else { *verdict };
                self.end_run(now, *attempt, verdict);
            }
            AgentEvent::Drain => self.draining = true,
            _ => {}
        }
    }

    pub(crate) fn see(&mut self, now: Now, action: &AgentAction) {
        match action {
            AgentAction::Start { attempt, deadline, .. } => self.start(now, *attempt, *deadline),
            AgentAction::Send { message, .. } => self.message(now, message),
            AgentAction::Audit(record) => {
                let violated = matches!(record.change, Change::InvariantViolated { .. });
                assert!(!violated, "{record:?}");
            }
            AgentAction::Drained => {
                assert!(self.runs.values().all(|run| run.over), "drained while running");
                self.drained += 1;
            }
            AgentAction::Abort { attempt } => assert!(!self.runs[attempt].over, "abort too late"),
        }
    }

    pub(crate) fn check_finished(&self) {
        assert_eq!(self.drained, 1, "drained exactly once");
        assert!(self.runs.values().all(|run| run.over));
    }

    fn start(&mut self, now: Now, attempt: AttemptId, deadline: UnixMs) {
        let running = self.runs.values().filter(|run| !run.over).count() as u32;
        let submit = &self.submits[&attempt];
        assert!(running < self.slots, "more than the slots");
        assert_eq!(deadline, submit.deadline);
        assert!(now.unix_ms < deadline, "{attempt} started after its deadline");
        assert!(!self.not_run.contains(&attempt), "{attempt} was said not to run");
        assert!(!self.draining, "{attempt} started while draining");
        assert!(self.accepted.contains(&attempt), "{attempt} was not accepted");
        if let Some(key) = submit.key.filter(|_| !submit.idempotent) {
            let running = KeyUse { content: submit.content, free_at: UnixMs::NEVER };
            let before = self.key_uses.insert(key, running);
            let free = before.is_none_or(|before| before.free_at <= now.unix_ms);
            assert!(free, "the key of {attempt} ran before");
        }
        let run = Run { pieces: Vec::new(), over: false };
        assert!(self.runs.insert(attempt, run).is_none(), "{attempt} started twice");
    }

    fn end_run(&mut self, now: Now, attempt: AttemptId, verdict: Verdict) {
        self.runs[&attempt].over = true;
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
                let other_life = *reason == RefusalReason::WrongIncarnation;
                assert!(other_life || !self.runs.contains_key(attempt), "{attempt} did run");
                if self.not_run.insert(*attempt) {
                    self.check_key_unused(now, *attempt, *reason);
                }
            }
            ToEntry::Revoked { attempt, outcome: RevokeOutcome::Tombstoned } => {
                assert!(!self.runs.contains_key(attempt), "{attempt} did run");
                self.not_run.insert(*attempt);
            }
            ToEntry::Failed { attempt, verdict: Verdict::NotRun, .. } => {
                let over = |run: &Run| run.over && run.pieces.is_empty();
                assert!(self.runs_of(*attempt).any(over), "{attempt} may have run");
            }
            ToEntry::Chunk { attempt, index, bytes } => self.chunk(*attempt, *index, bytes),
            ToEntry::End { attempt, chunk_count, byte_count, .. } => {
                let whole = self.runs_of(*attempt).any(|run| {
                    let bytes: u64 = run.pieces.iter().map(|piece| piece.len() as u64).sum();
                    run.over && run.pieces.len() == *chunk_count as usize && bytes == *byte_count
                });
                assert!(whole, "{attempt} was not whole");
            }
            _ => {}
        }
    }

    /// A refusal for the agent's state says that the request was not run, under no attempt.
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

    /// A piece must be that piece of a run of this very request, and always the same one.
    fn chunk(&mut self, attempt: AttemptId, index: u32, bytes: &Bytes) {
        let known = self.runs_of(attempt).any(|run| run.pieces.get(index as usize) == Some(bytes));
        assert!(known, "{attempt} got a stranger's piece");
        let held = self.held.entry(attempt).or_default();
        let before = held.insert(index, bytes.clone());
        assert!(before.is_none_or(|before| before == *bytes), "{attempt} got two answers");
    }

    /// The attempt's own run, and those of its key for the same request.
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
