//! The backend servers that may have been homes of a route's keys before this agent.

use super::constants::{ADOPTION_SPREAD_MS, CLOCK_SKEW_BOUND_MS};
use crate::key_home;
use crate::message::{EveryAgent, KeyDigest};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, RouteId};
use indexmap::IndexMap;

/// Former homes of a route's keys, and what is known of when each of them gave them up.
///
/// A former home that a network partition keeps on an old document goes on running keys, for
/// however long. It has given them up once its agent holds a later document: an agent never
/// returns to an earlier one.
#[derive(Clone, Debug)]
pub(super) struct FormerHomes {
    pub(super) route: RouteId,
    pub(super) homes: Homes,
    /// First revision under which they are homes no longer.
    pub(super) replaced_by: u64,
    /// How long after its submission a request can affect a repeat of its key.
    pub(super) key_lifetime_ms: u64,
}

/// Which agents may have been homes.
#[derive(Clone, Debug)]
pub(super) enum Homes {
    /// Those of a document, by backend server. Each has given its keys up by the time stored with
    /// it; none while that is not known.
    Listed(IndexMap<BackendServerId, Option<UnixMs>>),
    /// Any agent, because a document was in force that is not known here.
    Any {
        /// Why the document is not known.
        cause: UnknownDocument,
        /// When all of them have given the keys up; none while that is not known.
        released_at: Option<UnixMs>,
    },
}

/// Why a document that was in force is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnknownDocument {
    /// It was in force before this agent started, or too many were in force to list their homes.
    Earlier {
        /// Documents that were in force may still be on their way to other agents until then.
        settles_at: UnixMs,
    },
    /// This agent skipped the revisions after the one given here.
    Skipped {
        /// The last revision in force here before the skipped ones.
        last_held: u64,
    },
}

impl FormerHomes {
    /// Whether a former home may have run a key, so that this agent must not.
    ///
    /// A key with a creation time after its former home gave it up cannot have run there: every
    /// agent refuses keys from the future, so a run precedes the creation time of its key by at
    /// most [`CLOCK_SKEW_BOUND_MS`]. The proof does not depend on the caller's clock.
    pub(super) fn may_have_run(&self, now: Now, own: &BackendServerId, key: KeyDigest) -> bool {
        let released_at = match &self.homes {
            Homes::Any { released_at, .. } => *released_at,
            Homes::Listed(homes) => {
                let backends: Vec<_> = homes.keys().collect();
                match key_home(&backends, key) {
                    Some(home) if home != own => homes[home],
                    _ => return false,
                }
            }
        };
        let Some(released_at) = released_at else { return true };
        let earliest_provable = released_at.after(2 * CLOCK_SKEW_BOUND_MS);
        let is_newer = key.created().is_some_and(|created| created >= earliest_provable);
        !is_newer && !released_at.after(self.key_lifetime_ms).is_past(now)
    }

    /// When the last run at a former home can no longer be repeated; [`UnixMs::NEVER`] while some
    /// of them may still run keys.
    pub(super) fn expires_at(&self) -> UnixMs {
        let released_at = match &self.homes {
            Homes::Any { released_at, .. } => *released_at,
            Homes::Listed(homes) => homes
                .values()
                .copied()
                .try_fold(UnixMs::default(), |latest, at| at.map(|at| latest.max(at))),
        };
        released_at.map_or(UnixMs::NEVER, |at| at.after(self.key_lifetime_ms))
    }

    /// The backend servers that may still run keys as former homes; empty if any agent may.
    pub(super) fn awaited(&self) -> impl Iterator<Item = &BackendServerId> {
        let homes = match &self.homes {
            Homes::Listed(homes) => Some(homes),
            Homes::Any { .. } => None,
        };
        let rows = homes.into_iter().flatten();
        rows.filter(|(_, released_at)| released_at.is_none()).map(|(home, _)| home)
    }

    /// Whether it is awaited that every agent gives the keys up.
    pub(super) fn awaits_every_agent(&self) -> bool {
        matches!(self.homes, Homes::Any { released_at: None, .. })
    }

    /// Whether any of them may still run keys.
    pub(super) fn is_awaited(&self) -> bool {
        self.expires_at() == UnixMs::NEVER
    }

