//! State of a single attempt.

use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{RefusalReason, Submit};
use crate::time::UnixMs;
use crate::verdict::Verdict;

/// An attempt known to the agent.
///
/// The record is kept past the deadline by the clock skew bound, so that late copies are
/// recognized.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The link on which its messages are sent; none while that link is closed.
    pub(crate) link: Option<LinkId>,
    /// The attempt must not start at or after this time.
    pub(crate) deadline: UnixMs,
    /// When the attempt is given up unless its entry reattaches; `NEVER` while its link is open.
    pub(crate) orphan_at: UnixMs,
    /// The record is kept at least until this time.
    pub(crate) forget_at: UnixMs,
    /// Current stage.
    pub(crate) stage: Stage,
}

/// Stage in the life cycle of an attempt.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Waits in the queue for a slot.
    Queued(Box<Submit>),
    /// Receives the response of a run: its own, or an earlier one with its idempotency key.
    Reading(ReadProgress),
    /// Finished; a late copy of its submit gets the same reply again.
    Closed(FinalState),
}

/// How much of a run's response the attempt's entry has acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadProgress {
    /// The run, identified by the attempt that was sent to the backend server.
    pub(crate) run: AttemptId,
    /// Index of the first chunk that is not acknowledged yet.
    pub(crate) next_unacked_chunk: u32,
    /// When the complete response counts as acknowledged; `NEVER` until then.
    pub(crate) fully_acked_at: UnixMs,
}

/// Final state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalState {
    /// Revoked or cancelled before it started.
    Tombstoned,
    /// Cancelled before any submit arrived; whether it was ever submitted is not known.
    CancelledEarly,
    /// Refused without being run.
    Refused { reason: RefusalReason, retry_at: Option<UnixMs> },
    /// Not run, because an earlier request with its key ran or may have run.
    KeyUsed { earlier: Option<RequestId>, verdict: Verdict },
    /// Was sent to the backend server; its response is no longer retained.
    Ended { verdict: Verdict },
}

impl Attempt {
    /// Returns whether the attempt may have been sent to the backend server.
    pub(crate) fn may_have_started(&self) -> bool {
        matches!(self.stage, Stage::Reading(_) | Stage::Closed(FinalState::Ended { .. }))
    }
}
