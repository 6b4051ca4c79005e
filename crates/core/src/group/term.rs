//! Terms: who may coordinate, under which fencing token.

use super::membership::{Epoch, MemberIndex};
use crate::{Fencing, Incarnation};

/// Numbers of one round; a token is `round * TOKENS_PER_ROUND + place`.
const TOKENS_PER_ROUND: u64 = 256;

/// One candidate's claim to coordinate one membership.
///
/// Grants are taken from exactly the term promised: the token alone does not tell a restarted
/// candidate from its predecessor, which may have drawn the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Term {
    pub(crate) fencing: Fencing,
    pub(crate) epoch: Epoch,
    pub(crate) candidate: MemberIndex,
    pub(crate) incarnation: Incarnation,
}

impl Term {
    /// Whether both are one claim; the document's revision may differ.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.fencing == other.fencing
            && self.epoch.is_same_content(other.epoch)
            && self.candidate == other.candidate
            && self.incarnation == other.incarnation
    }
}

/// The lowest token above `seen` that only `place` draws.
pub(crate) const fn next_fencing(seen: Fencing, place: MemberIndex) -> Fencing {
    let round = seen.0 / TOKENS_PER_ROUND + 1;
    Fencing(round * TOKENS_PER_ROUND + place.0 as u64)
}