    /// Whether two records are about the same former homes.
    pub(super) fn concerns_same_homes(&self, other: &Self) -> bool {
        let is_same = match (&self.homes, &other.homes) {
            (Homes::Listed(own), Homes::Listed(other)) => own.keys().eq(other.keys()),
            (Homes::Any { cause: own, .. }, Homes::Any { cause: other, .. }) => {
                std::mem::discriminant(own) == std::mem::discriminant(other)
            }
            _ => false,
        };
        is_same && self.route == other.route
    }

    /// Merges a later record about the same former homes into this one.
    pub(super) fn merge(&mut self, later: Self) {
        self.key_lifetime_ms = self.key_lifetime_ms.max(later.key_lifetime_ms);
        if later.replaced_by < self.replaced_by {
            return;
        }
        let is_known = later.replaced_by == self.replaced_by;
        self.replaced_by = later.replaced_by;
        match (&mut self.homes, later.homes) {
            (Homes::Listed(own), Homes::Listed(later)) => {
                for (home, released_at) in later {
                    merge_release(own.entry(home).or_default(), released_at, is_known);
                }
            }
            (Homes::Any { cause, released_at }, Homes::Any { cause: later, released_at: at }) => {
                *cause = cause.merged(later);
                merge_release(released_at, at, is_known);
            }
            _ => {}
        }
    }

    /// Records that the agents of a backend server have given the keys up.
    pub(super) fn release(&mut self, home: &BackendServerId, at: UnixMs) {
        if let Homes::Listed(homes) = &mut self.homes
            && let Some(released_at) = homes.get_mut(home)
        {
            released_at.get_or_insert(at);
        }
    }

    /// Records that all agents have given the keys up.
    pub(super) fn release_every_agent(&mut self, every_agent: EveryAgent) {
        if let Homes::Any { cause, released_at } = &mut self.homes {
            let at = match cause {
                UnknownDocument::Earlier { settles_at } => {
                    every_agent.holds_since.after(CLOCK_SKEW_BOUND_MS).max(*settles_at)
                }
                UnknownDocument::Skipped { .. } => {
                    every_agent.holds_no_skipped_since.after(CLOCK_SKEW_BOUND_MS)
                }
            };
            released_at.get_or_insert(at);
        }
    }

    /// The revision after which revisions were skipped, if it is awaited that all agents give up
    /// keys for that.
    pub(super) fn awaits_skipped_after(&self) -> Option<u64> {
        match &self.homes {
            Homes::Any { cause: UnknownDocument::Skipped { last_held }, released_at: None } => {
                Some(*last_held)
            }
            _ => None,
        }
    }

    /// Releases all homes after the time in which a document usually is in force everywhere.
    pub(super) fn release_by_time(&mut self, now: Now) {
        let at = Some(now.after(ADOPTION_SPREAD_MS));
        match &mut self.homes {
            Homes::Listed(homes) => homes.values_mut().for_each(|released_at| *released_at = at),
            Homes::Any { released_at, .. } => *released_at = at,
        }
    }

    /// Whether the skipped documents are known to have had the homes of the one that follows them.
    pub(super) fn is_skip_without_change(&self, homes_since: u64) -> bool {
        match &self.homes {
            Homes::Any { cause: UnknownDocument::Skipped { last_held }, .. } => {
                homes_since <= last_held + 1
            }
            _ => false,
        }
    }
}

impl UnknownDocument {
    fn merged(self, later: Self) -> Self {
        match (self, later) {
            (Self::Earlier { settles_at: one }, Self::Earlier { settles_at: other }) => {
                Self::Earlier { settles_at: one.max(other) }
            }
            (Self::Skipped { last_held: one }, Self::Skipped { last_held: other }) => {
                Self::Skipped { last_held: one.min(other) }
            }
            _ => self,
        }
    }
}

/// Merges what a later record knows of a release. A release that an earlier record knows counts
/// only if both are about the same revision.
fn merge_release(own: &mut Option<UnixMs>, later: Option<UnixMs>, is_same_revision: bool) {
    *own = match (*own, later) {
        (Some(own), Some(later)) => Some(own.max(later)),
        (Some(own), None) if is_same_revision => Some(own),
        (_, later) => later,
    };
}
