//! Which demands are told to which home agent, and when.

use super::policy::DemandReport;
use crate::message::TeamDemand;
use crate::time::{Now, UnixMs};
use hickorycross_config::BackendServerId;
use indexmap::IndexMap;

/// Bytes a second that reports and their answers may take on the network, by estimate.
///
/// A node may spend 5 KB a second on control in all; heartbeats, load reports and configuration
/// need the rest.
pub const REPORT_BYTES_PER_S: u64 = 2000;

/// Bytes that may be spent at once after a quiet time.
const BURST_BYTES: f64 = 2000.0;

/// Estimated bytes of one report and its answer besides the demands: IP, UDP, QUIC and framing,
/// twice.
const MESSAGE_BYTES: u64 = 140;

/// Estimated bytes of one demand and its total besides the team's name: rates, a count, lengths.
const DEMAND_BYTES: u64 = 14;

/// Estimated bytes of a report and its answer.
#[must_use]
pub fn report_bytes(report: &DemandReport) -> u64 {
    let demands: u64 = report.demands.iter().map(demand_bytes).sum();
    MESSAGE_BYTES + demands
}

fn demand_bytes(demand: &TeamDemand) -> u64 {
    DEMAND_BYTES + 2 * demand.team.as_str().len() as u64
}

/// Bytes that may still be spent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ByteBudget {
    bytes: f64,
    updated: UnixMs,
}

impl Default for ByteBudget {
    fn default() -> Self {
        Self { bytes: BURST_BYTES, updated: UnixMs::default() }
    }
}

impl ByteBudget {
    /// Brings the budget up to now.
    pub(super) fn fill(&mut self, now: Now) {
        let passed_ms = now.unix_ms.since(self.updated) as f64;
        let filled = self.bytes + REPORT_BYTES_PER_S as f64 * passed_ms / 1000.0;
        self.bytes = filled.min(BURST_BYTES);
        self.updated = now.unix_ms;
    }

    /// Takes what a report costs if there is as much.
    pub(super) fn spend(&mut self, report: &DemandReport) -> bool {
        let cost = report_bytes(report) as f64;
        if cost > self.bytes {
            return false;
        }
        self.bytes -= cost;
        true
    }
}

/// Demands that are due, batched by home in the order in which the first of each home is due.
#[derive(Debug, Default)]
pub(super) struct Batches {
    by_home: IndexMap<BackendServerId, Vec<TeamDemand>>,
}

impl Batches {
    /// Adds a demand for a home.
    pub(super) fn add(&mut self, home: &BackendServerId, demand: TeamDemand) {
        self.by_home.entry(home.clone()).or_default().push(demand);
    }

    /// The reports.
    pub(super) fn into_reports(self) -> impl Iterator<Item = DemandReport> {
        self.by_home.into_iter().map(|(to, demands)| DemandReport { to, demands })
    }
}
