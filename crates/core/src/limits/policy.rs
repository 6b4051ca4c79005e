//! The interface between an entry and the policy that enforces team limits.

use crate::message::{TeamDemand, TeamTotal};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, TeamId};

/// The decision on one request of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is within the team's limit and has been counted against it.
    Within,
    /// The request exceeds the team's limit and must be refused.
    Exceeded {
        /// When this entry expects to admit the team's next request.
        retry_at: UnixMs,
    },
}

/// A report of this entry's demand to an agent that adds up the demand of all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// The backend server whose agent receives the report.
    pub to: BackendServerId,
    /// The request rate that this entry measures for each reported team.
    pub demands: Vec<TeamDemand>,
}

/// Enforces the request rate limits of all teams at one entry.
pub trait TeamLimiter: Send {
    /// Applies a newly adopted configuration document.
    fn adopt(&mut self, now: Now, document: &Document);

    /// Sets the number of entries that the instance list names as live; zero while unknown.
    fn set_entry_count(&mut self, now: Now, entries: u32);

    /// Counts a request of a team and decides whether it is admitted.
    fn admit(&mut self, now: Now, team: &TeamId) -> Admission;

    /// Returns the demand reports to send now, limited in number and size.
    fn due_reports(&mut self, now: Now) -> Vec<DemandReport>;

    /// Takes the totals over all entries that the agent of a backend server sent in reply.
    fn receive_totals(&mut self, now: Now, from: &BackendServerId, totals: &[TeamTotal]);
}
