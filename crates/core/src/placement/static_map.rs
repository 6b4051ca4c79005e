//! Baseline: the map never changes.

use crate::placement::layer::ExpertMap;
use crate::placement::policy::{Change, ChangeOutcome, RebalancePolicy};
use crate::placement::report::{LoadReport, ReportFault};
use crate::time::Now;

/// Keeps the map that the group started with.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaticMap;

impl RebalancePolicy for StaticMap {
    fn name(&self) -> &'static str {
        "static"
    }

    fn observe(&mut self, _report: &LoadReport) -> Result<(), ReportFault> {
        Ok(())
    }

    fn decide(&mut self, _now: Now, _present: &ExpertMap) -> Option<Change> {
        None
    }

    fn settle(&mut self, _now: Now, _outcome: ChangeOutcome) {}
}
