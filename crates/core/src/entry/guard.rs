//! Independent check of the invariants of a request's outcome.
//!
//! Every attempt and everything sent to a caller is checked here first, against records that are
//! separate from the tables on which decisions are based. An error in those tables is therefore
//! detected as a [`Violation`] before it causes a second execution or a mixed response, and the
//! caller gets the safe outcome.

use crate::entry::constants::ENDED_REQUESTS_MAX;
use crate::ids::{AttemptId, RequestId};
use crate::verdict::Verdict;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use thiserror::Error;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum Violation {
    #[error("request {0} arrived twice")]
    DuplicateArrival(RequestId),
    #[error("request {0} was answered after its final answer")]
    AfterFinalResponse(RequestId),
    #[error("attempt {0} of a non-idempotent request while an earlier one is not refuted")]
    SecondExecution(AttemptId),
    #[error("attempt {0} after the answer began")]
    AttemptAfterHead(AttemptId),
    #[error("the answer of attempt {0} began in place of another one")]
    SecondHead(AttemptId),
    #[error("piece {index} of attempt {attempt} came out of order or from another attempt")]
    ChunkOutOfOrder { attempt: AttemptId, index: u32 },
    #[error("attempt {0} was reported as not run after a part of its answer came")]
    NotRunAfterStart(AttemptId),
    #[error("request {0} finished without an answer or with missing pieces")]
    FinishedIncomplete(RequestId),
}

#[derive(Debug, Default)]
struct RequestRecord {
    attempts: IndexMap<AttemptId, Option<Verdict>>,
    head_from: Option<AttemptId>,
    next_chunk: u32,
}

/// Attempts and delivered responses of open requests, and the identifiers of recently ended ones.
#[derive(Debug, Default)]
pub(super) struct OutcomeGuard {
    open: IndexMap<RequestId, RequestRecord>,
    ended: IndexSet<RequestId>,
    ended_order: VecDeque<RequestId>,
}

impl OutcomeGuard {
    /// Records a new request, whose identifier must not have been used before.
    pub(super) fn record_arrival(&mut self, request: RequestId) -> Result<(), Violation> {
        if self.open.contains_key(&request) || self.ended.contains(&request) {
            return Err(Violation::DuplicateArrival(request));
        }
        self.open.insert(request, RequestRecord::default());
        Ok(())
    }

    /// Checks and records a new attempt.
    pub(super) fn record_attempt(
        &mut self,
        attempt: AttemptId,
        idempotent: bool,
    ) -> Result<(), Violation> {
        let record = self.record(attempt.request)?;
        let all_not_run = record.attempts.values().all(|verdict| *verdict == Some(Verdict::NotRun));
        if !idempotent && !all_not_run {
            return Err(Violation::SecondExecution(attempt));
        }
        if record.head_from.is_some() {
            return Err(Violation::AttemptAfterHead(attempt));
        }
        record.attempts.insert(attempt, None);
        Ok(())
    }

    /// Records the verdict on an attempt. `NotRun` after part of its response was received is a
    /// violation, and counts as `Ran`.
    pub(super) fn record_verdict(
        &mut self,
        attempt: AttemptId,
        verdict: Verdict,
        started: bool,
    ) -> Result<(), Violation> {
        let record = self.record(attempt.request)?;
        let started = started || record.head_from == Some(attempt);
        let known = if started { Verdict::Ran } else { verdict };
        record.attempts.insert(attempt, Some(known));
        if started && verdict == Verdict::NotRun {
            return Err(Violation::NotRunAfterStart(attempt));
        }
        Ok(())
    }

    /// Checks that this is the only response head of the request, and records it.
    pub(super) fn record_head(&mut self, attempt: AttemptId) -> Result<(), Violation> {
        let record = self.record(attempt.request)?;
        if record.head_from.is_some() {
            return Err(Violation::SecondHead(attempt));
        }
        record.head_from = Some(attempt);
        Ok(())
    }

    /// Checks that a chunk is the next one of the response that began.
    pub(super) fn record_chunk(&mut self, attempt: AttemptId, index: u32) -> Result<(), Violation> {
        let record = self.record(attempt.request)?;
        if record.head_from != Some(attempt) || record.next_chunk != index {
            return Err(Violation::ChunkOutOfOrder { attempt, index });
        }
        record.next_chunk += 1;
        Ok(())
    }

    /// Checks that a response is complete, and ends the request.
    pub(super) fn record_completion(
        &mut self,
        attempt: AttemptId,
        chunk_count: u32,
    ) -> Result<(), Violation> {
        let record = self.record(attempt.request)?;
        if record.head_from != Some(attempt) || record.next_chunk != chunk_count {
            return Err(Violation::FinishedIncomplete(attempt.request));
        }
        self.close(attempt.request);
        Ok(())
    }

    /// Ends a request that was refused or whose caller disconnected.
    pub(super) fn record_refusal(&mut self, request: RequestId) -> Result<(), Violation> {
        self.record(request)?;
        self.close(request);
        Ok(())
    }

    fn record(&mut self, request: RequestId) -> Result<&mut RequestRecord, Violation> {
        self.open.get_mut(&request).ok_or(Violation::AfterFinalResponse(request))
    }

    fn close(&mut self, request: RequestId) {
        self.open.swap_remove(&request);
        self.ended.insert(request);
        self.ended_order.push_back(request);
        if self.ended_order.len() > ENDED_REQUESTS_MAX
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.swap_remove(&oldest);
        }
    }
}
