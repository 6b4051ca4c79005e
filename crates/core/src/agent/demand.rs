//! Sums the entries' demand for teams.

use super::constants::DEMAND_LIFE_MS;
use crate::ids::Incarnation;
use crate::message::{TeamDemand, TeamTotal};
use crate::time::{Now, UnixMs};
use hickorycross_config::TeamId;
use indexmap::IndexMap;

/// The latest demand of each entry for each team.
///
/// An entry that stops reporting, because it died or was cut off, must not hold a share for ever:
/// one would see totals that exceed the live entries' demand. So each report expires.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    teams: IndexMap<TeamId, IndexMap<Incarnation, Reported>>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    requests_per_s: f32,
    expires_at: UnixMs,
}

impl DemandTable {
    /// Takes one entry's report; demand that is no number counts as none.
    pub(crate) fn report(&mut self, now: Now, entry: Incarnation, demands: &[TeamDemand]) {
        for demand in demands {
            let finite = demand.requests_per_s.is_finite();
            let requests_per_s = if finite { demand.requests_per_s.max(0.0) } else { 0.0 };
            let reported = Reported { requests_per_s, expires_at: now.after(DEMAND_LIFE_MS) };
            self.teams.entry(demand.team.clone()).or_default().insert(entry, reported);
        }
    }

    /// Totals of the teams named in a report.
    pub(crate) fn totals(&self, now: Now, demands: &[TeamDemand]) -> Vec<TeamTotal> {
        demands.iter().map(|demand| self.total(now, &demand.team)).collect()
    }

    /// Drops expired reports.
    pub(crate) fn sweep(&mut self, now: Now) {
        for entries in self.teams.values_mut() {
            entries.retain(|_, reported| !reported.expires_at.is_past(now));
        }
        self.teams.retain(|_, entries| !entries.is_empty());
    }

    fn total(&self, now: Now, team: &TeamId) -> TeamTotal {
        let mut total = TeamTotal { team: team.clone(), requests_per_s: 0.0, entries: 0 };
        let live = self.teams.get(team).into_iter().flat_map(IndexMap::values);
        for reported in live.filter(|reported| !reported.expires_at.is_past(now)) {
            total.requests_per_s += reported.requests_per_s;
            total.entries += 1;
        }
        total
    }
}
