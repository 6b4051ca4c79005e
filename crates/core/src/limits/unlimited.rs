//! Baseline policy without limits.

use super::policy::{Admission, DemandReport, TeamLimiter};
use crate::message::TeamTotal;
use crate::time::Now;
use hickorycross_config::{BackendServerId, Document, TeamId};

/// Admits every request. For tests, and for measurements of the other policies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl TeamLimiter for Unlimited {
    fn adopt(&mut self, _now: Now, _document: &Document) {}

    fn set_entry_count(&mut self, _now: Now, _entries: u32) {}

    fn admit(&mut self, _now: Now, _team: &TeamId) -> Admission {
        Admission::Within
    }

    fn due_reports(&mut self, _now: Now) -> Vec<DemandReport> {
        Vec::new()
    }

    fn receive_totals(&mut self, _now: Now, _from: &BackendServerId, _totals: &[TeamTotal]) {}
}
