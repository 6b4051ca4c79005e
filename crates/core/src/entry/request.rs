//! Rows of the request table: what a caller waits for, and the one attempt that is live for it.

use crate::entry::answer::Answer;
use crate::ids::{AttemptId, Incarnation, InstanceId};
use crate::message::{KeyDigest, RequestHead, Submit};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use bytes::Bytes;
use hickorycross_config::{BackendServerId, RouteId, TeamId, TierId};
use indexmap::IndexSet;

/// One request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) team: TeamId,
    pub(super) tier: TierId,
    pub(super) rank: u8,
    pub(super) route: RouteId,
    pub(super) idempotent: bool,
    pub(super) key: Option<KeyDigest>,
    pub(super) content: u64,
    pub(super) prefix: Option<u64>,
    pub(super) deadline: UnixMs,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// Attempts made so far; the ordinal of the next one.
    pub(super) tries: u16,
    /// Backend servers that were tried.
    pub(super) tried: IndexSet<BackendServerId>,
    /// The greatest verdict of the attempts that ended.
    pub(super) verdict: Verdict,
    /// No attempt is made before this moment.
    pub(super) not_before: UnixMs,
    /// The request no longer waits for a link to open at this moment.
    pub(super) link_wait: UnixMs,
    pub(super) attempt: Option<Attempt>,
}

impl Request {
    /// The message that hands an attempt to an agent.
    pub(super) fn submit(&self, attempt: AttemptId, agent: Incarnation) -> Submit {
        Submit {
            attempt,
            agent,
            team: self.team.clone(),
            tier: self.tier.clone(),
            route: self.route.clone(),
            idempotent: self.idempotent,
            key: self.key,
            content: self.content,
            deadline: self.deadline,
            head: self.head.clone(),
            body: self.body.clone(),
        }
    }

    /// What can be said of its execution now.
    pub(super) fn verdict_now(&self) -> Verdict {
        let live = self.attempt.as_ref().map_or(Verdict::NotRun, Attempt::verdict_now);
        self.verdict.max(live)
    }

    /// The earliest moment at which something is to be done about it.
    pub(super) fn next_due(&self, now: Now) -> UnixMs {
        let step = match &self.attempt {
            Some(attempt) => attempt.next_due(),
            None if self.not_before.is_past(now) => self.link_wait,
            None => self.not_before,
        };
        self.deadline.min(step)
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Sent; the agent has not said a word about it.
    Submitted {
        /// When the acknowledgement is overdue.
        ack_due: UnixMs,
    },
    /// Out of touch before it was acknowledged; to be revoked on a fresh link.
    Lost,
    /// A revocation was sent on a fresh link.
    Revoking {
        /// When its answer is overdue.
        ack_due: UnixMs,
    },
    /// The agent has it.
    Accepted,
}

/// One try of a request at one agent incarnation.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) backend_server: BackendServerId,
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) sent: UnixMs,
    pub(super) progress: Progress,
    /// While out of touch: when it is given up.
    pub(super) recover_until: Option<UnixMs>,
    /// When it is attached again for want of progress.
    pub(super) quiet: UnixMs,
    /// Attachments since the last progress.
    pub(super) reattaches: u32,
    /// The backend server answered with a server error.
    pub(super) server_error: bool,
    pub(super) answer: Answer,
}

impl Attempt {
    /// What can be said of its execution now.
    pub(super) fn verdict_now(&self) -> Verdict {
        if self.answer.has_started() { Verdict::Ran } else { Verdict::MayHaveRun }
    }

    /// The earliest moment at which something is to be done about it.
    pub(super) fn next_due(&self) -> UnixMs {
        let step = match self.progress {
            Progress::Submitted { ack_due } | Progress::Revoking { ack_due } => ack_due,
            Progress::Accepted => self.quiet,
            Progress::Lost => UnixMs::NEVER,
        };
        self.recover_until.map_or(step, |until| until.min(step))
    }
}
