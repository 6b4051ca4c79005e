//! Watches the store for the operators' configuration, the drained failure domains and the list of
//! backend servers.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::domain_drains;
use crate::forward::log_refused_lists;
use crate::state::EntryState;
use crate::store::{
    BackendList, SharedStore, StoreChange, StoreError, StoreWatch, UnreadableBackend,
};
use crate::store_contact::{AnsweredCall, StoreContact};
use crate::{listing, warm_up};
use hickorycross_core::direct::{
    Adoption, BackendServer, BootMs, Catalog, ListingChange, ListingRead, ListingUpdate,
};
use rand::RngExt;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// Time for which one watch call for the configuration waits.
///
/// A call that returns confirms the configuration as of the moment at which it was sent, so the
/// confirmation is at most twice this old while the store answers.
pub(crate) const CATALOG_WAIT_MS: u64 = 1_000;

/// Time for which one watch call for the backend servers waits.
///
/// A connection to the store may go dead unnoticed. The call then ends shortly after this time,
/// early enough to learn of a backend server that is leaving.
const BACKENDS_WAIT_MS: u64 = 2_500;

/// Pause after a watch call that returned changes of backend servers, so that successive changes
/// are read together. The start of a fleet or a release changes a hundred of them within seconds,
/// and each entry would make a call for each. A leaving backend server continues to serve for
/// seconds, so the delay does no harm.
const CHANGES_PAUSE_MS: u64 = 200;

/// Pause after a failed call for the configuration, in milliseconds. It is random so that the
/// entries do not all call the store again at the same moment, and short because API keys can be
/// checked again only when the configuration is known to be current.
const CATALOG_PAUSE_MS: Range<u64> = 120..360;

/// The same for the backend servers, whose list remains usable while the store is down. With the
/// short pause for both, a store that is down would have twice as many calls to refuse.
const BACKENDS_PAUSE_MS: Range<u64> = 500..1_000;

/// Pause after a failed call of an entry that watches the store only because it finds no other one
/// that does. When the store is away for all, the few that are expected to watch it are the first to
/// know of its return, and all others hear of it from them.
const UNEXPECTED_PAUSE_MS: Range<u64> = 1_000..3_000;

/// Whether the drained failure domains can be kept complete by a watch.
#[derive(Debug, Default)]
struct DrainReads {
    /// Whether the set was read from the store, and the store has not lost its history since.
    can_watch: bool,
    /// When the set was last read from the store.
    read_at: BootMs,
}

/// Watches the configuration and the drained failure domains while this entry watches the store.
pub(crate) async fn watch_catalog(state: Rc<EntryState>, store: Rc<dyn SharedStore>) {
    let mut contact = StoreContact::new("configuration");
    let mut drain_reads = DrainReads::default();
    loop {
        wait_for_turn(&state).await;
        let watching = watch_catalog_once(&state, &*store, &mut contact, &mut drain_reads);
        let Err(error) = watching.await else { continue };
        drain_reads.can_watch &= error != StoreError::HistoryGone;
        contact.note_failure(&state, &error);
        let is_first_silence = contact.is_first_silence(&error);
        if is_first_silence {
            state.store_unanswered.notify_waiters();
        }
        state.reads_store.set(error == StoreError::HistoryGone);
        if contact.is_lost() {
            state.store_watchers.borrow_mut().note_store_unreachable(boot_now());
            state.store_news.notify_waiters();
        }
        if !is_first_silence {
            pause_after(&state, &error, CATALOG_PAUSE_MS).await;
        }
    }
}

/// Waits until this entry watches the store.
async fn wait_for_turn(state: &EntryState) {
    let mut watches_store = state.watches_store.subscribe();
    // The sender lives as long as the state.
    let _ = watches_store.wait_for(|watches_store| *watches_store).await;
}

fn is_its_turn(state: &EntryState) -> bool {
    *state.watches_store.borrow()
}

