//! The production policy: each entry enforces its share of every team's limit.

use super::policy::{Admission, DemandReport, TeamLimiter};
use super::reports::{ByteBudget, ReportBatches};
use super::team::TeamRow;
use crate::message::{TeamDemand, TeamTotal};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, TeamId};
use indexmap::IndexMap;

/// Retry delay named to a team that the document does not contain.
const UNKNOWN_TEAM_RETRY_MS: u64 = 1000;

/// Most demands in one report, so that a report fits into one datagram.
const MAX_DEMANDS_PER_REPORT: usize = 32;

/// Enforces each team's limit by an entry's share of it, which follows measured demand.
///
/// The module `share` explains how the shares of all entries stay within the limit.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    teams: IndexMap<TeamId, TeamRow>,
    /// Live entries by the instance list; zero while it is unknown.
    entries: u32,
    budget: ByteBudget,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self { teams: IndexMap::new(), entries: 0, budget: ByteBudget::default() }
    }
}

/// A demand that is due to be reported, by the indices of its team and home agent.
#[derive(Clone, Copy, Debug)]
struct DueDemand {
    at: UnixMs,
    team: usize,
    home: usize,
}

impl SharedLimits {
    /// Creates limits without teams and with an unknown number of entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the demands that are due to be reported, longest overdue first.
    ///
    /// A team without demand is reported only while the home agent still holds a demand above zero.
    fn due_demands(&self, now: Now) -> Vec<DueDemand> {
        let mut due = Vec::new();
        for (team, row) in self.teams.values().enumerate() {
            let active = row.demand_per_s(now) > 0.0;
            for (home, home_row) in row.home_agents.iter().enumerate() {
                let has_reported_demand = home_row.reported_per_s > 0.0;
                if home_row.report_due.is_past(now) && (active || has_reported_demand) {
                    due.push(DueDemand { at: home_row.report_due, team, home });
                }
            }
        }
        due.sort_by_key(|due| due.at);
        due
    }

    fn batches(&self, now: Now, due: &[DueDemand]) -> ReportBatches {
        let mut batches = ReportBatches::default();
        for due in due {
            let row = &self.teams[due.team];
            let Some((team, _)) = self.teams.get_index(due.team) else { continue };
            let requests_per_s = row.demand_per_s(now) as f32;
            let demand = TeamDemand { team: team.clone(), requests_per_s };
            batches.add(&row.home_agents[due.home].id, demand);
        }
        batches
    }

    fn mark_reported(&mut self, now: Now, report: &DemandReport) {
        for demand in &report.demands {
            let Some(row) = self.teams.get_mut(&demand.team) else { continue };
            let next = now.after(row.report_period_ms(now));
            for home in row.home_agents.iter_mut().filter(|home| home.id == report.to) {
                home.report_due = next;
                home.reported_per_s = f64::from(demand.requests_per_s);
            }
        }
    }
}

impl TeamLimiter for SharedLimits {
    fn adopt(&mut self, now: Now, document: &Document) {
        let entries = self.entries;
        let mut before = std::mem::take(&mut self.teams);
        for team in &document.teams {
            let row = match before.swap_remove(&team.id) {
                Some(mut row) => {
                    row.adopt(now, entries, team, document);
                    row
                }
                None => TeamRow::new(now, entries, team, document),
            };
            self.teams.insert(team.id.clone(), row);
        }
    }

    fn set_entry_count(&mut self, _now: Now, entries: u32) {
        self.entries = entries;
    }

    fn admit(&mut self, now: Now, team: &TeamId) -> Admission {
        let entries = self.entries;
        let Some(row) = self.teams.get_mut(team) else {
            return Admission::Exceeded { retry_at: now.after(UNKNOWN_TEAM_RETRY_MS) };
        };
        match row.admit(now, entries) {
            Ok(()) => Admission::Within,
            Err(retry_at) => Admission::Exceeded { retry_at },
        }
    }

    fn due_reports(&mut self, now: Now) -> Vec<DemandReport> {
        self.budget.fill(now);
        let due = self.due_demands(now);
        let mut sent = Vec::new();
        for mut report in self.batches(now, &due).into_reports() {
            report.demands.truncate(MAX_DEMANDS_PER_REPORT);
            if !self.budget.spend(&report) {
                break;
            }
            self.mark_reported(now, &report);
            sent.push(report);
        }
        sent
    }

    fn receive_totals(&mut self, now: Now, from: &BackendServerId, totals: &[TeamTotal]) {
        let entries = self.entries;
        for total in totals {
            if let Some(row) = self.teams.get_mut(&total.team) {
                row.receive_total(now, entries, from, total);
            }
        }
    }
}
