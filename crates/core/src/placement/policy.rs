//! The border between policies and those who drive them.

use crate::placement::expert_map::{ExpertMap, WeightLoad};
use crate::placement::report::{LoadReport, ReportError};
use crate::time::Now;

/// Decides when a group changes its expert map.
pub trait RebalancePolicy: Send {
    /// A short name for reports.
    fn name(&self) -> &'static str;

    /// Takes a report.
    ///
    /// # Errors
    ///
    /// [`ReportError`] when the report is not usable; the policy is then unchanged.
    fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError>;

    /// Proposes a change of the present map, or none. It is not called again before the proposal
    /// is settled.
    fn propose(&mut self, now: Now, present: &ExpertMap) -> Option<ProposedChange>;

    /// Learns how the last proposal ended.
    fn record_outcome(&mut self, now: Now, outcome: ChangeOutcome);
}

/// A proposed change of map.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedChange {
    /// The map to be adopted.
    pub target: ExpertMap,
    /// What ranks load before the map can be adopted.
    pub loads: Vec<WeightLoad>,
    /// What the policy expects of it.
    pub prediction: Prediction,
}

/// What a policy expects of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Skew of the present map: slowest less fastest rank as a share of the mean, over layers.
    pub skew_before: f64,
    /// The same of the proposed map.
    pub skew_after: f64,
    /// Bytes to be loaded.
    pub moved_bytes: u64,
}

/// How a proposed change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// All ranks run the new map.
    Adopted {
        /// First step on the new map.
        first_step: u64,
    },
    /// The group stays on the map that it had.
    Abandoned,
}
