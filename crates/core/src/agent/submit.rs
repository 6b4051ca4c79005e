//! New attempts.

use super::attempt::{Closing, Reading, Stage};
use super::border::AgentAction;
use super::core::AgentCore;
use super::key_judgement::KeyJudgement;
use super::queue::{Place, Waiting};
use super::snapshot::DrainState;
use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{RefusalReason, Submit, ToEntry};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

impl AgentCore {
    /// Answers a submit at once: accepted, refused with proof that it did not run, or answered by
    /// the earlier run of its key.
    pub(super) fn submit(
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
        if self.answer_known(now, link, &submit, actions) {
            return;
        }
        match self.judge_submit(now, &submit) {
            KeyJudgement::Run => self.enqueue(now, link, submit, actions),
            KeyJudgement::Replay { run, .. } => self.replay(now, link, &submit, run, actions),
            KeyJudgement::Used { earlier, verdict } => {
                self.refuse_used(link, &submit, earlier, verdict, actions);
            }
            KeyJudgement::Refuse { reason, retry_at } => {
                self.refuse(now, link, &submit, reason, retry_at, actions);
            }
        }
    }

    fn judge_submit(&mut self, now: Now, submit: &Submit) -> KeyJudgement {
        let standing = self.standing_refusal(now, submit);
        let judgement = match standing {
            // Without the route, nothing can be said of the key.
            Some(RefusalReason::UnknownRoute) => KeyJudgement::Run,
            _ => self.judge_key(now, submit),
        };
        let Some(reason) = standing else { return judgement };
        let refusal = KeyJudgement::Refuse { reason, retry_at: None };
        self.used_instead(submit, judgement, reason).unwrap_or(refusal)
    }

    /// Answers a copy of an attempt that is known, or that was known and is forgotten.
    ///
    /// Links may double a message or deliver it late. Without this a copy would run again, or a
    /// copy of an attempt that ran long ago would be refused as if it had never run.
    fn answer_known(
        &mut self,
        now: Now,
        link: LinkId,
        submit: &Submit,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let attempt = submit.attempt;
        if self.mechanisms.duplicate_detection && self.attempts.contains_key(&attempt) {
            self.counters.doubled_submits += 1;
            self.adopt_link_if_lost(attempt, link);
            self.repeat_acknowledgement(now, link, attempt, submit.deadline, actions);
            return true;
        }
        if !self.never_started(submit.deadline) {
            self.counters.late_messages += 1;
            self.send_unknown(link, attempt, actions);
            return true;
        }
        false
    }

    /// A copy that comes on an open link is as good as an attachment when the first link is gone.
    fn adopt_link_if_lost(&mut self, attempt: AttemptId, link: LinkId) {
        let Some(row) = self.attempts.get_mut(&attempt).filter(|row| row.link.is_none()) else {
            return;
        };
        row.link = Some(link);
        row.orphan_at = UnixMs::NEVER;
    }

    fn repeat_acknowledgement(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        deadline: UnixMs,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(row) = self.attempts.get(&attempt) else { return };
        if let Stage::Closed(closing) = row.stage {
            return self.send_closing(now, link, attempt, deadline, closing, actions);
        }
        let message = ToEntry::Accepted { attempt, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    /// What holds for every attempt, whatever its key.
    fn standing_refusal(&self, now: Now, submit: &Submit) -> Option<RefusalReason> {
        if !self.serves(submit) {
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

    fn serves(&self, submit: &Submit) -> bool {
        let Some(document) = &self.document else { return false };
        let Some(route) = document.route(submit.route.as_str()) else { return false };
        let backends = document.backends_of(&route.target);
        backends.contains(&&self.identity.backend_server)
            && self.backend().is_some()
            && document.tier(submit.tier.as_str()).is_some()
    }

    fn enqueue(&mut self, now: Now, link: LinkId, submit: Submit, actions: &mut Vec<AgentAction>) {
        let attempt = submit.attempt;
        let Some(waiting) = self.waiting_row(&submit) else { return };
        let places = self.backend().map_or(0, |backend| backend.queue_slots) + self.free_slots();
        match self.queue.place(waiting.rank, &waiting.team, places) {
            Place::Free => {}
            Place::Evict(victim) => {
                self.counters.evicted += 1;
                self.hand_back(now, victim, RefusalReason::QueueFull, actions);
            }
            Place::Full => {
                let retry_at = self.retry_at(now, waiting.rank);
                let reason = RefusalReason::QueueFull;
                return self.refuse(now, link, &submit, reason, retry_at, actions);
            }
        }
        self.queue.push(attempt, waiting);
        self.record(attempt, Some(link), submit.deadline, Stage::Queued(Box::new(submit)));
        self.send_accepted(now, link, attempt, actions);
    }

    /// The queue's row for an attempt; none when its tier is unknown.
    pub(super) fn waiting_row(&self, submit: &Submit) -> Option<Waiting> {
        let tier = self.document.as_ref()?.tier(submit.tier.as_str())?;
        Some(Waiting {
            tier: submit.tier.clone(),
            rank: tier.rank,
            team: submit.team.clone(),
            deadline: submit.deadline,
        })
    }

    fn replay(
        &mut self,
        now: Now,
        link: LinkId,
        submit: &Submit,
        run: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = submit.attempt;
        let reading = Reading { run, received: 0, whole_at: UnixMs::NEVER };
        self.record(attempt, Some(link), submit.deadline, Stage::Reading(reading));
        self.send_accepted(now, link, attempt, actions);
        self.begin_reading(now, attempt, run, actions);
    }

    /// Makes an attempt a reader of an earlier run of its key.
    pub(super) fn begin_reading(
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

    /// Refuses a new attempt and keeps a record: a refusal says that the attempt will not run, so
    /// a late copy must not be taken once the reason has gone.
    fn refuse(
        &mut self,
        now: Now,
        link: LinkId,
        submit: &Submit,
        reason: RefusalReason,
        retry_at: Option<UnixMs>,
        actions: &mut Vec<AgentAction>,
    ) {
        let holds_for_ever = matches!(reason, RefusalReason::Expired | RefusalReason::Leaving);
        if self.mechanisms.refusal_records && !holds_for_ever {
            let stage = Stage::Closed(Closing::Refused { reason, retry_at });
            self.record(submit.attempt, Some(link), submit.deadline, stage);
        }
        self.send_refusal(now, link, submit.attempt, reason, retry_at, actions);
    }

    fn refuse_used(
        &mut self,
        link: LinkId,
        submit: &Submit,
        earlier: Option<RequestId>,
        verdict: Verdict,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = submit.attempt;
        self.counters.key_used += 1;
        let stage = Stage::Closed(Closing::KeyUsed { earlier, verdict });
        self.record(attempt, Some(link), submit.deadline, stage);
        let message = ToEntry::KeyUsed { attempt, earlier, verdict };
        actions.push(AgentAction::Send { link, message });
    }
}
