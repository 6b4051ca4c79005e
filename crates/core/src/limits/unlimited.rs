//! Baseline: no limits.

use super::border::{Admission, DemandReport, LimitTeams};
use crate::message::TeamTotal;
use crate::time::Now;
use hickorycross_config::{BackendServerId, Document, TeamId};

/// Admits everything. For tests and measurements of other policies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl LimitTeams for Unlimited {
    fn adopt(&mut self, _now: Now, _document: &Document) {}

    fn set_entries(&mut self, _now: Now, _entries: u32) {}

    fn admit(&mut self, _now: Now, _team: &TeamId) -> Admission {
        Admission::Within
    }

    fn due_reports(&mut self, _now: Now) -> Vec<DemandReport> {
        Vec::new()
    }

    fn learn(&mut self, _now: Now, _from: &BackendServerId, _totals: &[TeamTotal]) {}
}
