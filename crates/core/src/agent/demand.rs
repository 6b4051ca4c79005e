//! Sums the demand that entries report for each team.

use super::constants::DEMAND_TTL_MS;
use crate::ids::Incarnation;
use crate::message::{TeamDemand, TeamTotal};
use crate::time::{Now, UnixMs};
use hickorycross_config::TeamId;
use indexmap::IndexMap;

/// The latest demand that each entry reported for each team.
///
/// Reports expire: otherwise an entry that died or was cut off would keep its share, and the totals
/// would exceed the demand of the live entries.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    teams: IndexMap<TeamId, IndexMap<Incarnation, DemandReport>>,
}

#[derive(Clone, Copy, Debug)]
struct DemandReport {
    requests_per_s: f32,
    expires_at: UnixMs,
}

impl DemandTable {
    /// Stores one entry's report. Negative or non-finite demand counts as zero.
    pub(crate) fn record(&mut self, now: Now, entry: Incarnation, demands: &[TeamDemand]) {
        for demand in demands {
            let finite = demand.requests_per_s.is_finite();
            let requests_per_s = if finite { demand.requests_per_s.max(0.0) } else { 0.0 };
            let report = DemandReport { requests_per_s, expires_at: now.after(DEMAND_TTL_MS) };
            self.teams.entry(demand.team.clone()).or_default().insert(entry, report);
        }
    }

    /// Returns the totals of the teams named in a report.
    pub(crate) fn totals(&self, now: Now, demands: &[TeamDemand]) -> Vec<TeamTotal> {
        demands.iter().map(|demand| self.total(now, &demand.team)).collect()
    }

    /// Drops expired reports.
    pub(crate) fn sweep(&mut self, now: Now) {
        for entries in self.teams.values_mut() {
            entries.retain(|_, report| !report.expires_at.is_past(now));
        }
        self.teams.retain(|_, entries| !entries.is_empty());
    }

    fn total(&self, now: Now, team: &TeamId) -> TeamTotal {
        let mut total = TeamTotal { team: team.clone(), requests_per_s: 0.0, entries: 0 };
        let live = self.teams.get(team).into_iter().flat_map(IndexMap::values);
        for report in live.filter(|report| !report.expires_at.is_past(now)) {
            total.requests_per_s += report.requests_per_s;
            total.entries += 1;
        }
        total
    }
}
