//! Handles the events of a run and forwards its response to the readers.

use super::constants::{ACK_SETTLE_MS, FALLBACK_KEY_HORIZON_MS, RESPONSE_RETENTION_MS};
use super::core::AgentCore;
use super::execution::{Execution, Outcome};
use super::interface::AgentAction;
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
        let Some(execution) = self.running_execution(run) else { return };
        execution.response.head = Some(head.clone());
        self.send_to_readers(run, actions, |attempt| ToEntry::Head { attempt, head: head.clone() });
    }

    pub(super) fn backend_chunk(
        &mut self,
        run: AttemptId,
        bytes: Bytes,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(execution) = self.running_execution(run) else { return };
        let index = execution.response.push(bytes.clone());
        self.retained_bytes += bytes.len() as u64;
        self.send_to_readers(run, actions, |attempt| {
            let bytes = bytes.clone();
            ToEntry::Chunk { attempt, index, bytes }
        });
        self.enforce_retention_limits(run);
    }

    pub(super) fn backend_end(&mut self, now: Now, run: AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(execution) = self.running_execution(run) else { return };
        execution.outcome = Some(Outcome::Complete);
        let occupied_ms = now.unix_ms.since(execution.started);
        self.counters.ended += 1;
        self.service.observe(occupied_ms);
        self.release_slot(now, run, Verdict::Ran, now.after(RESPONSE_RETENTION_MS));
        if self.executions.get(&run).is_some_and(|execution| execution.replayable) {
            self.replayable.push_back(run);
        }
        let load = self.load(now);
        let Some(execution) = self.executions.get(&run) else { return };
        let chunk_count = execution.response.chunk_count();
        let byte_count = execution.response.byte_count();
        self.send_to_readers(run, actions, |attempt| {
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
        let Some(execution) = self.running_execution(run) else { return };
        // Once part of the response has arrived, the request has certainly run.
        let answered = execution.response.head.is_some() || execution.response.chunk_count() > 0;
        let verdict = if answered { verdict.max(Verdict::Ran) } else { verdict };
        execution.outcome = Some(Outcome::Failed { verdict, detail: detail.clone() });
        execution.replayable = false;
        self.counters.failed += 1;
        self.release_slot(now, run, verdict, now.after(ACK_SETTLE_MS));
        self.drop_chunks(run, u32::MAX);
        self.send_to_readers(run, actions, |attempt| {
            let detail = detail.clone();
            ToEntry::Failed { attempt, verdict, detail }
        });
    }

    /// Returns a run if it is still running; otherwise counts the event as late.
    fn running_execution(&mut self, run: AttemptId) -> Option<&mut Execution> {
        if !self.running.contains(&run) {
            self.counters.late_backend_events += 1;
            return None;
        }
        self.executions.get_mut(&run)
    }

    fn release_slot(&mut self, now: Now, run: AttemptId, verdict: Verdict, fetch_until: UnixMs) {
        self.running.swap_remove(&run);
        let Some(execution) = self.executions.get_mut(&run) else { return };
        let occupied_ms = now.unix_ms.since(execution.started);
        self.queue.correct_charge(
            execution.rank,
            &execution.team,
            execution.charged_ms,
            occupied_ms,
        );
        execution.fetch_until = fetch_until;
        let replayable = execution.replayable;
        let forget_at = self.key_expiry(now, run);
        let retain_until = now.after(RESPONSE_RETENTION_MS);
        let replay_until = forget_at.filter(|_| replayable).unwrap_or_default();
        self.set_retain_until(run, retain_until.max(replay_until));
        let key = self.executions.get(&run).and_then(|execution| execution.key);
        let (Some(key), Some(forget_at)) = (key, forget_at) else { return };
        self.keys.record_end(key, run, verdict, forget_at);
    }

    /// Returns the end of the key's horizon if the run ends now; none for a run without a key.
    fn key_expiry(&self, now: Now, run: AttemptId) -> Option<UnixMs> {
        let execution = self.executions.get(&run)?;
        execution.key?;
        let document = self.document.as_ref();
        let route = document.and_then(|document| document.route(execution.route.as_str()));
        let horizon_ms = route.map_or(FALLBACK_KEY_HORIZON_MS, |route| route.key_horizon_ms.into());
        Some(now.after(horizon_ms))
    }

    fn send_to_readers(
        &self,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
        message: impl Fn(AttemptId) -> ToEntry,
    ) {
        let Some(execution) = self.executions.get(&run) else { return };
        for reader in &execution.readers {
            self.send_to_entry(*reader, message(*reader), actions);
        }
    }

    /// Resends the response to one reader from chunk `next_chunk` on, as far as it has arrived.
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
            return self.send_to_entry(
                attempt,
                ToEntry::Failed { attempt, verdict, detail },
                actions,
            );
        }
        if !execution.response.retains_from(next_chunk) {
            return self.fail_reader(attempt, run, actions);
        }
        if execution.outcome.is_some() {
            let fetch_until = now.after(RESPONSE_RETENTION_MS);
            execution.fetch_until = execution.fetch_until.max(fetch_until);
            let retain_until = execution.retain_until.max(fetch_until);
            self.set_retain_until(run, retain_until);
        }
        let response = &self.executions[&run].response;
        if let Some(head) = response.head.clone() {
            self.send_to_entry(attempt, ToEntry::Head { attempt, head }, actions);
        }
        for chunk in response.chunks_from(next_chunk) {
            let (index, bytes) = (chunk.index, chunk.bytes.clone());
            self.send_to_entry(attempt, ToEntry::Chunk { attempt, index, bytes }, actions);
        }
        if self.executions[&run].outcome.is_some() {
            let (chunk_count, byte_count) = (response.chunk_count(), response.byte_count());
            let message = ToEntry::End { attempt, chunk_count, byte_count, load };
            self.send_to_entry(attempt, message, actions);
        }
    }

    /// Reports a failure to a reader whose missing chunks are no longer retained.
    fn fail_reader(&mut self, attempt: AttemptId, run: AttemptId, actions: &mut Vec<AgentAction>) {
        let verdict = Verdict::Ran;
        let detail = "chunks of the answer are no longer held".to_owned();
        self.send_to_entry(attempt, ToEntry::Failed { attempt, verdict, detail }, actions);
        self.detach_reader(attempt, run);
        self.set_final_state(attempt, super::attempt::FinalState::Ended { verdict });
    }
}
