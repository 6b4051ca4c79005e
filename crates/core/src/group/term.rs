//! Terms, each of which lets one candidate coordinate under one fencing token.

use super::membership::{Epoch, MemberIndex};
use crate::{Fencing, Incarnation};

/// Number of fencing tokens per round; a token is `round * TOKENS_PER_ROUND + index`.
const TOKENS_PER_ROUND: u64 = 256;

/// The claim of one candidate to coordinate one membership.
///
/// Members accept grants only from exactly the term that they promised to follow. The fencing token
/// alone does not suffice, because a restarted candidate may pick the same one as its predecessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Term {
    pub(crate) fencing: Fencing,
    pub(crate) epoch: Epoch,
    pub(crate) candidate: MemberIndex,
    pub(crate) incarnation: Incarnation,
}

impl Term {
    /// Returns whether both are the same term; the document's revision may differ.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.fencing == other.fencing
            && self.epoch.is_same_content(other.epoch)
            && self.candidate == other.candidate
            && self.incarnation == other.incarnation
    }
}

/// Returns a fencing token above `seen` that only the member with this index may use.
pub(crate) const fn next_fencing(seen: Fencing, index: MemberIndex) -> Fencing {
    let round = seen.0 / TOKENS_PER_ROUND + 1;
    Fencing(round * TOKENS_PER_ROUND + index.0 as u64)
}