/// Reads the configuration and the drained failure domains, and watches both until a call fails or
/// another entry takes over.
async fn watch_catalog_once(
    state: &EntryState,
    store: &dyn SharedStore,
    contact: &mut StoreContact,
    drain_reads: &mut DrainReads,
) -> Result<(), StoreError> {
    let sent_at = boot_now();
    let read = store.read_catalog().await;
    if matches!(read, Err(StoreError::Unreadable(_))) {
        // Without a watch, drains would go unnoticed for as long as the configuration cannot be
        // decoded.
        if boot_now().since(drain_reads.read_at) >= CATALOG_WAIT_MS {
            read_drains(state, store, drain_reads).await?;
        }
    }
    let read = read?;
    note_store_answer(state, contact, AnsweredCall { sent_at, wait_ms: 0, era: store.era() });
    if let Some(catalog) = read.value {
        adopt_catalog(state, catalog, sent_at, "store");
    }
    if !drain_reads.can_watch {
        read_drains(state, store, drain_reads).await?;
    }
    // The watch goes on from what was read first, so that it reports every change that one of the
    // reads missed. The set may be as of an earlier revision, from before the store was lost.
    let drains_as_of = state.backends.borrow().drains().as_of();
    let mut after = drains_as_of.map_or(read.as_of, |as_of| as_of.min(read.as_of));
    while is_its_turn(state) {
        let sent_at = boot_now();
        let version = state.catalog.borrow().version();
        let watch = store.watch_catalog(after, CATALOG_WAIT_MS).await?;
        let call = AnsweredCall { sent_at, wait_ms: CATALOG_WAIT_MS, era: store.era() };
        note_store_answer(state, contact, call);
        after = watch.as_of;
        // Without a change, the version known when the call was sent was still the newest then.
        if watch.changes.iter().all(is_drain_change) {
            confirm_catalog(state, version, sent_at);
        }
        for change in watch.changes {
            match change {
                StoreChange::Catalog(catalog) => adopt_catalog(state, *catalog, sent_at, "store"),
                change if is_drain_change(&change) => {
                    domain_drains::apply_change(state, &change, after);
                }
                change => log_unreadable(state, &change),
            }
        }
        domain_drains::confirm(state, after);
    }
    Ok(())
}

/// Records that the store answered a call for the configuration.
fn note_store_answer(state: &EntryState, contact: &mut StoreContact, call: AnsweredCall) {
    contact.note_answer(state, call);
    state.reads_store.set(true);
    state.store_watchers.borrow_mut().note_store_reachable();
}

/// Records that no version newer than `version` existed at `at`.
pub(crate) fn confirm_catalog(state: &EntryState, version: u64, at: BootMs) {
    state.catalog.borrow_mut().confirm(version, at);
    state.store_news.notify_waiters();
}

fn is_drain_change(change: &StoreChange) -> bool {
    matches!(change, StoreChange::DrainStarted(_) | StoreChange::DrainEnded(_))
}

/// Reads the drained failure domains.
async fn read_drains(
    state: &EntryState,
    store: &dyn SharedStore,
    drain_reads: &mut DrainReads,
) -> Result<(), StoreError> {
    let read = store.read_drains().await?;
    domain_drains::replace(state, &read);
    *drain_reads = DrainReads { can_watch: true, read_at: boot_now() };
    Ok(())
}

/// Offers a configuration that was current at `confirmed_at` to the entry, and logs the outcome.
pub(crate) fn adopt_catalog(
    state: &EntryState,
    catalog: Catalog,
    confirmed_at: BootMs,
    source: &str,
) {
    let version = catalog.version;
    let routes = catalog.routes.len();
    let cold_figures = warm_up::figures_of(&catalog);
    let cold_faults = warm_up::faults_of(&catalog);
    let residency = catalog.residency.clone();
    let earlier = state.catalog.borrow().residency().clone();
    let adoption = state.catalog.borrow_mut().offer(catalog);
    confirm_catalog(state, version, confirmed_at);
    // A peer of an earlier release passes the configuration on without these figures.
    let is_from_store = source == "store" && adoption == Adoption::Known;
    if adoption == Adoption::Adopted || is_from_store {
        warm_up::set_figures(state, cold_figures, &cold_faults);
    }
    let line = DecisionLog::fields("configuration").with("version", version);
    let line = line.with("source", source).with("age_ms", boot_now().since(confirmed_at));
    match adoption {
        Adoption::Adopted => {
            let line = line.with("routes", routes).with("has_regions", residency.is_some());
            state.log.note(line.with("outcome", "adopted"));
            if let Some(residency) = residency {
                log_refused_lists(state, &residency, version);
            }
            // A request that waits may have lost its last allowed region, or got one.
            if *state.catalog.borrow().residency() != earlier {
                state.capacity_changed.notify_waiters();
            }
        }
        Adoption::Older => {
            let in_force = state.catalog.borrow().version();
            state.log.note(line.with("in_force", in_force).with("outcome", "refused-as-older"));
        }
        Adoption::Known => {}
    }
}

/// Logs and counts a value that could not be decoded.
fn log_unreadable(state: &EntryState, change: &StoreChange) {
    if let StoreChange::Unreadable { key, fault } = change {
        metrics::counter!("hickorycross_store_unreadable_total").increment(1);
        let line = DecisionLog::fields("store-value-refused").with("key", key);
        state.log.note(line.with("fault", fault).with("outcome", "kept-what-is-in-force"));
    }
}

