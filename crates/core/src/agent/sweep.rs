//! Expiry of state at each tick, and reaction to backend health changes.

use super::attempt::{FinalState, Stage};
use super::core::AgentCore;
use super::execution::Execution;
use super::interface::AgentAction;
use crate::audit::Change;
use crate::ids::AttemptId;
use crate::message::RefusalReason;
use crate::time::Now;
use crate::verdict::Verdict;
use indexmap::IndexMap;
use std::cmp::Reverse;

impl AgentCore {
    /// Handles a tick: removes everything that has expired.
    pub(super) fn sweep(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        self.refuse_expired(now, actions);
        self.drop_orphans(now, actions);
        self.drop_expired_executions(now);
        self.forget_attempts(now);
        self.keys.sweep(now);
        self.homes.sweep(now);
        self.ask_for_holders_if_due(now, actions);
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
            self.refuse_queued(now, attempt, RefusalReason::Expired, actions);
        }
    }

    /// Drops attempts whose link was lost and to which no entry has reattached in time.
    ///
    /// Attempts of an entry that died would otherwise occupy slots for responses that nobody reads.
    fn drop_orphans(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        if !self.mechanisms.orphan_abort {
            return;
        }
        let orphaned = self.attempts.iter().filter(|(_, row)| row.orphan_at.is_past(now));
        let orphaned: Vec<AttemptId> = orphaned.map(|(attempt, _)| *attempt).collect();
        for attempt in orphaned {
            match self.attempts.get(&attempt).map(|row| &row.stage) {
                Some(Stage::Queued(_)) => {
                    self.refuse_queued(now, attempt, RefusalReason::Revoked, actions);
                }
                Some(Stage::Reading(reading)) if self.running.contains(&reading.run) => {
                    let run = reading.run;
                    self.detach_reader(attempt, run);
                    if self.abort_if_unread(run, actions) {
                        self.counters.orphans_aborted += 1;
                    }
                }
                _ => {}
            }
        }
    }

    /// Aborts a run without readers and returns whether it did.
    ///
    /// A non-idempotent request with a key keeps running: its caller can still learn the outcome by
    /// repeating the key, and an abort could leave the operation half done.
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

    fn drop_expired_executions(&mut self, now: Now) {
        let dropped = self.take_expired_runs(now);
        if dropped.is_empty() {
            return;
        }
        while self.replayable.front().is_some_and(|run| !self.executions.contains_key(run)) {
            self.replayable.pop_front();
        }
        for row in self.attempts.values_mut() {
            let Stage::Reading(reading) = &row.stage else { continue };
            if let Some(verdict) = dropped.get(&reading.run) {
                row.stage = Stage::Closed(FinalState::Ended { verdict: *verdict });
            }
        }
    }

    /// Removes the runs whose retention has expired and returns their verdicts.
    fn take_expired_runs(&mut self, now: Now) -> IndexMap<AttemptId, Verdict> {
        let mut dropped = IndexMap::new();
        while let Some(Reverse(due)) = self.retention_expiries.peek().copied() {
            if !due.retain_until.is_past(now) {
                break;
            }
            self.retention_expiries.pop();
            let held = self.executions.get(&due.run);
            if held.is_some_and(|execution| execution.retain_until.is_past(now)) {
                self.drop_chunks(due.run, u32::MAX);
                let execution = self.executions.swap_remove(&due.run);
                dropped.extend(execution.map(|execution| (due.run, execution.verdict())));
            }
        }
        dropped
    }

    /// Forgets attempts whose deadline plus clock skew has passed and whose response is settled.
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
                    self.detach_reader(attempt, run);
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

    /// Returns whether every reader of a finished run has acknowledged its response, or has had
    /// enough time to fetch it.
    pub(super) fn is_settled(&self, now: Now, run: AttemptId) -> bool {
        let Some(execution) = self.executions.get(&run) else { return true };
        if execution.outcome.is_none() {
            return false;
        }
        let waits = self.mechanisms.drain_waits_for_acknowledgement;
        !waits
            || execution.fetch_until.is_past(now)
            || self.all_readers_acknowledged(now, execution)
    }

    fn all_readers_acknowledged(&self, now: Now, execution: &Execution) -> bool {
        execution.readers.iter().all(|reader| {
            match self.attempts.get(reader).map(|row| &row.stage) {
                Some(Stage::Reading(reading)) => reading.fully_acked_at.is_past(now),
                _ => true,
            }
        })
    }

    /// Handles a health check result. When the backend server goes down, all queued attempts are
    /// refused, so that their entries can send them elsewhere.
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
            self.refuse_all_queued(now, RefusalReason::BackendDown, actions);
        }
    }

    /// Refuses all queued attempts, so that their entries can send them elsewhere.
    pub(super) fn refuse_all_queued(
        &mut self,
        now: Now,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        for attempt in self.queue.ids() {
            self.refuse_queued(now, attempt, reason, actions);
        }
    }
}
