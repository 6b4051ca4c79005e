//! What an entry does after it lost touch with an attempt, or interest in it.

use super::attempt::{Closing, Reading, Stage};
use super::border::AgentAction;
use super::constants::{ACK_SETTLE_MS, CANCEL_TOMBSTONE_MS};
use super::core::AgentCore;
use super::execution::Outcome;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{RefusalReason, RevokeOutcome, ToEntry};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

/// A revocation, as received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Revocation {
    pub(super) attempt: AttemptId,
    pub(super) agent: Incarnation,
    pub(super) deadline: UnixMs,
    pub(super) next_chunk: u32,
}

impl AgentCore {
    /// Makes sure that an attempt does not start, or says that it has.
    pub(super) fn revoke(
        &mut self,
        now: Now,
        link: LinkId,
        revocation: Revocation,
        actions: &mut Vec<AgentAction>,
    ) {
        let attempt = revocation.attempt;
        if self.mechanisms.incarnation_check && revocation.agent != self.identity.incarnation {
            return send_revoked(link, attempt, RevokeOutcome::UnknownIncarnation, actions);
        }
        match self.attempts.get(&attempt).map(|row| &row.stage) {
            None | Some(Stage::Closed(Closing::CancelledUnseen)) => {
                self.revoke_unseen(link, revocation, actions);
            }
            Some(Stage::Queued(_)) => {
                self.queue.remove(&attempt);
                self.tombstone(link, revocation, actions);
            }
            Some(Stage::Closed(Closing::Tombstoned | Closing::Refused { .. })) => {
                send_revoked(link, attempt, RevokeOutcome::Tombstoned, actions);
            }
            Some(Stage::Closed(closing @ Closing::KeyUsed { .. })) => {
                let closing = *closing;
                self.send_closing(now, link, attempt, revocation.deadline, closing, actions);
            }
            Some(Stage::Reading(_) | Stage::Closed(Closing::Ended { .. })) => {
                self.counters.revoked_started += 1;
                send_revoked(link, attempt, RevokeOutcome::Attached, actions);
                self.attach_known(now, link, attempt, revocation.next_chunk, actions);
            }
        }
    }

    /// Of an attempt without a row it is certain that it never started only while none with as
    /// late a deadline has been forgotten.
    fn revoke_unseen(
        &mut self,
        link: LinkId,
        revocation: Revocation,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.never_started(revocation.deadline) {
            true => self.tombstone(link, revocation, actions),
            false => self.send_unknown(link, revocation.attempt, actions),
        }
    }

    /// Without a tombstone, a copy of the submit that a slow path delivers after this answer would
    /// run, although the entry was told that it never will and has sent another attempt.
    fn tombstone(&mut self, link: LinkId, revocation: Revocation, actions: &mut Vec<AgentAction>) {
        let Revocation { attempt, deadline, .. } = revocation;
        self.counters.tombstoned += 1;
        if self.mechanisms.tombstones {
            self.guard.note_tombstoned(attempt, deadline);
            self.record(attempt, Some(link), deadline, Stage::Closed(Closing::Tombstoned));
        } else {
            self.attempts.swap_remove(&attempt);
        }
        send_revoked(link, attempt, RevokeOutcome::Tombstoned, actions);
    }

    /// Moves an attempt to a link and sends what the entry does not have.
    pub(super) fn attach(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        agent: Incarnation,
        next_chunk: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        let meant = !self.mechanisms.incarnation_check || agent == self.identity.incarnation;
        if meant && self.attempts.contains_key(&attempt) {
            return self.attach_known(now, link, attempt, next_chunk, actions);
        }
        // Its submit may be under way still, or its record is gone: neither proves anything.
        self.counters.late_messages += 1;
        self.send_unknown(link, attempt, actions);
    }

    fn attach_known(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        next_chunk: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(row) = self.attempts.get_mut(&attempt) else { return };
        row.link = Some(link);
        row.orphan_at = UnixMs::NEVER;
        let deadline = row.deadline;
        match &row.stage {
            Stage::Queued(_) => {
                let message = ToEntry::Accepted { attempt, load: self.load(now) };
                actions.push(AgentAction::Send { link, message });
            }
            Stage::Reading(reading) => {
                let run = reading.run;
                self.resend(now, attempt, run, next_chunk, actions);
            }
            // Its own deadline, and so whether it may have run and been forgotten, is not known.
            Stage::Closed(Closing::CancelledUnseen) => self.send_unknown(link, attempt, actions),
            Stage::Closed(closing) => {
                let closing = *closing;
                self.send_closing(now, link, attempt, deadline, closing, actions);
            }
        }
    }

