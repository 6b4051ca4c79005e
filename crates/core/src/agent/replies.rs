//! Messages and records that several systems send.

use super::attempt::{Closing, Stage};
use super::border::AgentAction;
use super::constants::RETRY_SPREAD_PERMILLE;
use super::core::AgentCore;
use super::key_judgement::KeyJudgement;
use crate::audit::{AuditRecord, Change};
use crate::ids::{AttemptId, LinkId};
use crate::message::{RefusalReason, ToEntry};
use crate::time::{Now, UnixMs};
use rand::RngExt as _;

impl AgentCore {
    /// Sends to the link that an attempt was last attached to, if it is open.
    pub(super) fn send_to(
        &self,
        attempt: AttemptId,
        message: ToEntry,
        actions: &mut Vec<AgentAction>,
    ) {
        if let Some(link) = self.attempts.get(&attempt).and_then(|row| row.link) {
            actions.push(AgentAction::Send { link, message });
        }
    }

    pub(super) fn audit(&self, now: Now, change: Change, actions: &mut Vec<AgentAction>) {
        let record = AuditRecord::new(now.unix_ms, self.stamp, change);
        actions.push(AgentAction::Audit(record));
    }

    /// Sends a refusal, which the caller has recorded if it must hold for late copies.
    pub(super) fn send_refusal(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_at: Option<UnixMs>,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.refused(reason);
        let message = ToEntry::Refused { attempt, reason, retry_at, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    /// Takes an attempt out of the queue and tells its entry that it did not run.
    pub(super) fn hand_back(
        &mut self,
        now: Now,
        attempt: AttemptId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        if let Some(KeyJudgement::Used { earlier, verdict }) =
            self.used_while_queued(now, attempt, reason)
        {
            return self.close_used(attempt, earlier, verdict, actions);
        }
        let waiting = self.queue.remove(&attempt);
        let retry_at = match (reason, waiting) {
            (RefusalReason::QueueFull, Some(waiting)) => self.retry_at(now, waiting.rank),
            _ => None,
        };
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        row.stage = Stage::Closed(Closing::Refused { reason, retry_at });
        match row.link {
            Some(link) => self.send_refusal(now, link, attempt, reason, retry_at, actions),
            None => self.counters.refused(reason),
        }
    }

    /// Whether the key of a queued attempt was used by another one since it was accepted.
    fn used_while_queued(
        &self,
        now: Now,
        attempt: AttemptId,
        reason: RefusalReason,
    ) -> Option<KeyJudgement> {
        let Stage::Queued(submit) = &self.attempts.get(&attempt)?.stage else { return None };
        let used = self.judge_used(now, submit, submit.key?)?;
        match self.used_instead(submit, used, reason)? {
            KeyJudgement::Replay { run, verdict } => {
                Some(KeyJudgement::Used { earlier: Some(run.request), verdict })
            }
            judgement => Some(judgement),
        }
    }

    /// When an attempt of a rank would be started if it came back: the slot time of those that go
    /// first, spread so that refused entries do not all come back at once. None before the first
    /// measurement.
    pub(super) fn retry_at(&mut self, now: Now, rank: u8) -> Option<UnixMs> {
        let slots = u64::from(self.slots());
        let service_ms = u64::from(self.service.smoothed_ms());
        if slots == 0 || service_ms == 0 {
            return None;
        }
        let starts_ahead = u64::from(self.queue.ahead_of(rank)) + 1;
        let wait_ms = (service_ms * starts_ahead).div_ceil(slots);
        let spread_permille = self.random.random_range(0..=RETRY_SPREAD_PERMILLE);
        Some(now.after(wait_ms + wait_ms * spread_permille / 1_000))
    }
}
