//! The limits in use: each entry holds its measured share of every team's limit.

use super::policy::{Admission, DemandReport, TeamLimiter};
use super::reports::{Batches, ByteBudget};
use super::team::TeamRow;
use crate::message::{TeamDemand, TeamTotal};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, TeamId};
use indexmap::IndexMap;

/// When a team that the document does not name may ask again.
const UNKNOWN_TEAM_RETURN_MS: u64 = 1000;

/// Most demands in one report, so that one fits into one datagram.
const REPORT_DEMANDS: usize = 32;

/// Team limits by measured shares; see the module `share` for the rules of safety.
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

/// A report that is due.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: UnixMs,
    team: usize,
    home: usize,
}

impl SharedLimits {
    /// Begins without teams and without knowledge of other entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reports that are due, longest overdue first.
    fn due(&self, now: Now) -> Vec<Due> {
        let mut due = Vec::new();
        for (team, row) in self.teams.values().enumerate() {
            let active = row.demand_per_s(now) > 0.0;
            for (home, home_row) in row.homes.iter().enumerate() {
                let untold = home_row.told_per_s > 0.0;
                if home_row.report_due.is_past(now) && (active || untold) {
                    due.push(Due { at: home_row.report_due, team, home });
                }
            }
        }
        due.sort_by_key(|due| due.at);
        due
    }

    fn batches(&self, now: Now, due: &[Due]) -> Batches {
        let mut batches = Batches::default();
        for due in due {
            let row = &self.teams[due.team];
            let Some((team, _)) = self.teams.get_index(due.team) else { continue };
            let requests_per_s = row.demand_per_s(now) as f32;
            let demand = TeamDemand { team: team.clone(), requests_per_s };
            batches.add(&row.homes[due.home].id, demand);
        }
        batches
    }

    fn told(&mut self, now: Now, report: &DemandReport) {
        for demand in &report.demands {
            let Some(row) = self.teams.get_mut(&demand.team) else { continue };
            let next = now.after(row.period_ms(now));
            for home in row.homes.iter_mut().filter(|home| home.id == report.to) {
                home.report_due = next;
                home.told_per_s = f64::from(demand.requests_per_s);
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
            return Admission::Exceeded { retry_at: now.after(UNKNOWN_TEAM_RETURN_MS) };
        };
        match row.admit(now, entries) {
            Ok(()) => Admission::Within,
            Err(retry_at) => Admission::Exceeded { retry_at },
        }
    }

    fn due_reports(&mut self, now: Now) -> Vec<DemandReport> {
        self.budget.fill(now);
        let due = self.due(now);
        let mut sent = Vec::new();
        for mut report in self.batches(now, &due).into_reports() {
            report.demands.truncate(REPORT_DEMANDS);
            if !self.budget.spend(&report) {
                break;
            }
            self.told(now, &report);
            sent.push(report);
        }
        sent
    }

    fn receive_totals(&mut self, now: Now, from: &BackendServerId, totals: &[TeamTotal]) {
        let entries = self.entries;
        for total in totals {
            if let Some(row) = self.teams.get_mut(&total.team) {
                row.learn(now, entries, from, total);
            }
        }
    }
}