    /// Stops an attempt for which nobody waits.
    pub(super) fn cancel(&mut self, now: Now, attempt: AttemptId, actions: &mut Vec<AgentAction>) {
        let Some(row) = self.attempts.get(&attempt) else {
            self.counters.late_messages += 1;
            // The cancellation may have overtaken the submit.
            let until = now.after(CANCEL_TOMBSTONE_MS);
            let stage = Stage::Closed(Closing::CancelledUnseen);
            return self.record(attempt, None, until, stage);
        };
        match row.stage {
            Stage::Queued(_) => {
                self.counters.cancelled += 1;
                self.guard.note_tombstoned(attempt, row.deadline);
                self.queue.remove(&attempt);
                self.close(attempt, Closing::Tombstoned);
            }
            Stage::Reading(reading) => {
                self.counters.cancelled += 1;
                self.detach(attempt, reading.run);
                self.abort_if_unread(reading.run, actions);
            }
            Stage::Closed(_) => {}
        }
    }

    /// Takes an attempt off the readers of a run; what it may read from then on is the verdict.
    pub(super) fn detach(&mut self, attempt: AttemptId, run: AttemptId) {
        let verdict = match self.executions.get_mut(&run) {
            Some(execution) => {
                execution.readers.retain(|reader| *reader != attempt);
                execution.verdict()
            }
            None => Verdict::MayHaveRun,
        };
        self.close(attempt, Closing::Ended { verdict });
        self.prune(run);
    }

    pub(super) fn close(&mut self, attempt: AttemptId, closing: Closing) {
        if let Some(row) = self.attempts.get_mut(&attempt) {
            row.stage = Stage::Closed(closing);
        }
    }

    /// Notes how much of an answer an entry holds.
    pub(super) fn received(&mut self, now: Now, attempt: AttemptId, next_chunk: u32) {
        let Some(row) = self.attempts.get_mut(&attempt) else {
            self.counters.late_messages += 1;
            return;
        };
        let Stage::Reading(reading) = &mut row.stage else { return };
        let Some(execution) = self.executions.get(&reading.run) else { return };
        let chunk_count = execution.answer.chunk_count();
        reading.received = reading.received.max(next_chunk.min(chunk_count));
        if execution.outcome == Some(Outcome::Whole) {
            reading.acknowledge(now, next_chunk, chunk_count);
        }
        let run = reading.run;
        self.prune(run);
    }

    /// Answers about an attempt of which nothing is known.
    pub(super) fn send_unknown(
        &self,
        link: LinkId,
        attempt: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let verdict = Verdict::MayHaveRun;
        let detail = "the agent holds no record of the attempt".to_owned();
        let message = ToEntry::Failed { attempt, verdict, detail };
        actions.push(AgentAction::Send { link, message });
    }

    /// Sends the final state of an attempt again.
    pub(super) fn send_closing(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        deadline: UnixMs,
        closing: Closing,
        actions: &mut Vec<AgentAction>,
    ) {
        let message = match closing {
            Closing::CancelledUnseen if !self.never_started(deadline) => {
                return self.send_unknown(link, attempt, actions);
            }
            Closing::Tombstoned | Closing::CancelledUnseen => {
                let reason = RefusalReason::Revoked;
                return self.send_refusal(now, link, attempt, reason, None, actions);
            }
            Closing::Refused { reason, retry_at } => {
                return self.send_refusal(now, link, attempt, reason, retry_at, actions);
            }
            Closing::KeyUsed { earlier, verdict } => ToEntry::KeyUsed { attempt, earlier, verdict },
            Closing::Ended { verdict } => {
                let detail = "the answer is no longer held".to_owned();
                ToEntry::Failed { attempt, verdict, detail }
            }
        };
        actions.push(AgentAction::Send { link, message });
    }
}

impl Reading {
    /// Notes an acknowledgement of a whole answer.
    ///
    /// One that names exactly the chunks may have crossed the end marker on its way: it counts only
    /// after a while without an attachment, so that a drain does not cut the end marker off.
    fn acknowledge(&mut self, now: Now, next_chunk: u32, chunk_count: u32) {
        if next_chunk > chunk_count {
            self.whole_at = now.unix_ms;
        } else if next_chunk == chunk_count && self.whole_at == UnixMs::NEVER {
            self.whole_at = now.after(ACK_SETTLE_MS);
        }
    }
}

fn send_revoked(
    link: LinkId,
    attempt: AttemptId,
    outcome: RevokeOutcome,
    actions: &mut Vec<AgentAction>,
) {
    let message = ToEntry::Revoked { attempt, outcome };
    actions.push(AgentAction::Send { link, message });
}
