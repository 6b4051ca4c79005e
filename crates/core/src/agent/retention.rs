//! How much of which answers is held.

use super::attempt::Stage;
use super::constants::{RETAINED_BYTES_PER_ANSWER, RETAINED_BYTES_TOTAL};
use super::core::AgentCore;
use super::execution::DueRun;
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
        let received = execution.readers.iter().filter_map(|reader| {
            match self.attempts.get(reader).map(|row| &row.stage) {
                Some(Stage::Reading(reading)) => Some(reading.received),
                _ => None,
            }
        });
        let held_by_all = received.min().unwrap_or(u32::MAX);
        self.drop_chunks(run, if self.mechanisms.retention { held_by_all } else { u32::MAX });
    }

    /// Keeps the held bytes under their bounds after a chunk came.
    ///
    /// Without bounds an entry that stops acknowledging would fill the memory of the instance and
    /// the process would be killed together with every other run.
    pub(super) fn bound_retention(&mut self, run: AttemptId) {
        if !self.mechanisms.retention {
            return self.prune(run);
        }
        if !self.mechanisms.retention_cap {
            return;
        }
        if self.held_by(run) > RETAINED_BYTES_PER_ANSWER {
            self.stop_replays(run);
        }
        if self.held_by(run) > RETAINED_BYTES_PER_ANSWER {
            self.give_up_chunks(run);
        }
        while self.retained_bytes > RETAINED_BYTES_TOTAL {
            match self.replayable.pop_front() {
                Some(oldest) => self.stop_replays(oldest),
                None => return self.give_up_chunks(run),
            }
        }
    }

    /// Drops the chunks of a run before an index.
    pub(super) fn drop_chunks(&mut self, run: AttemptId, before: u32) {
        let Some(execution) = self.executions.get_mut(&run) else { return };
        let held_bytes = execution.answer.retained_bytes();
        execution.answer.drop_before(before);
        self.retained_bytes -= held_bytes - execution.answer.retained_bytes();
    }

    fn held_by(&self, run: AttemptId) -> u64 {
        self.executions.get(&run).map_or(0, |execution| execution.answer.retained_bytes())
    }

    fn stop_replays(&mut self, run: AttemptId) {
        let Some(execution) = self.executions.get_mut(&run) else { return };
        execution.replayable = false;
        if execution.outcome.is_some() {
            self.retain_until(run, self.executions[&run].settle_by);
        }
        self.prune(run);
    }

    /// Sets until when an ended run is held.
    pub(super) fn retain_until(&mut self, run: AttemptId, retain_until: UnixMs) {
        let Some(execution) = self.executions.get_mut(&run) else { return };
        execution.retain_until = retain_until;
        self.due_runs.push(Reverse(DueRun { retain_until, run }));
    }

    fn give_up_chunks(&mut self, run: AttemptId) {
        self.counters.answers_not_retained += 1;
        self.drop_chunks(run, u32::MAX);
    }
}
