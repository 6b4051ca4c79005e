//! One row of the table of attempts.

use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{RefusalReason, Submit};
use crate::time::UnixMs;
use crate::verdict::Verdict;

/// What an agent keeps of an attempt until its deadline has safely passed.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Where its messages go; none while its link is closed.
    pub(crate) link: Option<LinkId>,
    /// No work on it begins at or after this moment.
    pub(crate) deadline: UnixMs,
    /// Until when its entry may come back; never passes while a link is open.
    pub(crate) orphan_at: UnixMs,
    /// The row is kept at least until this moment.
    pub(crate) forget_at: UnixMs,
    /// How far it has come.
    pub(crate) stage: Stage,
}

/// How far an attempt has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for a slot.
    Queued(Box<Submit>),
    /// It reads the answer of a run: its own, or an earlier one of its idempotency key.
    Reading(Reading),
    /// Nothing more will happen; a late copy gets the same answer again.
    Closed(Closing),
}

/// How much of a run's answer an attempt's entry holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// The attempt that was given to the backend server.
    pub(crate) run: AttemptId,
    /// Index of the first chunk not yet acknowledged.
    pub(crate) received: u32,
    /// From when on the whole answer counts as acknowledged.
    pub(crate) whole_at: UnixMs,
}

/// The final state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    /// Revoked or cancelled before it started.
    Tombstoned,
    /// Cancelled; whether it was ever submitted is not known.
    CancelledUnseen,
    /// Refused; it did not run.
    Refused { reason: RefusalReason, retry_at: Option<UnixMs> },
    /// Not run itself; its key ran, or may have run, before.
    KeyUsed { earlier: Option<RequestId>, verdict: Verdict },
    /// It was given to the backend server and its answer is no longer held.
    Ended { verdict: Verdict },
}

impl Attempt {
    /// Whether it may have been given to the backend server.
    pub(crate) fn may_have_started(&self) -> bool {
        matches!(self.stage, Stage::Reading(_) | Stage::Closed(Closing::Ended { .. }))
    }
}
