//! Batching of demand reports by home agent, within a network budget.

use super::policy::DemandReport;
use crate::message::TeamDemand;
use crate::time::{Now, UnixMs};
use hickorycross_config::BackendServerId;
use indexmap::IndexMap;

/// Estimated bytes per second that reports and their replies may take on the network.
///
/// An instance may spend 5 KB per second on control traffic in all; heartbeats, load reports and
/// configuration need the rest.
pub const REPORT_BYTES_PER_S: u64 = 2000;

/// Most unspent bytes that accumulate while no reports are sent.
const BURST_BYTES: f64 = 2000.0;

/// Estimated bytes of one report and its reply without the demands: IP, UDP, QUIC and framing
/// overhead, counted twice.
const MESSAGE_BYTES: u64 = 140;

/// Estimated bytes of one demand and its total without the team's name: rates, a count, lengths.
const DEMAND_BYTES: u64 = 14;

/// Returns the estimated bytes of a report and its reply on the network.
#[must_use]
pub fn report_bytes(report: &DemandReport) -> u64 {
    let demands: u64 = report.demands.iter().map(demand_bytes).sum();
    MESSAGE_BYTES + demands
}

fn demand_bytes(demand: &TeamDemand) -> u64 {
    DEMAND_BYTES + 2 * demand.team.as_str().len() as u64
}

/// The bytes that reports may still use; refills at [`REPORT_BYTES_PER_S`].
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
    /// Adds the bytes earned since the last update.
    pub(super) fn fill(&mut self, now: Now) {
        let elapsed_ms = now.unix_ms.since(self.updated) as f64;
        let filled = self.bytes + REPORT_BYTES_PER_S as f64 * elapsed_ms / 1000.0;
        self.bytes = filled.min(BURST_BYTES);
        self.updated = now.unix_ms;
    }

    /// Deducts the cost of a report, or returns false if the budget is too low.
    pub(super) fn spend(&mut self, report: &DemandReport) -> bool {
        let cost = report_bytes(report) as f64;
        if cost > self.bytes {
            return false;
        }
        self.bytes -= cost;
        true
    }
}

/// Due demands grouped by home agent, ordered by the earliest due demand of each agent.
#[derive(Debug, Default)]
pub(super) struct ReportBatches {
    by_home: IndexMap<BackendServerId, Vec<TeamDemand>>,
}

impl ReportBatches {
    /// Adds a demand to the report for a home agent.
    pub(super) fn add(&mut self, home: &BackendServerId, demand: TeamDemand) {
        self.by_home.entry(home.clone()).or_default().push(demand);
    }

    /// Returns one report for each home agent.
    pub(super) fn into_reports(self) -> impl Iterator<Item = DemandReport> {
        self.by_home.into_iter().map(|(to, demands)| DemandReport { to, demands })
    }
}
