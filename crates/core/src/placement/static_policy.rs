//! A baseline policy that never changes the map.

use crate::placement::expert_map::ExpertMap;
use crate::placement::policy::{ChangeOutcome, ProposedChange, RebalancePolicy};
use crate::placement::report::{LoadReport, ReportError};
use crate::time::Now;

/// Keeps the map that the group started with.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaticPolicy;

impl RebalancePolicy for StaticPolicy {
    fn name(&self) -> &'static str {
        "static"
    }

    fn observe(&mut self, _report: &LoadReport) -> Result<(), ReportError> {
        Ok(())
    }

    fn propose(&mut self, _now: Now, _present: &ExpertMap) -> Option<ProposedChange> {
        None
    }

    fn record_outcome(&mut self, _now: Now, _outcome: ChangeOutcome) {}
}
