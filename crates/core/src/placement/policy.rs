//! The interface between rebalance policies and their callers.

use crate::placement::expert_map::{ExpertMap, WeightLoad};
use crate::placement::report::{LoadReport, ReportError};
use crate::time::Now;

/// Decides when a group changes its expert map.
pub trait RebalancePolicy: Send {
    /// Returns a short name for use in reports.
    fn name(&self) -> &'static str;

    /// Updates the policy with a load report.
    ///
    /// # Errors
    ///
    /// Returns a [`ReportError`] when the report is unusable; the policy is then unchanged.
    fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError>;

    /// Proposes a change of the present map, or returns `None`.
    ///
    /// Callers record the outcome of a proposal before they call this again.
    fn propose(&mut self, now: Now, present: &ExpertMap) -> Option<ProposedChange>;

    /// Records the outcome of the last proposal.
    fn record_outcome(&mut self, now: Now, outcome: ChangeOutcome);
}

/// A proposed change of map.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedChange {
    /// The map to adopt.
    pub target: ExpertMap,
    /// The weights that ranks must load before the map can be adopted.
    pub loads: Vec<WeightLoad>,
    /// The effect that the policy predicts.
    pub prediction: Prediction,
}

/// The predicted effect of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Skew of the present map: load of the slowest rank minus that of the fastest, as a share of
    /// the mean, averaged over layers.
    pub skew_before: f64,
    /// Skew of the proposed map, in the same unit.
    pub skew_after: f64,
    /// Bytes of weights to load.
    pub moved_bytes: u64,
}

/// The outcome of a proposed change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// All ranks use the new map.
    Adopted {
        /// First step on the new map.
        first_step: u64,
    },
    /// The group keeps its previous map.
    Abandoned,
}
