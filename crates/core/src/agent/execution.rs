//! State of a run: a request that was sent to the backend server.

use super::response_buffer::ResponseBuffer;
use crate::ids::AttemptId;
use crate::message::KeyDigest;
use crate::time::UnixMs;
use crate::verdict::Verdict;
use hickorycross_config::{RouteId, TeamId};

/// A run and the retained part of its response.
#[derive(Debug)]
pub(crate) struct Execution {
    /// Attempts that receive the response; more than one only if the idempotency key was repeated.
    pub(crate) readers: Vec<AttemptId>,
    /// The caller's idempotency key.
    pub(crate) key: Option<KeyDigest>,
    /// The route, which defines the key's horizon.
    pub(crate) route: RouteId,
    /// The team that is charged for the slot time.
    pub(crate) team: TeamId,
    /// Rank of the tier at the start.
    pub(crate) rank: u8,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// When the request was sent to the backend server.
    pub(crate) started: UnixMs,
    /// Slot time charged to the team at the start.
    pub(crate) charged_ms: u64,
    /// The response so far.
    pub(crate) response: ResponseBuffer,
    /// Whether chunks are retained for repeats of the key after all readers acknowledged them.
    pub(crate) replayable: bool,
    /// Set once an abort was requested.
    pub(crate) aborting: bool,
    /// How the run ended; none while it is running.
    pub(crate) outcome: Option<Outcome>,
    /// Until when readers may fetch the response before a drain stops waiting for them; `NEVER`
    /// while it is running.
    pub(crate) fetch_until: UnixMs,
    /// When the response is dropped; `NEVER` while it is running.
    pub(crate) retain_until: UnixMs,
}

/// When the retention of a finished run expires.
///
/// Thousands of runs may be retained for repeats of their keys. Ordering them by expiry lets the
/// sweep visit only those that are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RetentionExpiry {
    pub(crate) retain_until: UnixMs,
    pub(crate) run: AttemptId,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// With a complete response.
    Complete,
    /// Without a complete response.
    Failed { verdict: Verdict, detail: String },
}

impl Execution {
    /// Returns what is known of the run without its response.
    pub(crate) fn verdict(&self) -> Verdict {
        match &self.outcome {
            Some(Outcome::Failed { verdict, .. }) => *verdict,
            Some(Outcome::Complete) => Verdict::Ran,
            None => Verdict::MayHaveRun,
        }
    }

    /// Returns whether another attempt can receive the response from its first chunk on.
    pub(crate) fn can_replay(&self) -> bool {
        let failed = matches!(self.outcome, Some(Outcome::Failed { .. }));
        !failed && !self.aborting && self.response.retains_from(0)
    }
}
