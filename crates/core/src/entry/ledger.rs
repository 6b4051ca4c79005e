//! The invariants of a request's outcome, checked apart from the code that decides.
//!
//! Everything that leaves for a caller and every attempt passes here first. A bug elsewhere would
//! show as a doubled execution or a mixed answer at some caller, long after its cause; here it
//! shows at once as a [`Violation`], and the caller gets the safe outcome.

use crate::entry::constants::ENDED_REMEMBERED;
use crate::ids::{AttemptId, RequestId};
use crate::verdict::Verdict;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use thiserror::Error;

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum Violation {
    #[error("request {0} arrived twice")]
    ArrivedTwice(RequestId),
    #[error("request {0} was answered after its final answer")]
    AfterFinalAnswer(RequestId),
    #[error("attempt {0} of a non-idempotent request while an earlier one is not refuted")]
    SecondExecution(AttemptId),
    #[error("attempt {0} after the answer began")]
    AttemptAfterBegin(AttemptId),
    #[error("the answer of attempt {0} began in place of another one")]
    BegunTwice(AttemptId),
    #[error("piece {index} of attempt {attempt} came out of order or from another attempt")]
    OutOfOrder { attempt: AttemptId, index: u32 },
    #[error("attempt {0} was reported as not run after a part of its answer came")]
    RefutedAfterStart(AttemptId),
    #[error("request {0} finished without an answer or with missing pieces")]
    FinishedIncomplete(RequestId),
}

#[derive(Debug, Default)]
struct Entry {
    attempts: IndexMap<AttemptId, Option<Verdict>>,
    answered_by: Option<AttemptId>,
    next_chunk: u32,
}

/// What has been promised and delivered for each request.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    open: IndexMap<RequestId, Entry>,
    ended: IndexSet<RequestId>,
    ended_order: VecDeque<RequestId>,
}

impl Ledger {
    /// Opens a request.
    pub(super) fn arrive(&mut self, request: RequestId) -> Result<(), Violation> {
        if self.open.contains_key(&request) || self.ended.contains(&request) {
            return Err(Violation::ArrivedTwice(request));
        }
        self.open.insert(request, Entry::default());
        Ok(())
    }

    /// Checks a new attempt.
    pub(super) fn submit(&mut self, attempt: AttemptId, idempotent: bool) -> Result<(), Violation> {
        let entry = self.entry(attempt.request)?;
        let refuted = entry.attempts.values().all(|verdict| *verdict == Some(Verdict::NotRun));
        if !idempotent && !refuted {
            return Err(Violation::SecondExecution(attempt));
        }
        if entry.answered_by.is_some() {
            return Err(Violation::AttemptAfterBegin(attempt));
        }
        entry.attempts.insert(attempt, None);
        Ok(())
    }

    /// Notes the fate of an attempt. A refutation after a part of its answer came proves nothing.
    pub(super) fn settle(
        &mut self,
        attempt: AttemptId,
        verdict: Verdict,
        started: bool,
    ) -> Result<(), Violation> {
        let entry = self.entry(attempt.request)?;
        let started = started || entry.answered_by == Some(attempt);
        let known = if started { Verdict::Ran } else { verdict };
        entry.attempts.insert(attempt, Some(known));
        if started && verdict == Verdict::NotRun {
            return Err(Violation::RefutedAfterStart(attempt));
        }
        Ok(())
    }

    /// Checks the beginning of an answer.
    pub(super) fn begin(&mut self, attempt: AttemptId) -> Result<(), Violation> {
        let entry = self.entry(attempt.request)?;
        if entry.answered_by.is_some() {
            return Err(Violation::BegunTwice(attempt));
        }
        entry.answered_by = Some(attempt);
        Ok(())
    }

    /// Checks a piece of an answer.
    pub(super) fn chunk(&mut self, attempt: AttemptId, index: u32) -> Result<(), Violation> {
        let entry = self.entry(attempt.request)?;
        if entry.answered_by != Some(attempt) || entry.next_chunk != index {
            return Err(Violation::OutOfOrder { attempt, index });
        }
        entry.next_chunk += 1;
        Ok(())
    }

    /// Checks the end of a whole answer.
    pub(super) fn finish(&mut self, attempt: AttemptId, chunk_count: u32) -> Result<(), Violation> {
        let entry = self.entry(attempt.request)?;
        if entry.answered_by != Some(attempt) || entry.next_chunk != chunk_count {
            return Err(Violation::FinishedIncomplete(attempt.request));
        }
        self.end(attempt.request);
        Ok(())
    }

    /// Checks a refusal, or that nobody waits any more.
    pub(super) fn give_up(&mut self, request: RequestId) -> Result<(), Violation> {
        self.entry(request)?;
        self.end(request);
        Ok(())
    }

    fn entry(&mut self, request: RequestId) -> Result<&mut Entry, Violation> {
        self.open.get_mut(&request).ok_or(Violation::AfterFinalAnswer(request))
    }

    fn end(&mut self, request: RequestId) {
        self.open.swap_remove(&request);
        self.ended.insert(request);
        self.ended_order.push_back(request);
        if self.ended_order.len() > ENDED_REMEMBERED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.swap_remove(&oldest);
        }
    }
}
