//! Applies the drained failure domains that this entry reads from the store or gets from its peers,
//! and logs drains that start or end.

use crate::clock::boot_now;
use crate::decision_log::{DecisionLog, Fields};
use crate::state::EntryState;
use crate::store::{DrainedDomain, StoreChange, StoreRead};
use hickorycross_core::direct::DrainChanges;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest encoded size of the domains' names in a request to a peer.
///
/// The store may hold any number of keys, and a peer rejects a request of more than 4 KB together
/// with all reports in it. A peer that lacks the set still gets it in the response to its own
/// request.
const MAX_REQUEST_BYTES: usize = 512;

/// Largest encoded size of the domains' names in a response to a peer. No fleet has as many failure
/// domains. A larger set is not sent, and each entry relies on the store alone.
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Largest size of a name's encoded length.
const LENGTH_BYTES: usize = 3;

/// The drained failure domains as entries pass them on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SharedDrains {
    /// Names of the domains.
    pub(crate) domains: Vec<String>,
    /// Revision of the store as of which the set is complete.
    pub(crate) as_of: u64,
}

/// Returns the drained failure domains for a request to a peer, or `None` if this entry has not read
/// them.
pub(crate) fn for_request(state: &EntryState) -> Option<SharedDrains> {
    shared(state, MAX_REQUEST_BYTES)
}

/// Returns the drained failure domains for the response to a peer, or `None` if this entry has not
/// read them.
pub(crate) fn for_response(state: &EntryState) -> Option<SharedDrains> {
    shared(state, MAX_RESPONSE_BYTES)
}

/// Returns whether this entry knows other drained failure domains than a peer, `known` to it.
pub(crate) fn differ(state: &EntryState, known: Option<&SharedDrains>) -> bool {
    let backends = state.backends.borrow();
    if backends.drains().as_of().is_none() {
        return false;
    }
    let Some(known) = known else { return true };
    let own: IndexSet<&str> = backends.drains().domains().collect();
    own != known.domains.iter().map(String::as_str).collect::<IndexSet<&str>>()
}

fn shared(state: &EntryState, max_bytes: usize) -> Option<SharedDrains> {
    let backends = state.backends.borrow();
    let as_of = backends.drains().as_of()?;
    let domains: Vec<String> = backends.drains().domains().map(str::to_owned).collect();
    let bytes: usize = domains.iter().map(|domain| domain.len() + LENGTH_BYTES).sum();
    (bytes <= max_bytes).then_some(SharedDrains { domains, as_of })
}

/// Applies the drained failure domains of a peer.
pub(crate) fn receive(state: &EntryState, drains: &SharedDrains, peer: Option<SocketAddr>) {
    let changes = state.backends.borrow_mut().replace_drains(&drains.domains, drains.as_of);
    log_changes(state, &changes, drains.as_of, &|line| {
        line.with("source", "peer").with_some("peer", peer)
    });
}

/// Applies the complete set that was read from the store.
pub(crate) fn replace(state: &EntryState, read: &StoreRead<Vec<DrainedDomain>>) {
    let domains: Vec<String> = read.value.iter().map(|drained| drained.domain.clone()).collect();
    let changes = state.backends.borrow_mut().replace_drains(&domains, read.as_of);
    for drained in read.value.iter().filter(|drained| changes.started.contains(&drained.domain)) {
        log_fault(state, drained, read.as_of);
    }
    log_changes(state, &changes, read.as_of, &|line| line.with("source", "store"));
}

/// Applies a change that the watch of the store reported, as of the revision of its answer.
pub(crate) fn apply_change(state: &EntryState, change: &StoreChange, as_of: u64) {
    let mut changes = DrainChanges::default();
    match change {
        StoreChange::DrainStarted(drained) => {
            let is_change = state.backends.borrow_mut().start_drain(&drained.domain, as_of);
            if is_change {
                log_fault(state, drained, as_of);
            }
            changes.started.extend(is_change.then(|| drained.domain.clone()));
        }
        StoreChange::DrainEnded(domain) => {
            let is_change = state.backends.borrow_mut().end_drain(domain, as_of);
            changes.ended.extend(is_change.then(|| domain.clone()));
        }
        _ => {}
    }
    log_changes(state, &changes, as_of, &|line| line.with("source", "store"));
}

/// Records that all changes up to a revision of the store were applied.
pub(crate) fn confirm(state: &EntryState, as_of: u64) {
    state.backends.borrow_mut().confirm_drains(as_of);
}

/// Logs that the value of a drained domain could not be decoded.
fn log_fault(state: &EntryState, drained: &DrainedDomain, as_of: u64) {
    let Some(fault) = &drained.fault else { return };
    metrics::counter!("hickorycross_store_unreadable_total").increment(1);
    let line = DecisionLog::fields("domain-drain").with("domain", &drained.domain);
    let line = line.with("as_of", as_of).with("fault", fault);
    state.log.note(line.with("outcome", "value-not-readable"));
}

/// Logs the drains that have started or ended, and lets waiting requests check again whether they
/// may be sent.
fn log_changes(
    state: &EntryState,
    changes: &DrainChanges,
    as_of: u64,
    with_source: &dyn Fn(Fields) -> Fields,
) {
    let DrainChanges { started, ended } = changes;
    if started.is_empty() && ended.is_empty() {
        return;
    }
    let started = started.iter().map(|domain| (domain, "started"));
    let ended = ended.iter().map(|domain| (domain, "ended"));
    for (domain, outcome) in started.chain(ended) {
        let servers = servers_in(state, domain);
        let line = with_source(DecisionLog::fields("domain-drain").with("domain", domain));
        // Without any server, the operator may have mistyped the name.
        let line = line.with("as_of", as_of).with("servers", servers);
        state.log.note(line.with("outcome", outcome));
    }
    note_returned_servers(state);
    let drained = state.backends.borrow().drains().domains().len();
    metrics::gauge!("hickorycross_drained_domains").set(drained as f64);
    state.capacity_changed.notify_waiters();
    state.pass_ended.notify_waiters();
}

/// Marks the backend servers whose drain has ended as cold, since they got no requests meanwhile.
fn note_returned_servers(state: &EntryState) {
    let mut backends = state.backends.borrow_mut();
    let returned = backends.take_servers_after_drain();
    backends.mark_cold(returned.iter().map(String::as_str), boot_now());
}

/// Returns the number of backend servers that are listed in a failure domain.
fn servers_in(state: &EntryState, domain: &str) -> usize {
    let backends = state.backends.borrow();
    backends.servers().filter(|server| server.failure_domain == domain).count()
}