/// Watches the list of backend servers while this entry watches the store.
pub(crate) async fn watch_backends(state: Rc<EntryState>, store: Rc<dyn SharedStore>) {
    let mut contact = StoreContact::new("backend-servers");
    let mut has_failed = false;
    loop {
        wait_for_turn(&state).await;
        let watching = watch_backends_once(&state, &*store, &mut contact, has_failed).await;
        has_failed = watching.is_err();
        let Err(error) = watching else { continue };
        contact.note_failure(&state, &error);
        pause_after(&state, &error, BACKENDS_PAUSE_MS).await;
    }
}

/// Watches the list of backend servers until a call fails or another entry takes over. The whole list
/// is read before if none is known yet, or if `must_read` says that changes may have been missed.
async fn watch_backends_once(
    state: &EntryState,
    store: &dyn SharedStore,
    contact: &mut StoreContact,
    must_read: bool,
) -> Result<(), StoreError> {
    let known_as_of = state.listing.borrow().as_of();
    let mut after = known_as_of;
    if must_read || known_as_of == 0 {
        after = read_backends(state, store, contact).await?;
    }
    while is_its_turn(state) {
        let sent_at = boot_now();
        let watch = tokio::select! {
            watch = store.watch_backends(after, BACKENDS_WAIT_MS) => watch?,
            // This call may have been lost too, which by itself it would show much later.
            () = state.store_unanswered.notified() => continue,
        };
        let call = AnsweredCall { sent_at, wait_ms: BACKENDS_WAIT_MS, era: store.era() };
        contact.note_answer(state, call);
        after = watch.as_of;
        let has_changes = !watch.changes.is_empty();
        apply_backend_changes(state, watch);
        state.listing.borrow_mut().confirm(after, sent_at);
        if has_changes {
            tokio::time::sleep(Duration::from_millis(CHANGES_PAUSE_MS)).await;
        }
    }
    Ok(())
}

/// Reads the whole list of backend servers, and returns the revision of the store as of which it is
/// complete.
async fn read_backends(
    state: &EntryState,
    store: &dyn SharedStore,
    contact: &mut StoreContact,
) -> Result<u64, StoreError> {
    let sent_at = boot_now();
    let read = store.read_backends().await?;
    contact.note_answer(state, AnsweredCall { sent_at, wait_ms: 0, era: store.era() });
    let BackendList { servers, unreadable, warm_ups } = read.value;
    let listed = servers.len();
    // An entry that cannot be decoded does not mean that the backend server is gone, so the last
    // known one is kept.
    let kept: Vec<BackendServer> =
        unreadable.iter().filter_map(|it| state.backends.borrow().server(&it.id)).collect();
    let servers = servers.into_iter().chain(kept).collect();
    listing::replace(state, servers, read.as_of);
    state.listing.borrow_mut().confirm(read.as_of, sent_at);
    for warm_up in &warm_ups {
        let age_ms = warm_up::age_ms(warm_up.born_ms);
        warm_up::note_listed(state, warm_up, ListingRead::Whole { age_ms });
    }
    for entry in &unreadable {
        listing::note_unreadable(state, &entry.id, &entry.fault);
    }
    let line = DecisionLog::fields("backend-servers-read").with("listed", listed);
    state.log.note(line.with("as_of", read.as_of));
    Ok(read.as_of)
}

/// Applies the changes of the list that a watch reported.
fn apply_backend_changes(state: &EntryState, watch: StoreWatch) {
    let mut changes = Vec::new();
    let mut warm_ups = Vec::new();
    for change in watch.changes {
        match change {
            StoreChange::Backend(server) => changes.push(ListingChange::Listed(server)),
            StoreChange::BackendWarmUp(warm_up) => warm_ups.push(warm_up),
            StoreChange::BackendGone(id) => changes.push(ListingChange::Gone(id)),
            StoreChange::BackendUnreadable(UnreadableBackend { id, fault }) => {
                changes.push(ListingChange::Unreadable { id, fault });
            }
            change => log_unreadable(state, &change),
        }
    }
    listing::apply(state, ListingUpdate { changes, as_of: watch.as_of });
    for warm_up in &warm_ups {
        warm_up::note_listed(state, warm_up, ListingRead::Change);
    }
}

/// Waits before the next attempt, except where everything merely has to be read again.
async fn pause_after(state: &EntryState, error: &StoreError, pause_ms: Range<u64>) {
    if *error == StoreError::HistoryGone {
        return;
    }
    let is_expected = state.store_watchers.borrow().is_expected_to_watch();
    let pause_ms = if is_expected { pause_ms } else { UNEXPECTED_PAUSE_MS };
    let pause_ms = state.random.borrow_mut().random_range(pause_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
