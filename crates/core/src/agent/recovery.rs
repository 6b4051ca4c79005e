//! Revocation, reattachment, cancellation and acknowledgement of attempts.

use super::attempt::{FinalState, ReadProgress, Stage};
use super::constants::{ACK_SETTLE_MS, CANCEL_TOMBSTONE_MS};
use super::core::AgentCore;
use super::execution::Outcome;
use super::interface::AgentAction;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{RefusalReason, RevokeOutcome, ToEntry};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

/// A revocation received from an entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Revocation {
    pub(super) attempt: AttemptId,
    pub(super) agent: Incarnation,
    pub(super) deadline: UnixMs,
    pub(super) next_chunk: u32,
}

impl AgentCore {
    /// Guarantees that an attempt will not start, or attaches the entry to it if it may have
    /// started.
    pub(super) fn handle_revoke(
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
            None | Some(Stage::Closed(FinalState::CancelledEarly)) => {
                self.revoke_without_record(link, revocation, actions);
            }
            Some(Stage::Queued(_)) => {
                self.queue.remove(&attempt);
                self.tombstone(link, revocation, actions);
            }
            Some(Stage::Closed(FinalState::Tombstoned | FinalState::Refused { .. })) => {
                send_revoked(link, attempt, RevokeOutcome::Tombstoned, actions);
            }
            Some(Stage::Closed(final_state @ FinalState::KeyUsed { .. })) => {
                let final_state = *final_state;
                self.send_final_state(
                    now,
                    link,
                    attempt,
                    revocation.deadline,
                    final_state,
                    actions,
                );
            }
            Some(Stage::Reading(_) | Stage::Closed(FinalState::Ended { .. })) => {
                self.counters.revoked_started += 1;
                send_revoked(link, attempt, RevokeOutcome::Attached, actions);
                self.attach_known(now, link, attempt, revocation.next_chunk, actions);
            }
        }
    }

    /// Revokes an attempt of which no record shows whether it started.
    ///
    /// That it never started is certain only while no attempt with the same or a later deadline has
    /// been forgotten.
    fn revoke_without_record(
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

    /// Records and confirms that an attempt will not start.
    ///
    /// Without the record, a delayed copy of the submit would run, although the entry has been told
    /// that it will not and has sent another attempt.
    fn tombstone(&mut self, link: LinkId, revocation: Revocation, actions: &mut Vec<AgentAction>) {
        let Revocation { attempt, deadline, .. } = revocation;
        self.counters.tombstoned += 1;
        if self.mechanisms.tombstones {
            self.guard.record_tombstoned(attempt, deadline);
            self.insert_attempt(
                attempt,
                Some(link),
                deadline,
                Stage::Closed(FinalState::Tombstoned),
            );
        } else {
            self.attempts.swap_remove(&attempt);
        }
        send_revoked(link, attempt, RevokeOutcome::Tombstoned, actions);
    }

    /// Moves an attempt to a link and resends what the entry does not have yet.
    pub(super) fn handle_attach(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        agent: Incarnation,
        next_chunk: u32,
        actions: &mut Vec<AgentAction>,
    ) {
        let is_addressed = !self.mechanisms.incarnation_check || agent == self.identity.incarnation;
        if is_addressed && self.attempts.contains_key(&attempt) {
            return self.attach_known(now, link, attempt, next_chunk, actions);
        }
        // The submit may still be in transit, or the record has expired: it may have run or not.
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
            // The deadline is not known, so the attempt may have run and been forgotten.
            Stage::Closed(FinalState::CancelledEarly) => self.send_unknown(link, attempt, actions),
            Stage::Closed(final_state) => {
                let final_state = *final_state;
                self.send_final_state(now, link, attempt, deadline, final_state, actions);
            }
        }
    }

    /// Stops an attempt whose caller no longer waits for the response.
    pub(super) fn handle_cancel(
        &mut self,
        now: Now,
        attempt: AttemptId,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(row) = self.attempts.get(&attempt) else {
            self.counters.late_messages += 1;
            // The cancellation may have arrived before the submit.
            let until = now.after(CANCEL_TOMBSTONE_MS);
            let stage = Stage::Closed(FinalState::CancelledEarly);
            return self.insert_attempt(attempt, None, until, stage);
        };
        match row.stage {
            Stage::Queued(_) => {
                self.counters.cancelled += 1;
                self.guard.record_tombstoned(attempt, row.deadline);
                self.queue.remove(&attempt);
                self.set_final_state(attempt, FinalState::Tombstoned);
            }
            Stage::Reading(reading) => {
                self.counters.cancelled += 1;
                self.detach_reader(attempt, reading.run);
                self.abort_if_unread(reading.run, actions);
            }
            Stage::Closed(_) => {}
        }
    }

    /// Removes an attempt from the readers of a run. From then on it can only be told the verdict.
    pub(super) fn detach_reader(&mut self, attempt: AttemptId, run: AttemptId) {
        let verdict = match self.executions.get_mut(&run) {
            Some(execution) => {
                execution.readers.retain(|reader| *reader != attempt);
                execution.verdict()
            }
            None => Verdict::MayHaveRun,
        };
        self.set_final_state(attempt, FinalState::Ended { verdict });
        self.prune(run);
    }

    pub(super) fn set_final_state(&mut self, attempt: AttemptId, final_state: FinalState) {
        if let Some(row) = self.attempts.get_mut(&attempt) {
            row.stage = Stage::Closed(final_state);
        }
    }

    /// Records that an entry has received all chunks before `next_chunk`.
    pub(super) fn acknowledge(&mut self, now: Now, attempt: AttemptId, next_chunk: u32) {
        let Some(row) = self.attempts.get_mut(&attempt) else {
            self.counters.late_messages += 1;
            return;
        };
        let Stage::Reading(reading) = &mut row.stage else { return };
        let Some(execution) = self.executions.get(&reading.run) else { return };
        let chunk_count = execution.response.chunk_count();
        reading.next_unacked_chunk = reading.next_unacked_chunk.max(next_chunk.min(chunk_count));
        if execution.outcome == Some(Outcome::Complete) {
            reading.note_full_acknowledgement(now, next_chunk, chunk_count);
        }
        let run = reading.run;
        self.prune(run);
    }

    /// Replies that an attempt may have run, because no record of it exists.
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

    /// Sends the final state of an attempt to its entry.
    pub(super) fn send_final_state(
        &mut self,
        now: Now,
        link: LinkId,
        attempt: AttemptId,
        deadline: UnixMs,
        final_state: FinalState,
        actions: &mut Vec<AgentAction>,
    ) {
        let message = match final_state {
            FinalState::CancelledEarly if !self.never_started(deadline) => {
                return self.send_unknown(link, attempt, actions);
            }
            FinalState::Tombstoned | FinalState::CancelledEarly => {
                let reason = RefusalReason::Revoked;
                return self.send_refusal(now, link, attempt, reason, None, actions);
            }
            FinalState::Refused { reason, retry_at } => {
                return self.send_refusal(now, link, attempt, reason, retry_at, actions);
            }
            FinalState::KeyUsed { earlier, verdict } => {
                ToEntry::KeyUsed { attempt, earlier, verdict }
            }
            FinalState::Ended { verdict } => {
                let detail = "the answer is no longer held".to_owned();
                ToEntry::Failed { attempt, verdict, detail }
            }
        };
        actions.push(AgentAction::Send { link, message });
    }
}

impl ReadProgress {
    /// Records when a complete response counts as acknowledged.
    ///
    /// `next_chunk` beyond the last chunk acknowledges the end marker too. An acknowledgement of
    /// just the chunks may have been sent before the end marker arrived. It counts only after a
    /// delay, so that a drain does not stop the agent before the entry has the end marker.
    fn note_full_acknowledgement(&mut self, now: Now, next_chunk: u32, chunk_count: u32) {
        if next_chunk > chunk_count {
            self.fully_acked_at = now.unix_ms;
        } else if next_chunk == chunk_count && self.fully_acked_at == UnixMs::NEVER {
            self.fully_acked_at = now.after(ACK_SETTLE_MS);
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
