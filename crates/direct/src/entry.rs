//! Runs the process of an entry: starts its tasks, reloads its settings and drains it at the end.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::operators::EntryEndpoints;
use crate::process::{Process, listen, log_last_line};
use crate::settings::{ProcessSettings, SettingsSource};
use crate::state::EntryState;
use crate::store::SharedStore;
use crate::wire_names::WireNames;
use crate::{
    callers, drain, exchange, gossip, listing, operators, peer_watch, retry_budget, store_watch,
    warm_up,
};
use hickorycross_runtime::exposition::Exposition;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Longest time after the start for which connections are not accepted because the entry is not
/// initialized. Callers close a connection whose request is not read within 1 s.
const MAX_ACCEPT_DELAY_MS: u64 = 600;

/// Interval between removals of expired state.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL_MS: u64 = 20;

/// Runs an entry until it gets a stop signal, then drains it.
///
/// # Errors
///
/// When the settings have no address for callers, an address cannot be bound, or signal handlers or
/// threads cannot be set up.
pub async fn run_entry(
    settings: ProcessSettings,
    names: WireNames,
    store: Rc<dyn SharedStore>,
    source: Box<dyn SettingsSource>,
) -> miette::Result<()> {
    let Process { exposition, log, mut signals, reload } = Process::start(source)?;
    let callers_at = settings
        .listen
        .callers
        .ok_or_else(|| miette::miette!("the settings have no listen address for callers"))?;
    let line = DecisionLog::fields("start").with("instance", &settings.instance);
    log.note(line.with("failure_domain", &settings.failure_domain).with("callers_at", callers_at));
    log_regions(&log, &settings);
    let state = EntryState::new(settings, names, log);
    retry_budget::update(&state);
    serve_internal_endpoints(&state, &exposition).await?;
    let listener = listen(callers_at).await?;
    tokio::task::spawn_local(store_watch::watch_catalog(Rc::clone(&state), Rc::clone(&store)));
    tokio::task::spawn_local(store_watch::watch_backends(Rc::clone(&state), store));
    tokio::task::spawn_local(listing::remove_lapsed(Rc::clone(&state)));
    tokio::task::spawn_local(peer_watch::run(Rc::clone(&state)));
    tokio::task::spawn_local(exchange::exchange_with_peers(Rc::clone(&state)));
    tokio::task::spawn_local(gossip::run(Rc::clone(&state)));
    tokio::task::spawn_local(prune(Rc::clone(&state)));
    let reload_state = Rc::clone(&state);
    let reloading = reload.follow(move |settings| apply_settings(&reload_state, settings));
    tokio::task::spawn_local(reloading);
    let accepting = tokio::task::spawn_local(accept_when_initialized(Rc::clone(&state), listener));
    signals.next().await;
    drain::run(&state, &accepting).await;
    let line = DecisionLog::fields("stop").with("open_requests", state.open_requests.get());
    log_last_line(&state.log, line).await;
    Ok(())
}

/// Accepts callers' connections once the entry can serve their requests, or after
/// [`MAX_ACCEPT_DELAY_MS`].
///
/// After all processes of a fleet were killed, callers retry within milliseconds, many of them for
/// the last time, while the store answers a little later. Until then connections wait in the
/// kernel's queue.
async fn accept_when_initialized(state: Rc<EntryState>, listener: TcpListener) {
    let until = boot_now().after(MAX_ACCEPT_DELAY_MS);
    while !state.is_initialized() && boot_now() < until && !state.drain.is_active() {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    callers::accept(state, listener).await;
}

/// Serves health checks, metrics and requests of other entries.
async fn serve_internal_endpoints(
    state: &Rc<EntryState>,
    exposition: &Exposition,
) -> miette::Result<()> {
    let addresses = state.settings.borrow().listen;
    for address in [addresses.ready, addresses.control].into_iter().flatten() {
        let listener = listen(address).await?;
        let endpoints = EntryEndpoints { state: Rc::clone(state), exposition: exposition.clone() };
        tokio::task::spawn_local(operators::serve(listener, Rc::new(endpoints)));
    }
    Ok(())
}

/// Applies changed settings, except for the listen addresses, which need a restart.
fn apply_settings(state: &EntryState, mut settings: ProcessSettings) {
    settings.listen = state.settings.borrow().listen;
    state.peers.borrow_mut().set_seeds(&settings.seeds);
    let regions = state.settings.borrow().domain_regions.clone();
    if regions != settings.domain_regions {
        log_regions(&state.log, &settings);
    }
    *state.settings.borrow_mut() = settings;
    retry_budget::update(state);
    warm_up::update_limits(state);
}

/// Logs the regions of the failure domains, if any is known, and the faults in their settings.
fn log_regions(log: &DecisionLog, settings: &ProcessSettings) {
    let regions = settings.domain_regions.iter();
    let regions: Vec<String> =
        regions.map(|(domain, region)| format!("{domain}:{region}")).collect();
    if !regions.is_empty() {
        let line = DecisionLog::fields("regions").with_some("own", settings.region.as_deref());
        log.note(line.with("domains", regions.join(",")));
    }
    for fault in &settings.region_faults {
        log.note(DecisionLog::fields("regions").with("fault", fault).with("outcome", "not-known"));
    }
}

/// Closes expired connections to backend servers and removes other expired state, periodically.
async fn prune(state: Rc<EntryState>) {
    loop {
        tokio::time::sleep(Duration::from_millis(PRUNE_INTERVAL_MS)).await;
        state.pool.prune(|id, born_ms| state.backends.borrow().takes_work(id, born_ms));
        metrics::gauge!("hickorycross_buffered_bytes").set(state.buffers.used_bytes() as f64);
        let now = boot_now();
        retry_budget::update(&state);
        retry_budget::report(&state);
        state.forget_pools();
        state.crashes.borrow_mut().expire(now);
        state.part_crashes.borrow_mut().expire(now);
        state.limits.borrow_mut().expire(now);
        state.limit_grants.borrow_mut().expire(now);
        state.limit_permits.borrow_mut().expire(now);
        state.cold_shares.borrow_mut().expire(now);
        state.cold_grants.borrow_mut().expire(now);
        state.cold_permits.borrow_mut().expire(now);
        warm_up::report_changes(&state, now);
        if state.peers.borrow().live_count(now) == 0 {
            state.alone_at.set(now);
        }
    }
}
