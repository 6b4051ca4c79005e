//! How an attempt at a backend server failed, and whether it may have run.

use crate::Verdict;

/// Why an attempt at a backend server gave no answer that can be forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection failed, or closed before a byte of the request was sent.
    NothingSent,
    /// The backend server stated that it did not run the request.
    Rejected,
    /// The backend server stated that it did not run the request, and that another rank of its group
    /// is at fault.
    GroupRejected,
    /// The backend server stated that it did not run the request, and asked for a backoff.
    Backoff,
    /// The entry did not send the request after all, as the backend server announced meanwhile that
    /// it wants no more requests.
    Declined,
    /// The entry did not send the request after all, as the configuration in force no longer allows
    /// the region of the backend server.
    RegionNotAllowed,
    /// Another incarnation listens at the address and stated that it did not run the request.
    OtherIncarnation,
    /// The connection broke after bytes were sent.
    Broken,
    /// No answer, or no next event, came in time.
    TimedOut,
    /// The data received was not a valid answer to this request.
    InvalidAnswer,
    /// The entry moved the request away because the backend server is slow and delays its whole
    /// group.
    Abandoned,
}

impl AttemptEnd {
    /// Returns the value for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NothingSent => "nothing-sent",
            Self::Rejected => "rejected",
            Self::GroupRejected => "group-rejected",
            Self::Backoff => "backoff",
            Self::Declined => "declined",
            Self::RegionNotAllowed => "region-not-allowed",
            Self::OtherIncarnation => "other-incarnation",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::InvalidAnswer => "spoiled",
            Self::Abandoned => "left",
        }
    }
}

/// What the end of an attempt means for its request and its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Judgement {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether it counts as a failure of the backend server.
    pub blames_backend: bool,
}

/// Classifies the end of one attempt.
///
/// Only a statement of the backend server, or that no byte was sent, proves that a request did not
/// run. Treating a connection reset or a timeout as proof would let a non-idempotent request run
/// twice.
pub const fn judge_attempt(end: AttemptEnd) -> Judgement {
    match end {
        AttemptEnd::NothingSent => Judgement { verdict: Verdict::NotRun, blames_backend: true },
        AttemptEnd::Rejected
        | AttemptEnd::GroupRejected
        | AttemptEnd::Backoff
        | AttemptEnd::Declined
        | AttemptEnd::RegionNotAllowed
        | AttemptEnd::OtherIncarnation => {
            Judgement { verdict: Verdict::NotRun, blames_backend: false }
        }
        AttemptEnd::Abandoned => Judgement { verdict: Verdict::MayHaveRun, blames_backend: false },
        AttemptEnd::Broken | AttemptEnd::TimedOut | AttemptEnd::InvalidAnswer => {
            Judgement { verdict: Verdict::MayHaveRun, blames_backend: true }
        }
    }
}
