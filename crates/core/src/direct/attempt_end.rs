//! What the end of an attempt proves.

use crate::Verdict;

/// How an attempt at a backend server ended without an answer that can be handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection came about, or it closed before a byte of the request had left.
    NothingSent,
    /// The backend server said that it did not run the request.
    Rejected,
    /// Another backend server has the address now, and did not run it.
    OtherIncarnation,
    /// The connection broke after bytes had left.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// What came was not an answer to this request.
    InvalidAnswer,
    /// The entry left it, because it is slow and holds its whole group up.
    Abandoned,
}

impl AttemptEnd {
    /// The word for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NothingSent => "nothing-sent",
            Self::Rejected => "rejected",
            Self::OtherIncarnation => "other-incarnation",
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::InvalidAnswer => "spoiled",
            Self::Abandoned => "left",
        }
    }
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Judgement {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the backend server deserves less trust for it.
    pub blames_backend: bool,
}

/// Judges the end of one attempt.
///
/// Only a backend server's own word or the lack of any byte sent proves that a request did not run.
/// Taking a reset or silence for proof would let a non-idempotent request run twice.
pub const fn judge_attempt(end: AttemptEnd) -> Judgement {
    match end {
        AttemptEnd::NothingSent => Judgement { verdict: Verdict::NotRun, blames_backend: true },
        AttemptEnd::Rejected | AttemptEnd::OtherIncarnation => {
            Judgement { verdict: Verdict::NotRun, blames_backend: false }
        }
        AttemptEnd::Abandoned => Judgement { verdict: Verdict::MayHaveRun, blames_backend: false },
        AttemptEnd::Broken | AttemptEnd::TimedOut | AttemptEnd::InvalidAnswer => {
            Judgement { verdict: Verdict::MayHaveRun, blames_backend: true }
        }
    }
}
