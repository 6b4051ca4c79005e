//! Replies and audit records shared by several modules.

use super::attempt::{FinalState, Stage};
use super::constants::RETRY_JITTER_PERMILLE;
use super::core::AgentCore;
use super::interface::AgentAction;
use super::key_decision::KeyDecision;
use crate::audit::{AuditRecord, Change};
use crate::ids::{AttemptId, LinkId};
use crate::message::{RefusalReason, ToEntry};
use crate::time::{Now, UnixMs};
use rand::RngExt as _;

impl AgentCore {
    /// Sends a message on the link of an attempt, if that link is open.
    pub(super) fn send_to_entry(
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

    /// Sends a refusal. The caller must have recorded it if late copies are to be refused as well.
    pub(super) fn send_refusal(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_at: Option<UnixMs>,
        actions: &mut Vec<AgentAction>,
    ) {
        self.counters.count_refusal(reason);
        let message = ToEntry::Refused { attempt, reason, retry_at, load: self.load(now) };
        actions.push(AgentAction::Send { link, message });
    }

    /// Removes an attempt from the queue and tells its entry that it did not run.
    ///
    /// If its key has been used by another attempt in the meantime, the entry is told that instead.
    pub(super) fn refuse_queued(
        &mut self,
        now: Now,
        attempt: AttemptId,
        reason: RefusalReason,
        actions: &mut Vec<AgentAction>,
    ) {
        if let Some(KeyDecision::Used { earlier, verdict }) =
            self.key_used_while_queued(now, attempt, reason)
        {
            return self.close_key_used(attempt, earlier, verdict, actions);
        }
        let waiting = self.queue.remove(&attempt);
        let retry_at = match (reason, waiting) {
            (RefusalReason::QueueFull, Some(waiting)) => self.retry_at(now, waiting.rank),
            _ => None,
        };
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        row.stage = Stage::Closed(FinalState::Refused { reason, retry_at });
        match row.link {
            Some(link) => self.send_refusal(now, link, attempt, reason, retry_at, actions),
            None => self.counters.count_refusal(reason),
        }
    }

    /// Returns the earlier use of a queued attempt's key if it takes precedence over a refusal for
    /// `reason`.
    fn key_used_while_queued(
        &self,
        now: Now,
        attempt: AttemptId,
        reason: RefusalReason,
    ) -> Option<KeyDecision> {
        let Stage::Queued(submit) = &self.attempts.get(&attempt)?.stage else { return None };
        let used = self.decide_by_earlier_run(now, submit, submit.key?)?;
        match self.override_refusal(submit, used, reason)? {
            KeyDecision::Replay { run, verdict } => {
                Some(KeyDecision::Used { earlier: Some(run.request), verdict })
            }
            decision => Some(decision),
        }
    }

    /// Returns when a refused attempt of a rank should be retried.
    ///
    /// This is the estimated time until the attempts ahead of it have been started, plus jitter, so
    /// that refused entries do not all retry at once. None before the first measurement.
    pub(super) fn retry_at(&mut self, now: Now, rank: u8) -> Option<UnixMs> {
        let slots = u64::from(self.slots());
        let service_ms = u64::from(self.service.smoothed_ms());
        if slots == 0 || service_ms == 0 {
            return None;
        }
        let starts_ahead = u64::from(self.queue.ahead_of(rank)) + 1;
        let wait_ms = (service_ms * starts_ahead).div_ceil(slots);
        let jitter_permille = self.random.random_range(0..=RETRY_JITTER_PERMILLE);
        Some(now.after(wait_ms + wait_ms * jitter_permille / 1_000))
    }
}
