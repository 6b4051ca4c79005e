//! What an entry asks of team limits, and what it answers.

use crate::message::{TeamDemand, TeamTotal};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, TeamId};

/// Whether a team's request is within its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is; it has been counted.
    Within,
    /// It is not.
    Exceeded {
        /// When the team's share at this entry has room again.
        retry_at: UnixMs,
    },
}

/// Demand to be told to the agent that sums up some teams.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// The backend server whose agent sums them up.
    pub to: BackendServerId,
    /// Demand of this entry.
    pub demands: Vec<TeamDemand>,
}

/// Team limits at one entry.
pub trait TeamLimiter: Send {
    /// Follows another document.
    fn adopt(&mut self, now: Now, document: &Document);

    /// Learns how many entries the instance list names as live.
    fn set_entry_count(&mut self, now: Now, entries: u32);

    /// Counts a request of a team and judges it.
    fn admit(&mut self, now: Now, team: &TeamId) -> Admission;

    /// Demand reports that are due, few and small.
    fn due_reports(&mut self, now: Now) -> Vec<DemandReport>;

    /// Learns totals from the agent of a backend server.
    fn receive_totals(&mut self, now: Now, from: &BackendServerId, totals: &[TeamTotal]);
}
