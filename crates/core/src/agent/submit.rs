//! Admission of submitted attempts.

use super::attempt::{FinalState, ReadProgress, Stage};
use super::core::AgentCore;
use super::interface::AgentAction;
use super::key_decision::KeyDecision;
use super::queue::{Admission, QueuedAttempt};
use super::snapshot::DrainState;
use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{RefusalReason, Submit, ToEntry};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

impl AgentCore {
    /// Handles a submit: queues it, refuses it as not run, or answers it from an earlier run of its
    /// key.
    pub(super) fn handle_submit(
        &mut self,
        now: Now,
        link: LinkId,
        submit: Submit,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.submits += 1;
        let attempt = submit.attempt;
        if self.mechanisms.incarnation_check && submit.agent != self.identity.incarnation {
            let reason = RefusalReason::WrongIncarnation;
            return self.send_refusal(now, link, attempt, reason, None, actions);
        }
        if self.answer_duplicate(now, link, &submit, actions) {
            return;
        }
        match self.decide_submit(now, &submit) {
            KeyDecision::Run => self.enqueue(now, link, submit, actions),
            KeyDecision::Replay { run, .. } => self.replay_run(now, link, &submit, run, actions),
            KeyDecision::Used { earlier, verdict } => {
                self.refuse_key_used(link, &submit, earlier, verdict, actions);
            }
            KeyDecision::Refuse { reason, retry_at } => {
                self.refuse(now, link, &submit, reason, retry_at, actions);
            }
        }
    }

    fn decide_submit(&mut self, now: Now, submit: &Submit) -> KeyDecision {
        let state_reason = self.state_refusal(now, submit);
        let decision = match state_reason {
            // Without the route, the key cannot be checked.
            Some(RefusalReason::UnknownRoute) => KeyDecision::Run,
            _ => self.decide_by_key(now, submit),
        };
        let Some(reason) = state_reason else { return decision };
        let refusal = KeyDecision::Refuse { reason, retry_at: None };
        self.override_refusal(submit, decision, reason).unwrap_or(refusal)
    }

    /// Replies to a duplicate submit, including one of an attempt that may have been forgotten.
    /// Returns whether it was one.
    ///
    /// Messages may be duplicated or delayed. Without this check a copy would run again, or a copy
    /// of an attempt that ran long ago would be refused as not run.
    fn answer_duplicate(
        &mut self,
        now: Now,
        link: LinkId,
        submit: &Submit,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let attempt = submit.attempt;
        if self.mechanisms.duplicate_detection && self.attempts.contains_key(&attempt) {
            self.counters.doubled_submits += 1;
            self.attach_if_unlinked(attempt, link);
            self.resend_acknowledgement(now, link, attempt, submit.deadline, actions);
            return true;
        }
        if !self.never_started(submit.deadline) {
            self.counters.late_messages += 1;
            self.send_unknown(link, attempt, actions);
            return true;
        }
        false
    }

    /// Attaches an attempt whose link was closed to the link on which a copy of it arrived.
    fn attach_if_unlinked(&mut self, attempt: AttemptId, link: LinkId) {
        let Some(row) = self.attempts.get_mut(&attempt).filter(|row| row.link.is_none()) else {
            return;
        };
        row.link = Some(link);
        row.orphan_at = UnixMs::NEVER;
    }

