//! Keeps the limits on cold servers in step with the configuration and the settings, and records
//! which servers the store lists as cold.

use crate::clock::{boot_now, wall_ms};
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use crate::store::ListedWarmUp;
use hickorycross_core::direct::{BootMs, Catalog, ColdFigures, ListingRead, WarmUp};
use indexmap::IndexMap;

/// Returns the figures of the services that limit cold servers.
pub(crate) fn figures_of(catalog: &Catalog) -> IndexMap<String, ColdFigures> {
    let limited = catalog.services.iter().filter(|(_, it)| it.cold.millirequests_per_s > 0);
    limited.map(|(name, service)| (name.clone(), service.cold)).collect()
}

/// Returns the figures in a configuration that cannot be used, each with its service.
pub(crate) fn faults_of(catalog: &Catalog) -> Vec<(String, String)> {
    let faults = catalog.services.iter().flat_map(|(name, service)| {
        service.cold_faults.iter().map(|fault| (name.clone(), fault.clone()))
    });
    faults.collect()
}

/// Returns the figures in force, for a peer.
pub(crate) fn figures(state: &EntryState) -> Vec<(String, ColdFigures)> {
    let figures = state.cold_figures.borrow();
    figures.iter().map(|(service, figures)| (service.clone(), *figures)).collect()
}

/// Puts the figures of a configuration in force, and logs those that cannot be used.
pub(crate) fn set_figures(
    state: &EntryState,
    figures: IndexMap<String, ColdFigures>,
    faults: &[(String, String)],
) {
    for (service, fault) in faults {
        let line = DecisionLog::fields("configuration").with("service", service);
        state.log.note(line.with("fault", fault).with("outcome", "figure-not-used"));
    }
    *state.cold_figures.borrow_mut() = figures;
    update_limits(state);
}

/// Computes the limits on cold servers from the figures and the settings in force.
pub(crate) fn update_limits(state: &EntryState) {
    let bounds = state.settings.borrow().bounds;
    let figures = state.cold_figures.borrow();
    let limits = figures.iter().filter_map(|(service, figures)| {
        let limit = WarmUp::new(*figures, bounds.cold_over, bounds.cold_slack)?;
        Some((service.clone(), limit))
    });
    state.backends.borrow_mut().set_warm_ups(limits.collect());
}

/// Returns how long ago a server started, or nothing if its start time is unknown.
pub(crate) fn age_ms(born_ms: u64) -> Option<u64> {
    (born_ms != 0).then(|| wall_ms().saturating_sub(born_ms))
}

/// Records what the record of a server says, and logs a value that cannot be used.
pub(crate) fn note_listed(state: &EntryState, warm_up: &ListedWarmUp, read: ListingRead) {
    let mut backends = state.backends.borrow_mut();
    let Some(server) = backends.server(&warm_up.id) else { return };
    if server.born_ms != warm_up.born_ms && warm_up.born_ms != 0 {
        return;
    }
    backends.note_listed_cold(&server, warm_up.listed, read, boot_now());
    let bound_ms = backends.warm_up(&server.service).map(WarmUp::bound_ms);
    drop(backends);
    let line = DecisionLog::fields("backend-server").with("incarnation", &warm_up.id);
    if let Some(fault) = &warm_up.fault {
        state.log.note(line.with("fault", fault).with("outcome", "cold-not-readable"));
    } else if let Some(remaining_ms) = warm_up.listed.remaining_ms
        && bound_ms.is_some_and(|bound_ms| remaining_ms > bound_ms)
    {
        let line = line.with("remaining_ms", remaining_ms).with_some("bound_ms", bound_ms);
        state.log.note(line.with("outcome", "cold-too-long"));
    }
}

/// Logs the servers that started or stopped counting as cold, and updates the gauge.
pub(crate) fn report_changes(state: &EntryState, now: BootMs) {
    let (changes, count) = state.backends.borrow_mut().take_cold_changes(now);
    metrics::gauge!("hickorycross_cold_backend_servers").set(count as f64);
    for change in changes {
        let line = DecisionLog::fields("backend-server").with("incarnation", &change.server.id);
        let line = line.with("born_ms", change.server.born_ms);
        match change.cold {
            Some((cause, left_ms)) => {
                let line = line.with("cause", cause.as_str()).with("left_ms", left_ms);
                state.log.note(line.with("outcome", "cold"));
            }
            None => state.log.note(line.with("outcome", "warm")),
        }
    }
}
