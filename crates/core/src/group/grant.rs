//! Step grants: which map an engine may use for which steps.

use super::map::MapRef;
use super::membership::Epoch;
use serde::{Deserialize, Serialize};

/// Permission to make the steps `from_step..=through_step` on one map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepGrant {
    /// The membership under which its first step was granted. Engines make a step together only
    /// on grants of equal epochs: under this name ranks find one another when members change.
    pub epoch: Epoch,
    /// The map to use.
    pub map: MapRef,
    /// First step that it covers.
    pub from_step: u64,
    /// Last step that it covers.
    pub through_step: u64,
}

impl StepGrant {
    /// Whether the grant covers a step.
    #[must_use]
    pub const fn covers(&self, step: u64) -> bool {
        self.from_step <= step && step <= self.through_step
    }

    /// Whether both cover some step with different maps.
    #[must_use]
    pub fn conflicts(&self, other: &Self) -> bool {
        let overlaps = self.from_step <= other.through_step && other.from_step <= self.through_step;
        overlaps && self.map != other.map
    }
}

/// Two grants that cover one step with different maps.
#[must_use]
pub fn find_conflict<'a>(
    ours: &'a [StepGrant],
    theirs: &'a [StepGrant],
) -> Option<(&'a StepGrant, &'a StepGrant)> {
    ours.iter().find_map(|a| theirs.iter().find(|b| a.conflicts(b)).map(|b| (a, b)))
}
