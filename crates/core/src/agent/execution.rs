//! One row of the table of runs: a request that was given to the backend server.

use super::answer::Answer;
use crate::ids::AttemptId;
use crate::message::KeyDigest;
use crate::time::UnixMs;
use crate::verdict::Verdict;
use hickorycross_config::{RouteId, TeamId};

/// A run with as much of its answer as is held.
#[derive(Debug)]
pub(crate) struct Execution {
    /// Attempts that read the answer; one unless an idempotency key was repeated.
    pub(crate) readers: Vec<AttemptId>,
    /// The caller's idempotency key.
    pub(crate) key: Option<KeyDigest>,
    /// The route, for the key's horizon.
    pub(crate) route: RouteId,
    /// The team that pays.
    pub(crate) team: TeamId,
    /// Rank of its tier at the start.
    pub(crate) rank: u8,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// When it was given to the backend server.
    pub(crate) started: UnixMs,
    /// Slot time that its team was charged at the start.
    pub(crate) charged_ms: u64,
    /// The answer so far.
    pub(crate) answer: Answer,
    /// Whether chunks stay held for repeats of the key after all readers acknowledged them.
    pub(crate) replayable: bool,
    /// Set once an abort was asked for.
    pub(crate) aborting: bool,
    /// How it ended.
    pub(crate) outcome: Option<Outcome>,
    /// From when on a drain no longer waits for readers; never passes while it runs.
    pub(crate) settle_by: UnixMs,
    /// From when on nothing of it is held; never passes while it runs.
    pub(crate) retain_until: UnixMs,
}

/// When an ended run is to be looked at by the sweep. Thousands may be held for repeats of their
/// keys, so the sweep goes by this order and touches only what is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueRun {
    pub(crate) retain_until: UnixMs,
    pub(crate) run: AttemptId,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// With a whole answer.
    Whole,
    /// Without one.
    Failed { verdict: Verdict, detail: String },
}

impl Execution {
    /// What is known of the execution once the answer is no longer held.
    pub(crate) fn verdict(&self) -> Verdict {
        match &self.outcome {
            Some(Outcome::Failed { verdict, .. }) => *verdict,
            Some(Outcome::Whole) => Verdict::Ran,
            None => Verdict::MayHaveRun,
        }
    }

    /// Whether the answer can be given to another attempt from its first chunk on.
    pub(crate) fn can_repeat(&self) -> bool {
        let failed = matches!(self.outcome, Some(Outcome::Failed { .. }));
        !failed && !self.aborting && self.answer.holds_from(0)
    }
}
