//! The agents that sum up a team's demand.

use crate::rendezvous;
use hickorycross_config::{BackendServerId, Document, TeamId};

/// Home agents of a team. Two, so that the loss of one costs nothing.
pub(super) const HOMES: usize = 2;

/// The backend servers whose agents sum up a team: those with the highest rendezvous weight of all
/// that the document names. The instance list is left out on purpose: it lags, and entries that see
/// different lists would tell different homes.
pub(super) fn homes_of(document: &Document, team: &TeamId) -> Vec<BackendServerId> {
    let key = rendezvous::key_of(team.as_str());
    let mut weighted: Vec<(u64, &BackendServerId)> = document
        .backend_servers
        .iter()
        .map(|server| (rendezvous::weight(key, server.id.as_str()), &server.id))
        .collect();
    weighted.sort_unstable_by(|one, other| other.cmp(one));
    weighted.into_iter().take(HOMES).map(|(_, id)| id.clone()).collect()
}
