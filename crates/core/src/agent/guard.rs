//! Invariants of a start, asserted right before it from records of their own.
//!
//! The records stand apart from the tables that the decisions use, so that a fault in those tables
//! is found here. A start that breaks an invariant is not carried out.

use super::constants::CLOCK_SKEW_BOUND_MS;
use crate::ids::AttemptId;
use crate::time::{Now, UnixMs};
use indexmap::IndexMap;

/// What is known of a start that is about to happen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Starting {
    pub(crate) attempt: AttemptId,
    pub(crate) deadline: UnixMs,
    pub(crate) running: u32,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    /// The key is non-idempotent and has a run that may have reached the backend server.
    pub(crate) key_used: bool,
}

/// An invariant that a start would break.
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

/// Started and tombstoned attempts until their deadline has safely passed.
#[derive(Debug, Default)]
pub(crate) struct StartGuard {
    started: IndexMap<AttemptId, UnixMs>,
    tombstoned: IndexMap<AttemptId, UnixMs>,
}

impl StartGuard {
    pub(crate) fn check(&self, now: Now, starting: &Starting) -> Result<(), Violation> {
        let faults = [
            (self.started.contains_key(&starting.attempt), Violation::StartedBefore),
            (self.tombstoned.contains_key(&starting.attempt), Violation::Tombstoned),
            (starting.deadline.is_past(now), Violation::Expired),
            (starting.running >= starting.slots, Violation::NoSlot),
            (starting.draining, Violation::Draining),
            (starting.key_used, Violation::KeyUsed),
        ];
        match faults.into_iter().find(|(broken, _)| *broken) {
            Some((_, violation)) => Err(violation),
            None => Ok(()),
        }
    }

    pub(crate) fn note_started(&mut self, attempt: AttemptId, deadline: UnixMs) {
        self.started.insert(attempt, deadline.after(CLOCK_SKEW_BOUND_MS));
    }

    pub(crate) fn note_tombstoned(&mut self, attempt: AttemptId, deadline: UnixMs) {
        self.tombstoned.insert(attempt, deadline.after(CLOCK_SKEW_BOUND_MS));
    }

    pub(crate) fn sweep(&mut self, now: Now) {
        self.started.retain(|_, forget_at| !forget_at.is_past(now));
        self.tombstoned.retain(|_, forget_at| !forget_at.is_past(now));
    }
}