    fn resend_acknowledgement(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        deadline: UnixMs,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(row) = self.attempts.get(&attempt) else { return };
        if let Stage::Closed(final_state) = row.stage {
            return self.send_final_state(now, link, attempt, deadline, final_state, actions);
        }
        let message = ToEntry::Accepted { attempt, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    /// Returns the reason for which a submit is refused regardless of its key, if any.
    fn state_refusal(&self, now: Now, submit: &Submit) -> Option<RefusalReason> {
        if !self.serves_request(submit) {
            return Some(RefusalReason::UnknownRoute);
        }
        if submit.deadline.is_past(now) {
            return Some(RefusalReason::Expired);
        }
        if self.drain != DrainState::Serving {
            return Some(RefusalReason::Leaving);
        }
        (!self.healthy).then_some(RefusalReason::BackendDown)
    }

    /// Returns whether the document assigns the request's route to this backend server.
    fn serves_request(&self, submit: &Submit) -> bool {
        let Some(document) = &self.document else { return false };
        let Some(route) = document.route(submit.route.as_str()) else { return false };
        let backends = document.backends_of(&route.target);
        backends.contains(&&self.identity.backend_server)
            && self.backend().is_some()
            && document.tier(submit.tier.as_str()).is_some()
    }

    fn enqueue(&mut self, now: Now, link: LinkId, submit: Submit, actions: &mut Vec<AgentAction>) {
        let attempt = submit.attempt;
        let Some(waiting) = self.queued_attempt(&submit) else { return };
        let capacity = self.backend().map_or(0, |backend| backend.queue_slots) + self.free_slots();
        match self.queue.find_room(waiting.rank, &waiting.team, capacity) {
            Admission::Free => {}
            Admission::Evict(victim) => {
                self.counters.evicted += 1;
                self.refuse_queued(now, victim, RefusalReason::QueueFull, actions);
            }
            Admission::Full => {
                let retry_at = self.retry_at(now, waiting.rank);
                let reason = RefusalReason::QueueFull;
                return self.refuse(now, link, &submit, reason, retry_at, actions);
            }
        }
        self.queue.push(attempt, waiting);
        self.insert_attempt(attempt, Some(link), submit.deadline, Stage::Queued(Box::new(submit)));
        self.send_accepted(now, link, attempt, actions);
    }

    /// Returns the queue's view of an attempt; none when its tier is unknown.
    pub(super) fn queued_attempt(&self, submit: &Submit) -> Option<QueuedAttempt> {
        let tier = self.document.as_ref()?.tier(submit.tier.as_str())?;
        Some(QueuedAttempt {
            tier: submit.tier.clone(),
            rank: tier.rank,
            team: submit.team.clone(),
            deadline: submit.deadline,
        })
    }

    fn replay_run(
        &mut self,
        now: Now,
        link: LinkId,
        submit: &Submit,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = submit.attempt;
        let reading = ReadProgress { run, next_unacked_chunk: 0, fully_acked_at: UnixMs::NEVER };
        self.insert_attempt(attempt, Some(link), submit.deadline, Stage::Reading(reading));
        self.send_accepted(now, link, attempt, actions);
        self.add_reader(now, attempt, run, actions);
    }

    /// Adds an attempt to the readers of an earlier run of its key and sends the response so far.
    pub(super) fn add_reader(
        &mut self,
        now: Now,
        attempt: AttemptId,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.key_replays += 1;
        if let Some(execution) = self.executions.get_mut(&run) {
            execution.readers.push(attempt);
        }
        self.resend(now, attempt, run, 0, actions);
    }

    fn send_accepted(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.accepted += 1;
        let message = ToEntry::Accepted { attempt, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    /// Refuses a new attempt and records the refusal.
    ///
    /// A refusal states that the attempt will not run, so a late copy must not be accepted after
    /// the reason has gone. Reasons that are permanent need no record.
    fn refuse(
        &mut self,
        now: Now,
        link: LinkId,
        submit: &Submit,
        reason: RefusalReason,
        retry_at: Option<UnixMs>,
        actions: &mut Vec<AgentAction>,
    ) {
        let is_permanent = matches!(reason, RefusalReason::Expired | RefusalReason::Leaving);
        if self.mechanisms.refusal_records && !is_permanent {
            let stage = Stage::Closed(FinalState::Refused { reason, retry_at });
            self.insert_attempt(submit.attempt, Some(link), submit.deadline, stage);
        }
        self.send_refusal(now, link, submit.attempt, reason, retry_at, actions);
    }

    fn refuse_key_used(
        &mut self,
        link: LinkId,
        submit: &Submit,
        earlier: Option<RequestId>,
        verdict: Verdict,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = submit.attempt;
        self.counters.key_used += 1;
        let stage = Stage::Closed(FinalState::KeyUsed { earlier, verdict });
        self.insert_attempt(attempt, Some(link), submit.deadline, stage);
        let message = ToEntry::KeyUsed { attempt, earlier, verdict };
        actions.push(AgentAction::Send { link, message });
    }
}
