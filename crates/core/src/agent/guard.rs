//! Independent check of the invariants right before an attempt starts.
//!
//! The guard keeps its own records, separate from the tables on which decisions are based, so that
//! it detects errors in those tables. A start that would violate an invariant is not carried out.

use super::constants::CLOCK_SKEW_BOUND_MS;
use crate::ids::AttemptId;
use crate::time::{Now, UnixMs};
use indexmap::IndexMap;

/// A start that is about to happen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingStart {
    pub(crate) attempt: AttemptId,
    pub(crate) deadline: UnixMs,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    /// The request is non-idempotent and an earlier run of its key may have reached the backend
    /// server.
    pub(crate) key_used: bool,
}

/// An invariant that a start would violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Violation {
    #[error("attempt would start twice")]
    StartedBefore,
    #[error("attempt would start after its revocation")]
    Tombstoned,
    #[error("attempt would start after its deadline")]
    Expired,
    #[error("more attempts would run than there are slots")]
    NoSlot,
    #[error("attempt would start while draining")]
    Draining,
    #[error("non-idempotent key would run twice within its horizon")]
    KeyUsed,
}

/// Started and tombstoned attempts, kept past their deadline by the clock skew bound.
#[derive(Debug, Default)]
pub(crate) struct StartGuard {
    started: IndexMap<AttemptId, UnixMs>,
    tombstoned: IndexMap<AttemptId, UnixMs>,
}

impl StartGuard {
    pub(crate) fn check(&self, now: Now, pending: &PendingStart) -> Result<(), Violation> {
        let faults = [
            (self.started.contains_key(&pending.attempt), Violation::StartedBefore),
            (self.tombstoned.contains_key(&pending.attempt), Violation::Tombstoned),
            (pending.deadline.is_past(now), Violation::Expired),
            (pending.running >= pending.slots, Violation::NoSlot),
            (pending.draining, Violation::Draining),
            (pending.key_used, Violation::KeyUsed),
        ];
        match faults.into_iter().find(|(broken, _)| *broken) {
            Some((_, violation)) => Err(violation),
            None => Ok(()),
        }
    }

    pub(crate) fn record_started(&mut self, attempt: AttemptId, deadline: UnixMs) {
        self.started.insert(attempt, deadline.after(CLOCK_SKEW_BOUND_MS));
    }

    pub(crate) fn record_tombstoned(&mut self, attempt: AttemptId, deadline: UnixMs) {
        self.tombstoned.insert(attempt, deadline.after(CLOCK_SKEW_BOUND_MS));
    }

    pub(crate) fn sweep(&mut self, now: Now) {
        self.started.retain(|_, forget_at| !forget_at.is_past(now));
        self.tombstoned.retain(|_, forget_at| !forget_at.is_past(now));
    }
}
