//! Assignment of teams to home agents, the agents that add up a team's demand over all entries.

use crate::rendezvous;
use hickorycross_config::{BackendServerId, Document, TeamId};

/// Home agents of each team. With two, totals stay available when one is lost.
pub(super) const HOME_AGENTS_PER_TEAM: usize = 2;

/// Returns the backend servers whose agents add up the demand of a team: those with the highest
/// rendezvous weight among all that the document names.
///
/// The instance list is deliberately not used: it lags, and entries that see different lists would
/// report to different agents.
pub(super) fn home_agents_of(document: &Document, team: &TeamId) -> Vec<BackendServerId> {
    let key = rendezvous::key_of(team.as_str());
    let mut weighted: Vec<(u64, &BackendServerId)> = document
        .backend_servers
        .iter()
        .map(|server| (rendezvous::weight(key, server.id.as_str()), &server.id))
        .collect();
    weighted.sort_unstable_by(|one, other| other.cmp(one));
    weighted.into_iter().take(HOME_AGENTS_PER_TEAM).map(|(_, id)| id.clone()).collect()
}
