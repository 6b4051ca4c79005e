//! Fake of the table in which a home agent sums up demand.

use hickorycross_config::TeamId;
use hickorycross_core::message::{TeamDemand, TeamTotal};
use indexmap::IndexMap;

/// How long an entry's demand counts.
const DEMAND_HOLD_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Told {
    requests_per_s: f32,
    holds_until_ms: u64,
}

/// Demands that one home agent has heard of.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    teams: IndexMap<TeamId, IndexMap<usize, Told>>,
}

impl DemandTable {
    /// Learns an entry's demands and answers with the totals of the same teams.
    pub(crate) fn learn(
        &mut self,
        now_ms: u64,
        entry: usize,
        demands: &[TeamDemand],
    ) -> Vec<TeamTotal> {
        demands.iter().map(|demand| self.learn_one(now_ms, entry, demand)).collect()
    }

    fn learn_one(&mut self, now_ms: u64, entry: usize, demand: &TeamDemand) -> TeamTotal {
        let told = self.teams.entry(demand.team.clone()).or_default();
        told.retain(|_, told| told.holds_until_ms > now_ms);
        let holds_until_ms = now_ms + DEMAND_HOLD_MS;
        told.insert(entry, Told { requests_per_s: demand.requests_per_s, holds_until_ms });
        TeamTotal {
            team: demand.team.clone(),
            requests_per_s: told.values().map(|told| told.requests_per_s).sum(),
            entries: told.len() as u32,
        }
    }
}
