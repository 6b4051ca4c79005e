//! Starts queued attempts.

use super::attempt::{FinalState, ReadProgress, Stage};
use super::core::AgentCore;
use super::execution::Execution;
use super::guard::{PendingStart, Violation};
use super::interface::AgentAction;
use super::key_decision::KeyDecision;
use super::queue::QueuedAttempt;
use super::response_buffer::ResponseBuffer;
use super::snapshot::DrainState;
use crate::audit::Change;
use crate::ids::{AttemptId, RequestId};
use crate::message::{RefusalReason, Submit, ToEntry};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

impl AgentCore {
    /// Starts queued attempts while slots are free.
    pub(super) fn start_queued(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        while self.free_slots() > 0 {
            let Some(attempt) = self.queue.next_attempt() else { return };
            self.process_queued(now, attempt, actions);
        }
    }

    /// Checks a queued attempt again, then starts it or replies otherwise.
    ///
    /// Since it was accepted, its deadline may have passed during a pause of the process, another
    /// attempt may have used its key, or the key's home may have moved.
    fn process_queued(&mut self, now: Now, attempt: AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(submit) = self.take_queued(attempt) else {
            self.queue.remove(&attempt);
            return;
        };
        match self.decide_start(now, &submit) {
            KeyDecision::Run => self.start(now, &submit, actions),
            KeyDecision::Replay { run, .. } => self.read_earlier_run(now, attempt, run, actions),
            KeyDecision::Used { earlier, verdict } => {
                self.close_key_used(attempt, earlier, verdict, actions);
            }
            KeyDecision::Refuse { reason, .. } => self.refuse_queued(now, attempt, reason, actions),
        }
    }

    fn decide_start(&mut self, now: Now, submit: &Submit) -> KeyDecision {
        let decision = match self.mechanisms.key_recheck_at_start {
            true => self.decide_by_key(now, submit),
            false => KeyDecision::Run,
        };
        if !self.mechanisms.deadline_recheck || !submit.deadline.is_past(now) {
            return decision;
        }
        self.counters.expired_queued += 1;
        let reason = RefusalReason::Expired;
        let refusal = KeyDecision::Refuse { reason, retry_at: None };
        self.override_refusal(submit, decision, reason).unwrap_or(refusal)
    }

    /// Takes the submit out of a queued attempt, whose record stays tombstoned until the caller
    /// sets its new stage.
    fn take_queued(&mut self, attempt: AttemptId) -> Option<Box<Submit>> {
        let row = self.attempts.get_mut(&attempt)?;
        if !matches!(row.stage, Stage::Queued(_)) {
            return None;
        }
        match std::mem::replace(&mut row.stage, Stage::Closed(FinalState::Tombstoned)) {
            Stage::Queued(submit) => Some(submit),
            Stage::Reading(_) | Stage::Closed(_) => None,
        }
    }

    fn start(&mut self, now: Now, submit: &Submit, actions: &mut Vec<AgentAction>) {
        let attempt = submit.attempt;
        let Some(waiting) = self.queue.remove(&attempt) else { return };
        if let Err(violation) = self.check_start(now, submit) {
            return self.reject_violation(now, attempt, violation, actions);
        }
        self.guard.record_started(attempt, submit.deadline);
        if let Some(key) = submit.key {
            self.keys.record_start(key, attempt, submit.content);
        }
        let charged_ms = u64::from(self.service.smoothed_ms()).max(1);
        self.queue.charge_start(&waiting, charged_ms);
        self.insert_execution(now, submit, &waiting, charged_ms);
        self.counters.started += 1;
        actions.push(AgentAction::Start {
            attempt,
            head: submit.head.clone(),
            body: submit.body.clone(),
            deadline: submit.deadline,
            priority: waiting.rank,
        });
    }

    fn insert_execution(
        &mut self,
        now: Now,
        submit: &Submit,
        waiting: &QueuedAttempt,
        charged_ms: u64,
    ) {
        let run = submit.attempt;
        let reading = ReadProgress { run, next_unacked_chunk: 0, fully_acked_at: UnixMs::NEVER };
        if let Some(row) = self.attempts.get_mut(&run) {
            row.stage = Stage::Reading(reading);
        }
        self.running.insert(run);
        let execution = Execution {
            readers: vec![run],
            key: submit.key,
            route: submit.route.clone(),
            team: submit.team.clone(),
            rank: waiting.rank,
            idempotent: submit.idempotent,
            started: now.unix_ms,
            charged_ms,
            response: ResponseBuffer::default(),
            replayable: submit.key.is_some(),
            aborting: false,
            outcome: None,
            fetch_until: UnixMs::NEVER,
            retain_until: UnixMs::NEVER,
        };
        self.executions.insert(run, execution);
    }

    fn check_start(&self, now: Now, submit: &Submit) -> Result<(), Violation> {
        if !self.mechanisms.start_guard {
            return Ok(());
        }
        let pending = PendingStart {
            attempt: submit.attempt,
            deadline: submit.deadline,
            running: self.running.len() as u32,
            slots: self.slots(),
            draining: self.drain != DrainState::Serving,
            key_used: self.is_second_run(now, submit),
        };
        self.guard.check(now, &pending)
    }

    /// Reports an invariant violation and fails the attempt as one that may have run.
    fn reject_violation(
        &mut self,
        now: Now,
        attempt: AttemptId,
        violation: Violation,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.violations += 1;
        let detail = format!("{violation}: attempt {attempt}");
        self.audit(now, Change::InvariantViolated { detail: detail.clone() }, actions);
        let verdict = Verdict::MayHaveRun;
        if let Some(row) = self.attempts.get_mut(&attempt) {
            row.stage = Stage::Closed(FinalState::Ended { verdict });
        }
        self.send_to_entry(attempt, ToEntry::Failed { attempt, verdict, detail }, actions);
    }

    fn read_earlier_run(
        &mut self,
        now: Now,
        attempt: AttemptId,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        self.queue.remove(&attempt);
        if let Some(row) = self.attempts.get_mut(&attempt) {
            let reading =
                ReadProgress { run, next_unacked_chunk: 0, fully_acked_at: UnixMs::NEVER };
            row.stage = Stage::Reading(reading);
        }
        self.add_reader(now, attempt, run, actions);
    }

    /// Closes a queued attempt whose key turned out to be used.
    pub(super) fn close_key_used(
        &mut self,
        attempt: AttemptId,
        earlier: Option<RequestId>,
        verdict: Verdict,
        actions: &mut Vec<AgentAction>,
    ) {
        self.queue.remove(&attempt);
        self.counters.key_used += 1;
        if let Some(row) = self.attempts.get_mut(&attempt) {
            row.stage = Stage::Closed(FinalState::KeyUsed { earlier, verdict });
        }
        self.send_to_entry(attempt, ToEntry::KeyUsed { attempt, earlier, verdict }, actions);
    }
}
