//! How one watch of the store reaches it: answers, failures, and when the store counts as lost.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use crate::store::StoreError;
use crate::store_availability;
use hickorycross_core::direct::BootMs;

/// Number of consecutive failed calls after which the store counts as lost.
const FAILURES_UNTIL_LOST: u32 = 2;

/// Time beyond the requested wait in which an answer is made and arrives.
///
/// A process that was frozen finds an answer that is older than that. Taken for a new one, it would
/// hide an outage.
const MAX_ANSWER_MS: u64 = 700;

/// An answered call of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredCall {
    /// When it was sent.
    pub(crate) sent_at: BootMs,
    /// For how many milliseconds it asked the store to wait.
    pub(crate) wait_ms: u64,
    /// How often the store has come back from a copy.
    pub(crate) era: u64,
}

/// Availability of the store, as one of the watches observes it.
#[derive(Debug)]
pub(crate) struct StoreContact {
    /// What the watch reads.
    reading: &'static str,
    failures_in_row: u32,
}

impl StoreContact {
    pub(crate) const fn new(reading: &'static str) -> Self {
        Self { reading, failures_in_row: 0 }
    }

    /// Records the answer to a call of the store, and logs if the store was lost before.
    pub(crate) fn note_answer(&mut self, state: &EntryState, call: AnsweredCall) {
        let answered_at = boot_now().min(call.sent_at.after(call.wait_ms + MAX_ANSWER_MS));
        store_availability::note_answer(state, answered_at, call.era);
        if self.failures_in_row >= FAILURES_UNTIL_LOST {
            state.log.note(DecisionLog::fields("store-regained").with("reading", self.reading));
        }
        self.failures_in_row = 0;
    }

    /// Records a failed call, and logs if the store counts as lost from now on.
    pub(crate) fn note_failure(&mut self, state: &EntryState, error: &StoreError) {
        if *error == StoreError::HistoryGone {
            return;
        }
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        metrics::counter!("hickorycross_store_failures_total").increment(1);
        if self.failures_in_row == FAILURES_UNTIL_LOST {
            let line = DecisionLog::fields("store-lost").with("reading", self.reading);
            state.log.note(line.with("error", error));
        }
    }

    pub(crate) const fn is_lost(&self) -> bool {
        self.failures_in_row >= FAILURES_UNTIL_LOST
    }

    /// Returns whether the last answered call was followed by one that got no answer, as on a
    /// connection that is gone without a reset. A call on a new connection shows whether the store is
    /// away.
    pub(crate) const fn is_first_silence(&self, error: &StoreError) -> bool {
        matches!(error, StoreError::Unanswered(_)) && self.failures_in_row == 1
    }
}
