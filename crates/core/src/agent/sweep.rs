//! Systems that run over the tables at each tick.

use super::attempt::{Closing, Stage};
use super::border::AgentAction;
use super::core::AgentCore;
use super::execution::Execution;
use crate::audit::Change;
use crate::ids::AttemptId;
use crate::message::RefusalReason;
use crate::time::Now;
use crate::verdict::Verdict;
use indexmap::IndexMap;
use std::cmp::Reverse;

impl AgentCore {
    pub(super) fn sweep(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        self.refuse_expired(now, actions);
        self.drop_orphans(now, actions);
        self.drop_executions(now);
        self.forget_attempts(now);
        self.keys.sweep(now);
        self.homes.sweep(now);
        self.guard.sweep(now);
        self.demand.sweep(now);
        self.queue.sweep();
    }

    fn refuse_expired(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        if !self.mechanisms.expiry_sweep {
            return;
        }
        for attempt in self.queue.expired(now) {
            self.counters.expired_queued += 1;
            self.hand_back(now, attempt, RefusalReason::Expired, actions);
        }
    }

    /// Gives up attempts for which no entry came back.
    ///
    /// An entry that died leaves its attempts behind. They would hold slots for answers that nobody
    /// reads; one would see load without entries.
    fn drop_orphans(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        if !self.mechanisms.orphan_abort {
            return;
        }
        let orphaned = self.attempts.iter().filter(|(_, row)| row.orphan_at.is_past(now));
        let orphaned: Vec<AttemptId> = orphaned.map(|(attempt, _)| *attempt).collect();
        for attempt in orphaned {
            match self.attempts.get(&attempt).map(|row| &row.stage) {
                Some(Stage::Queued(_)) => {
                    self.hand_back(now, attempt, RefusalReason::Revoked, actions);
                }
                Some(Stage::Reading(reading)) if self.running.contains(&reading.run) => {
                    let run = reading.run;
                    self.detach(attempt, run);
                    if self.abort_if_unread(run, actions) {
                        self.counters.orphans_aborted += 1;
                    }
                }
                _ => {}
            }
        }
    }

    /// Aborts a run that no attempt reads any more. A non-idempotent request with a key goes on:
    /// its caller can only learn the outcome by repeating the key, and an abort would leave it
    /// half done.
    pub(super) fn abort_if_unread(
        &mut self,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let running = self.running.contains(&run);
        let Some(execution) = self.executions.get_mut(&run) else { return false };
        let kept =
            self.mechanisms.keep_keyed_runs && execution.key.is_some() && !execution.idempotent;
        if !running || kept || execution.aborting || !execution.readers.is_empty() {
            return false;
        }
        execution.aborting = true;
        actions.push(AgentAction::Abort { attempt: run });
        true
    }

    fn drop_executions(&mut self, now: Now) {
        let dropped = self.take_due_runs(now);
        if dropped.is_empty() {
            return;
        }
        while self.replayable.front().is_some_and(|run| !self.executions.contains_key(run)) {
            self.replayable.pop_front();
        }
        for row in self.attempts.values_mut() {
            let Stage::Reading(reading) = &row.stage else { continue };
            if let Some(verdict) = dropped.get(&reading.run) {
                row.stage = Stage::Closed(Closing::Ended { verdict: *verdict });
            }
        }
    }

    /// Removes the runs of which nothing is to be held any more.
    fn take_due_runs(&mut self, now: Now) -> IndexMap<AttemptId, Verdict> {
        let mut dropped = IndexMap::new();
        while let Some(Reverse(due)) = self.due_runs.peek().copied() {
            if !due.retain_until.is_past(now) {
                break;
            }
            self.due_runs.pop();
            let held = self.executions.get(&due.run);
            if held.is_some_and(|execution| execution.retain_until.is_past(now)) {
                self.drop_chunks(due.run, u32::MAX);
                let execution = self.executions.swap_remove(&due.run);
                dropped.extend(execution.map(|execution| (due.run, execution.verdict())));
            }
        }
        dropped
    }

    /// Forgets attempts whose deadline has safely passed and whose answer nobody can want.
    fn forget_attempts(&mut self, now: Now) {
        let due = self.attempts.iter().filter(|(_, row)| row.forget_at.is_past(now));
        let due: Vec<AttemptId> = due.map(|(attempt, _)| *attempt).collect();
        for attempt in due {
            let Some(row) = self.attempts.get(&attempt) else { continue };
            match &row.stage {
                Stage::Queued(_) => continue,
                Stage::Reading(reading) if !self.is_settled(now, reading.run) => continue,
                Stage::Reading(reading) => {
                    let run = reading.run;
                    self.detach(attempt, run);
                }
                Stage::Closed(_) => {}
            }
            self.forget(attempt);
        }
    }

    fn forget(&mut self, attempt: AttemptId) {
        let Some(row) = self.attempts.swap_remove(&attempt) else { return };
        if row.may_have_started() {
            self.forgotten_through = self.forgotten_through.max(row.deadline);
        }
    }

    /// Whether every reader of a run has its answer, or has had its time to fetch it.
    pub(super) fn is_settled(&self, now: Now, run: AttemptId) -> bool {
        let Some(execution) = self.executions.get(&run) else { return true };
        if execution.outcome.is_none() {
            return false;
        }
        let waits = self.mechanisms.drain_waits_for_acknowledgement;
        !waits || execution.settle_by.is_past(now) || self.all_hold_it(now, execution)
    }

    fn all_hold_it(&self, now: Now, execution: &Execution) -> bool {
        execution.readers.iter().all(|reader| {
            match self.attempts.get(reader).map(|row| &row.stage) {
                Some(Stage::Reading(reading)) => reading.whole_at.is_past(now),
                _ => true,
            }
        })
    }

    /// Learns whether the backend server answers its health checks.
    pub(super) fn backend_health(
        &mut self,
        now: Now,
        healthy: bool,
        actions: &mut Vec<AgentAction>,
    ) {
        if healthy == self.healthy {
            return;
        }
        self.healthy = healthy;
        let backend_server = self.identity.backend_server.clone();
        let change = match healthy {
            true => Change::CircuitClosed { backend_server },
            false => {
                let reason = "the backend server does not answer its health check".to_owned();
                Change::CircuitOpened { backend_server, reason }
            }
        };
        self.audit(now, change, actions);
        if !healthy && self.mechanisms.refuse_queued_on_backend_down {
            self.hand_back_all(now, RefusalReason::BackendDown, actions);
        }
    }

    pub(super) fn hand_back_all(
        &mut self,
        now: Now,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        for attempt in self.queue.ids() {
            self.hand_back(now, attempt, reason, actions);
        }
    }
}
