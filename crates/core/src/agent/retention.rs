//! Retention of response chunks and its memory limits.

use super::attempt::Stage;
use super::constants::{RETAINED_BYTES_PER_RESPONSE, RETAINED_BYTES_TOTAL};
use super::core::AgentCore;
use super::execution::RetentionExpiry;
use crate::ids::AttemptId;
use crate::time::UnixMs;
use std::cmp::Reverse;

impl AgentCore {
    /// Drops the chunks that every reader has acknowledged, unless repeats of the key need them.
    pub(super) fn prune(&mut self, run: AttemptId) {
        let Some(execution) = self.executions.get(&run) else { return };
        if execution.replayable && self.mechanisms.retention {
            return;
        }
        let next_unacked_chunks = execution.readers.iter().filter_map(|reader| {
            match self.attempts.get(reader).map(|row| &row.stage) {
                Some(Stage::Reading(reading)) => Some(reading.next_unacked_chunk),
                _ => None,
            }
        });
        let acknowledged_by_all = next_unacked_chunks.min().unwrap_or(u32::MAX);
        self.drop_chunks(
            run,
            if self.mechanisms.retention { acknowledged_by_all } else { u32::MAX },
        );
    }

    /// Enforces the memory limits after a chunk was added.
    ///
    /// Without limits, an entry that stops acknowledging would exhaust the memory of the instance,
    /// and the process would be killed with all its runs.
    pub(super) fn enforce_retention_limits(&mut self, run: AttemptId) {
        if !self.mechanisms.retention {
            return self.prune(run);
        }
        if !self.mechanisms.retention_cap {
            return;
        }
        if self.retained_bytes_of(run) > RETAINED_BYTES_PER_RESPONSE {
            self.end_replayability(run);
        }
        if self.retained_bytes_of(run) > RETAINED_BYTES_PER_RESPONSE {
            self.discard_chunks(run);
        }
        while self.retained_bytes > RETAINED_BYTES_TOTAL {
            match self.replayable.pop_front() {
                Some(oldest) => self.end_replayability(oldest),
                None => return self.discard_chunks(run),
            }
        }
    }

    /// Drops the chunks of a run before an index.
    pub(super) fn drop_chunks(&mut self, run: AttemptId, before: u32) {
        let Some(execution) = self.executions.get_mut(&run) else { return };
        let bytes_before = execution.response.retained_bytes();
        execution.response.drop_before(before);
        self.retained_bytes -= bytes_before - execution.response.retained_bytes();
    }

    fn retained_bytes_of(&self, run: AttemptId) -> u64 {
        self.executions.get(&run).map_or(0, |execution| execution.response.retained_bytes())
    }

    /// Stops retaining the response of a run for repeats of its key.
    fn end_replayability(&mut self, run: AttemptId) {
        let Some(execution) = self.executions.get_mut(&run) else { return };
        execution.replayable = false;
        if execution.outcome.is_some() {
            self.set_retain_until(run, self.executions[&run].fetch_until);
        }
        self.prune(run);
    }

    /// Sets until when a finished run is retained.
    pub(super) fn set_retain_until(&mut self, run: AttemptId, retain_until: UnixMs) {
        let Some(execution) = self.executions.get_mut(&run) else { return };
        execution.retain_until = retain_until;
        self.retention_expiries.push(Reverse(RetentionExpiry { retain_until, run }));
    }

    /// Drops all chunks of a run because of a memory limit.
    fn discard_chunks(&mut self, run: AttemptId) {
        self.counters.answers_not_retained += 1;
        self.drop_chunks(run, u32::MAX);
    }
}
