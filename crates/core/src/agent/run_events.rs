//! Events of the backend server about a run, and what readers get of its answer.

use super::border::AgentAction;
use super::constants::{ACK_SETTLE_MS, ANSWER_RETENTION_MS, FALLBACK_KEY_HORIZON_MS};
use super::core::AgentCore;
use super::execution::{Execution, Outcome};
use crate::ids::AttemptId;
use crate::message::{ResponseHead, ToEntry};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use bytes::Bytes;

impl AgentCore {
    pub(super) fn backend_head(
        &mut self,
        run: AttemptId,
        head: ResponseHead,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(execution) = self.live_execution(run) else { return };
        execution.answer.head = Some(head.clone());
        self.tell_readers(run, actions, |attempt| ToEntry::Head { attempt, head: head.clone() });
    }

    pub(super) fn backend_chunk(
        &mut self,
        run: AttemptId,
        bytes: Bytes,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(execution) = self.live_execution(run) else { return };
        let index = execution.answer.push(bytes.clone());
        self.retained_bytes += bytes.len() as u64;
        self.tell_readers(run, actions, |attempt| {
            let bytes = bytes.clone();
            ToEntry::Chunk { attempt, index, bytes }
        });
        self.bound_retention(run);
    }

    pub(super) fn backend_end(&mut self, now: Now, run: AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(execution) = self.live_execution(run) else { return };
        execution.outcome = Some(Outcome::Whole);
        let occupied_ms = now.unix_ms.since(execution.started);
        self.counters.ended += 1;
        self.service.observe(occupied_ms);
        self.release_slot(now, run, Verdict::Ran, now.after(ANSWER_RETENTION_MS));
        if self.executions.get(&run).is_some_and(|execution| execution.replayable) {
            self.replayable.push_back(run);
        }
        let load = self.load(now);
        let Some(execution) = self.executions.get(&run) else { return };
        let chunk_count = execution.answer.chunk_count();
        let byte_count = execution.answer.byte_count();
        self.tell_readers(run, actions, |attempt| {
            let load = load.clone();
            ToEntry::End { attempt, chunk_count, byte_count, load }
        });
        self.prune(run);
    }

    pub(super) fn backend_failed(
        &mut self,
        now: Now,
        run: AttemptId,
        verdict: Verdict,
        detail: String,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(execution) = self.live_execution(run) else { return };
        // Once a piece of the answer has come, nothing can be said to have not run.
        let answered = execution.answer.head.is_some() || execution.answer.chunk_count() > 0;
        let verdict = if answered { verdict.max(Verdict::Ran) } else { verdict };
        execution.outcome = Some(Outcome::Failed { verdict, detail: detail.clone() });
        execution.replayable = false;
        self.counters.failed += 1;
        self.release_slot(now, run, verdict, now.after(ACK_SETTLE_MS));
        self.drop_chunks(run, u32::MAX);
        self.tell_readers(run, actions, |attempt| {
            let detail = detail.clone();
            ToEntry::Failed { attempt, verdict, detail }
        });
    }

    /// A run that is going on. Anything the backend server says of another is late.
    fn live_execution(&mut self, run: AttemptId) -> Option<&mut Execution> {
        if !self.running.contains(&run) {
            self.counters.late_backend_events += 1;
            return None;
        }
        self.executions.get_mut(&run)
    }

    fn release_slot(&mut self, now: Now, run: AttemptId, verdict: Verdict, settle_by: UnixMs) {
        self.running.swap_remove(&run);
        let Some(execution) = self.executions.get_mut(&run) else { return };
        let occupied_ms = now.unix_ms.since(execution.started);
        self.queue.settle(execution.rank, &execution.team, execution.charged_ms, occupied_ms);
        execution.settle_by = settle_by;
        let replayable = execution.replayable;
        let forget_at = self.forget_key_at(now, run);
        let retain_until = now.after(ANSWER_RETENTION_MS);
        let for_repeats = forget_at.filter(|_| replayable).unwrap_or_default();
        self.retain_until(run, retain_until.max(for_repeats));
        let key = self.executions.get(&run).and_then(|execution| execution.key);
        let (Some(key), Some(forget_at)) = (key, forget_at) else { return };
        self.keys.end(key, run, verdict, forget_at);
    }

    /// The end of a key's horizon, should its run end now.
    fn forget_key_at(&self, now: Now, run: AttemptId) -> Option<UnixMs> {
        let execution = self.executions.get(&run)?;
        execution.key?;
        let document = self.document.as_ref();
        let route = document.and_then(|document| document.route(execution.route.as_str()));
        let horizon_ms = route.map_or(FALLBACK_KEY_HORIZON_MS, |route| route.key_horizon_ms.into());
        Some(now.after(horizon_ms))
    }

    fn tell_readers(
        &self,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
        message: impl Fn(AttemptId) -> ToEntry,
    ) {
        let Some(execution) = self.executions.get(&run) else { return };
        for reader in &execution.readers {
            self.send_to(*reader, message(*reader), actions);
        }
    }

    /// Sends an answer to one reader again from a chunk on, as far as it has come.
    pub(super) fn resend(
        &mut self,
        now: Now,
        attempt: AttemptId,
        run: AttemptId,
        next_chunk: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        let load = self.load(now);
        let Some(execution) = self.executions.get_mut(&run) else { return };
        if let Some(Outcome::Failed { verdict, detail }) = execution.outcome.clone() {
            return self.send_to(attempt, ToEntry::Failed { attempt, verdict, detail }, actions);
        }
        if !execution.answer.holds_from(next_chunk) {
            return self.give_up_reader(attempt, run, actions);
        }
        if execution.outcome.is_some() {
            let settle_by = now.after(ANSWER_RETENTION_MS);
            execution.settle_by = execution.settle_by.max(settle_by);
            let retain_until = execution.retain_until.max(settle_by);
            self.retain_until(run, retain_until);
        }
        let answer = &self.executions[&run].answer;
        if let Some(head) = answer.head.clone() {
            self.send_to(attempt, ToEntry::Head { attempt, head }, actions);
        }
        for chunk in answer.from(next_chunk) {
            let (index, bytes) = (chunk.index, chunk.bytes.clone());
            self.send_to(attempt, ToEntry::Chunk { attempt, index, bytes }, actions);
        }
        if self.executions[&run].outcome.is_some() {
            let (chunk_count, byte_count) = (answer.chunk_count(), answer.byte_count());
            let message = ToEntry::End { attempt, chunk_count, byte_count, load };
            self.send_to(attempt, message, actions);
        }
    }

    /// Ends a reader whose missing chunks are no longer held.
    fn give_up_reader(
        &mut self,
        attempt: AttemptId,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let verdict = Verdict::Ran;
        let detail = "chunks of the answer are no longer held".to_owned();
        self.send_to(attempt, ToEntry::Failed { attempt, verdict, detail }, actions);
        self.detach(attempt, run);
        self.close(attempt, super::attempt::Closing::Ended { verdict });
    }
}
