//! Step grants, which tell an engine which map to use for which steps.

use super::map::MapRef;
use super::membership::Epoch;
use serde::{Deserialize, Serialize};

/// Permission for an engine to make the steps `from_step..=through_step` on one map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepGrant {
    /// Membership under which the first step was granted.
    ///
    /// Engines make a step together only on grants of equal epochs. This keeps ranks of different
    /// memberships apart while the members change.
    pub epoch: Epoch,
    /// The map to use.
    pub map: MapRef,
    /// First step covered.
    pub from_step: u64,
    /// Last step covered.
    pub through_step: u64,
}

impl StepGrant {
    /// Returns whether the grant covers `step`.
    #[must_use]
    pub const fn covers(&self, step: u64) -> bool {
        self.from_step <= step && step <= self.through_step
    }

    /// Returns whether both grants cover the same step with different maps.
    #[must_use]
    pub fn conflicts(&self, other: &Self) -> bool {
        let overlaps = self.from_step <= other.through_step && other.from_step <= self.through_step;
        overlaps && self.map != other.map
    }
}

/// Finds a grant in each list that cover the same step with different maps.
#[must_use]
pub fn find_conflict<'a>(
    ours: &'a [StepGrant],
    theirs: &'a [StepGrant],
) -> Option<(&'a StepGrant, &'a StepGrant)> {
    ours.iter().find_map(|a| theirs.iter().find(|b| a.conflicts(b)).map(|b| (a, b)))
}
