//! Starts of queued attempts.

use super::answer::Answer;
use super::attempt::{Closing, Reading, Stage};
use super::border::AgentAction;
use super::core::AgentCore;
use super::execution::Execution;
use super::guard::{Starting, Violation};
use super::key_judgement::KeyJudgement;
use super::queue::Waiting;
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
            let Some(attempt) = self.queue.next() else { return };
            self.start_or_answer(now, attempt, actions);
        }
    }

    /// Judges a queued attempt once more, then starts it.
    ///
    /// Between its acceptance and this moment the process may have been paused: the deadline may
    /// have passed, a copy of the request may have used its key, or the key's home may have moved.
    fn start_or_answer(&mut self, now: Now, attempt: AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(submit) = self.take_queued(attempt) else {
            self.queue.remove(&attempt);
            return;
        };
        match self.judge_start(now, &submit) {
            KeyJudgement::Run => self.start(now, &submit, actions),
            KeyJudgement::Replay { run, .. } => self.read_instead(now, attempt, run, actions),
            KeyJudgement::Used { earlier, verdict } => {
                self.close_used(attempt, earlier, verdict, actions);
            }
            KeyJudgement::Refuse { reason, .. } => self.hand_back(now, attempt, reason, actions),
        }
    }

    fn judge_start(&mut self, now: Now, submit: &Submit) -> KeyJudgement {
        let judgement = match self.mechanisms.key_recheck_at_start {
            true => self.judge_key(now, submit),
            false => KeyJudgement::Run,
        };
        if !self.mechanisms.deadline_recheck || !submit.deadline.is_past(now) {
            return judgement;
        }
        self.counters.expired_queued += 1;
        let reason = RefusalReason::Expired;
        let refusal = KeyJudgement::Refuse { reason, retry_at: None };
        self.used_instead(submit, judgement, reason).unwrap_or(refusal)
    }

    /// Takes the submit of a queued attempt; its row counts as refused until its fate is known.
    fn take_queued(&mut self, attempt: AttemptId) -> Option<Box<Submit>> {
        let row = self.attempts.get_mut(&attempt)?;
        if !matches!(row.stage, Stage::Queued(_)) {
            return None;
        }
        match std::mem::replace(&mut row.stage, Stage::Closed(Closing::Tombstoned)) {
            Stage::Queued(submit) => Some(submit),
            Stage::Reading(_) | Stage::Closed(_) => None,
        }
    }

    fn start(&mut self, now: Now, submit: &Submit, actions: &mut Vec<AgentAction>) {
        let attempt = submit.attempt;
        let Some(waiting) = self.queue.remove(&attempt) else { return };
        if let Err(violation) = self.check_start(now, submit) {
            return self.stop_violation(now, attempt, violation, actions);
        }
        self.guard.note_started(attempt, submit.deadline);
        if let Some(key) = submit.key {
            self.keys.start(key, attempt, submit.content);
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

    fn insert_execution(&mut self, now: Now, submit: &Submit, waiting: &Waiting, charged_ms: u64) {
        let run = submit.attempt;
        let reading = Reading { run, received: 0, whole_at: UnixMs::NEVER };
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
            answer: Answer::default(),
            replayable: submit.key.is_some(),
            aborting: false,
            outcome: None,
            settle_by: UnixMs::NEVER,
            retain_until: UnixMs::NEVER,
        };
        self.executions.insert(run, execution);
    }

    fn check_start(&self, now: Now, submit: &Submit) -> Result<(), Violation> {
        if !self.mechanisms.start_guard {
            return Ok(());
        }
        let starting = Starting {
            attempt: submit.attempt,
            deadline: submit.deadline,
            running: self.running.len() as u32,
            slots: self.slots(),
            draining: self.drain != DrainState::Serving,
            key_used: self.key_was_run(now, submit),
        };
        self.guard.check(now, &starting)
    }

    /// Reports a broken invariant and gives the attempt up; the verdict claims nothing.
    fn stop_violation(
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
            row.stage = Stage::Closed(Closing::Ended { verdict });
        }
        self.send_to(attempt, ToEntry::Failed { attempt, verdict, detail }, actions);
    }

    fn read_instead(
        &mut self,
        now: Now,
        attempt: AttemptId,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        self.queue.remove(&attempt);
        if let Some(row) = self.attempts.get_mut(&attempt) {
            let reading = Reading { run, received: 0, whole_at: UnixMs::NEVER };
            row.stage = Stage::Reading(reading);
        }
        self.begin_reading(now, attempt, run, actions);
    }

    /// Answers a queued attempt whose key turned out to be used.
    pub(super) fn close_used(
        &mut self,
        attempt: AttemptId,
        earlier: Option<RequestId>,
        verdict: Verdict,
        actions: &mut Vec<AgentAction>,
    ) {
        self.queue.remove(&attempt);
        self.counters.key_used += 1;
        if let Some(row) = self.attempts.get_mut(&attempt) {
            row.stage = Stage::Closed(Closing::KeyUsed { earlier, verdict });
        }
        self.send_to(attempt, ToEntry::KeyUsed { attempt, earlier, verdict }, actions);
    }
}
