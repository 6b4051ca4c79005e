//! Applies the list of backend servers and its changes, as the store or a peer reports them, and
//! passes them on to other processes.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange_messages::ExchangeRequest;
use crate::state::EntryState;
use hickorycross_core::direct::{BackendServer, BootMs, ListingChange, ListingUpdate, Unlisted};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of unreadable entries that are remembered as logged.
const MAX_LOGGED_UNREADABLE: usize = 64;

/// The list of backend servers for a peer.
#[derive(Debug, Default)]
pub(crate) struct ListingForPeer {
    /// The whole list, if what has changed is not known.
    pub(crate) backends: Option<Vec<BackendServer>>,
    /// What has changed; beside the whole list, the registrations that cannot be decoded.
    pub(crate) update: Option<ListingUpdate>,
}

/// Returns what a peer lacks of the list of backend servers.
pub(crate) fn for_peer(state: &EntryState, request: &ExchangeRequest) -> ListingForPeer {
    let listing = state.listing.borrow();
    if listing.as_of() <= request.backends_as_of {
        return ListingForPeer::default();
    }
    let update = listing.since(request.backends_as_of).filter(|_| request.takes_updates);
    if update.is_some() {
        return ListingForPeer { backends: None, update };
    }
    let unreadable = state.unreadable_backends.borrow();
    let changes = unreadable
        .iter()
        .map(|(id, fault)| ListingChange::Unreadable { id: id.clone(), fault: fault.clone() });
    let update = ListingUpdate { changes: changes.collect(), as_of: listing.as_of() };
    let backends = state.backends.borrow().listed_servers().cloned().collect();
    ListingForPeer { backends: Some(backends), update: Some(update) }
}

/// Removes backend servers that are kept without a registration, each when its time is over.
pub(crate) async fn remove_lapsed(state: Rc<EntryState>) {
    loop {
        let changed = state.lapses_changed.notified();
        let next_end = state.backends.borrow().next_lapse_end();
        match next_end {
            None => changed.await,
            Some(end) => {
                let left = Duration::from_millis(end.since(boot_now()));
                // At the end of the time, whatever was kept until then is removed.
                let _ = tokio::time::timeout(left, changed).await;
                expire(&state);
            }
        }
    }
}

/// Replaces the whole list by that of a revision of the store.
pub(crate) fn replace(state: &EntryState, servers: Vec<BackendServer>, as_of: u64) {
    state.listing.borrow_mut().restart(as_of);
    let returned_at = state.store_availability.get().outage_ended_at();
    let missing = state.backends.borrow_mut().replace_all(servers, boot_now(), returned_at);
    for (id, outcome) in missing {
        log_unlisted(state, &id, outcome, as_of);
    }
    state.store_news.notify_waiters();
}

/// Applies changes of the list. Those up to a revision that is known already would undo later ones.
pub(crate) fn apply(state: &EntryState, update: ListingUpdate) {
    let as_of = update.as_of;
    if as_of < state.listing.borrow().as_of() {
        return;
    }
    let has_changes = !update.is_empty();
    for change in &update.changes {
        apply_change(state, change, as_of);
    }
    state.listing.borrow_mut().extend(update);
    if has_changes {
        state.store_news.notify_waiters();
    }
}

fn apply_change(state: &EntryState, change: &ListingChange, as_of: u64) {
    match change {
        ListingChange::Listed(server) => {
            let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
            let line = line.with("born_ms", server.born_ms).with("address", server.address);
            state.unreadable_backends.borrow_mut().shift_remove(&server.id);
            if state.backends.borrow_mut().put(server.clone()) {
                let line = line.with("as_of", as_of);
                state.log.note(line.with("outcome", format!("{:?}", server.state)));
            }
        }
        ListingChange::Gone(id) => {
            let returned_at = state.store_availability.get().outage_ended_at();
            state.unreadable_backends.borrow_mut().shift_remove(id);
            let outcome = state.backends.borrow_mut().lapse(id, boot_now(), returned_at);
            log_unlisted(state, id, outcome, as_of);
        }
        ListingChange::Unreadable { id, fault } => note_unreadable(state, id, fault),
    }
}

/// Removes backend servers that were not listed again in time after an outage of the store.
fn expire(state: &EntryState) {
    let as_of = state.listing.borrow().as_of();
    for server in state.backends.borrow_mut().expire(boot_now()) {
        log_gone(state, &server.id, as_of, Some(server.unlisted_ms));
    }
}

/// Records an entry that cannot be decoded, and logs it once per fault.
pub(crate) fn note_unreadable(state: &EntryState, id: &str, fault: &str) {
    let changed = state.backends.borrow_mut().note_unreadable(id);
    let mut logged = state.unreadable_backends.borrow_mut();
    if !changed && logged.get(id).is_some_and(|known| known == fault) {
        return;
    }
    if logged.len() >= MAX_LOGGED_UNREADABLE {
        logged.shift_remove_index(0);
    }
    logged.insert(id.to_owned(), fault.to_owned());
    metrics::counter!("hickorycross_store_unreadable_total").increment(1);
    let line = DecisionLog::fields("backend-server").with("incarnation", id);
    state.log.note(line.with("fault", fault).with("outcome", "not-readable"));
}

/// Logs what became of a backend server whose registration is missing as of a revision.
fn log_unlisted(state: &EntryState, id: &str, outcome: Unlisted, as_of: u64) {
    match outcome {
        Unlisted::Removed => log_gone(state, id, as_of, None),
        Unlisted::KeptUntil(until) => log_kept(state, id, until, as_of),
        Unlisted::Unchanged => {}
    }
}

fn log_gone(state: &EntryState, id: &str, as_of: u64, unlisted_ms: Option<u64>) {
    let line = DecisionLog::fields("backend-server").with("incarnation", id);
    let line = line.with("as_of", as_of).with_some("unlisted_ms", unlisted_ms);
    state.log.note(line.with("outcome", "gone"));
}

/// Logs that a backend server stays usable without a registration, and who told of the outage of the
/// store that may be the reason.
fn log_kept(state: &EntryState, id: &str, until: BootMs, as_of: u64) {
    metrics::counter!("hickorycross_unlisted_servers_kept_total").increment(1);
    state.lapses_changed.notify_waiters();
    let now = boot_now();
    let line = DecisionLog::fields("backend-server").with("incarnation", id);
    let line = line.with("as_of", as_of).with("left_ms", until.since(now));
    let available_ms = state.store_availability.get().since().map(|at| now.since(at));
    let line = line.with_some("store_available_ms", available_ms);
    let line = line.with_some("told_by", state.availability_told_by.get());
    state.log.note(line.with("outcome", "kept-unlisted"));
}
