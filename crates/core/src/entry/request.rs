//! The entry's state of an open request and of its live attempt.

use crate::entry::response::ResponseAssembly;
use crate::ids::{AttemptId, Incarnation, InstanceId};
use crate::message::{KeyDigest, RequestHead, Submit};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{BackendServerId, RouteId, TeamId, TierId};
use indexmap::IndexSet;

/// A request that has no final response yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) team: TeamId,
    pub(super) tier: TierId,
    pub(super) rank: u8,
    pub(super) route: RouteId,
    pub(super) idempotent: bool,
    pub(super) key: Option<KeyDigest>,
    pub(super) content_digest: u64,
    pub(super) prefix_digest: Option<u64>,
    pub(super) deadline: UnixMs,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// Number of attempts made so far, which is the ordinal of the next one.
    pub(super) tries: u16,
    /// Backend servers to which attempts were sent.
    pub(super) tried: IndexSet<BackendServerId>,
    /// The greatest verdict of the ended attempts.
    pub(super) verdict: Verdict,
    /// No attempt is sent before this time.
    pub(super) not_before: UnixMs,
    /// Until when the request may wait for a link to open.
    pub(super) link_wait_until: UnixMs,
    pub(super) attempt: Option<Attempt>,
}

impl Request {
    /// Builds the message that submits an attempt to an agent.
    pub(super) fn submit_message(&self, attempt: AttemptId, agent: Incarnation) -> Submit {
        Submit {
            attempt,
            agent,
            team: self.team.clone(),
            tier: self.tier.clone(),
            route: self.route.clone(),
            idempotent: self.idempotent,
            key: self.key,
            content: self.content_digest,
            deadline: self.deadline,
            head: self.head.clone(),
            body: self.body.clone(),
        }
    }

    /// Returns what is known now about whether the request ran.
    pub(super) fn verdict_now(&self) -> Verdict {
        let live = self.attempt.as_ref().map_or(Verdict::NotRun, Attempt::verdict_now);
        self.verdict.max(live)
    }

    /// Returns the earliest time at which a timer of the request is due.
    pub(super) fn next_due(&self, now: Now) -> UnixMs {
        let step = match &self.attempt {
            Some(attempt) => attempt.next_due(),
            None if self.not_before.is_past(now) => self.link_wait_until,
            None => self.not_before,
        };
        self.deadline.min(step)
    }
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Sent, and not acknowledged yet.
    Submitted {
        /// When the acknowledgement is overdue.
        ack_due: UnixMs,
    },
    /// The link failed before the acknowledgement. The attempt is revoked on a new link.
    Disconnected,
    /// A revocation was sent on a new link.
    Revoking {
        /// When the reply to the revocation is overdue.
        ack_due: UnixMs,
    },
    /// The agent has acknowledged the attempt.
    Accepted,
}

/// One submission of a request to one agent incarnation.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) backend_server: BackendServerId,
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) sent: UnixMs,
    pub(super) progress: Progress,
    /// When the attempt fails unless its agent is reached again; set while the link is lost.
    pub(super) recover_until: Option<UnixMs>,
    /// When the attempt is attached again unless it makes progress.
    pub(super) reattach_due: UnixMs,
    /// Number of attachments since the last progress.
    pub(super) reattaches: u32,
    /// Whether the backend server responded with a status of 500 or above.
    pub(super) server_error: bool,
    pub(super) response: ResponseAssembly,
}

impl Attempt {
    /// Returns what is known now about whether the attempt ran.
    pub(super) fn verdict_now(&self) -> Verdict {
        if self.response.has_started() { Verdict::Ran } else { Verdict::MayHaveRun }
    }

    /// Returns the earliest time at which a timer of the attempt is due.
    pub(super) fn next_due(&self) -> UnixMs {
        let step = match self.progress {
            Progress::Submitted { ack_due } | Progress::Revoking { ack_due } => ack_due,
            Progress::Accepted => self.reattach_due,
            Progress::Disconnected => UnixMs::NEVER,
        };
        self.recover_until.map_or(step, |until| until.min(step))
    }
}
