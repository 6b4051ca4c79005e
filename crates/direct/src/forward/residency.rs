//! Keeps requests inside the regions that their route and team allow.
//!
//! Every choice of a backend server and the check right before a send use the regions of the
//! configuration in force at that moment.

use super::active_request::ActiveRequest;
use crate::callers::{CallerRequest, Refusal};
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{BackendServer, Residency, Restriction, Selection};
use indexmap::IndexSet;
use std::sync::Arc;

impl CallerRequest {
    /// Returns the failure domains in which the request may run now, or `None` if it is not
    /// restricted to regions.
    pub(crate) fn allowed_domains(&self, state: &EntryState) -> Option<IndexSet<String>> {
        let catalog_state = state.catalog.borrow();
        let residency = catalog_state.residency();
        let team = self.team.as_deref();
        let mut restriction = residency.restriction(&self.route.name, team);
        let in_force = catalog_state.catalog().filter(|it| !Arc::ptr_eq(it, &self.catalog));
        // A route or team that was deleted or renamed while the request waited is no longer
        // restricted by the configuration in force, but its requests still are.
        if let (Some(in_force), Some(accepted)) = (in_force, &self.catalog.residency) {
            let Restriction { route, team } = accepted.restriction(&self.route.name, team);
            if !in_force.routes.iter().any(|it| it.name == self.route.name) {
                restriction.route = route;
            }
            if !in_force.teams.iter().any(|it| Some(&it.name) == self.team.as_ref()) {
                restriction.team = team;
            }
        }
        restriction.allowed_domains(&state.settings.borrow().domain_regions)
    }

    /// Returns whether the request may run at `server` now.
    pub(super) fn allows_region_of(&self, state: &EntryState, server: &BackendServer) -> bool {
        let domains = self.allowed_domains(state);
        domains.is_none_or(|domains| domains.contains(&server.failure_domain))
    }
}

impl ActiveRequest {
    /// Returns the failure domains in which the request may run now, or `None` if it is not
    /// restricted to regions.
    pub(super) fn allowed_domains(&self) -> Option<IndexSet<String>> {
        self.request.allowed_domains(&self.state)
    }

    /// Refuses the request if no backend server of its service is known in its allowed regions.
    pub(super) fn check_residency(&self) -> Result<(), Refusal> {
        if has_allowed_server(&self.state, &self.service, self.allowed_domains().as_ref()) {
            return Ok(());
        }
        Err(match self.verdict {
            Verdict::NotRun => Refusal::NoAllowedRegion,
            verdict => Refusal::Failed(verdict),
        })
    }
}

/// Returns whether a backend server of `service` that accepts work is known in `domains`. Without a
/// restriction this is not checked.
pub(super) fn has_allowed_server(
    state: &EntryState,
    service: &str,
    domains: Option<&IndexSet<String>>,
) -> bool {
    let selection = Selection::new(service, &[]).in_domains(domains);
    domains.is_none() || state.backends.borrow().has_available(&selection)
}

/// Logs the routes and teams whose requests are all refused because their list of regions is empty
/// or malformed.
pub(crate) fn log_refused_lists(state: &EntryState, residency: &Residency, version: u64) {
    let lists = residency.routes().map(|list| ("route", list));
    let lists = lists.chain(residency.teams().map(|list| ("team", list)));
    for (kind, (name, regions)) in lists {
        let Some(fault) = regions.fault() else { continue };
        let line = DecisionLog::fields("allowed-regions").with(kind, name);
        let line = line.with("version", version).with("fault", fault);
        state.log.note(line.with("outcome", "none-allowed"));
    }
}
