//! A running entry.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::operators::EntryPages;
use crate::process::{Process, end, listen};
use crate::settings::{ProcessSettings, SettingsSource};
use crate::state::EntryState;
use crate::store::SharedStore;
use crate::wire_names::WireNames;
use crate::{callers, exchange, gossip, operators, store_watch};
use hickorycross_runtime::exposition::Exposition;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time after the request to stop in which callers' connections are still taken.
///
/// The balancer asks once a second and needs two bad answers; connections that it opens until then
/// must not be refused.
const ACCEPT_AFTER_STOP_MS: u64 = 2_600;

/// Time after the start for which connections wait for a first word of the store; callers leave one
/// whose request is not read within 1 s.
const MOST_UNKNOWN_MS: u64 = 600;

/// Part of the grace that is left unused, so that the process ends by itself.
const GRACE_MARGIN_MS: u64 = 400;

/// Pause between looks for what is past its time.
const PRUNE_PAUSE_MS: u64 = 1_000;

/// Pause between looks at what is still open.
const DRAIN_LOOK_MS: u64 = 20;

/// Runs an entry until it is told to stop, then drains it.
///
/// # Errors
///
/// When an address cannot be listened at, or the system gives no signals or threads.
pub async fn run_entry(
    settings: ProcessSettings,
    names: WireNames,
    store: Rc<dyn SharedStore>,
    source: Box<dyn SettingsSource>,
) -> miette::Result<()> {
    let Process { exposition, log, mut signals, reload } = Process::start(source)?;
    let callers_at =
        settings.listen.callers.ok_or_else(|| miette::miette!("no callers' address"))?;
    let line = DecisionLog::fields("start").with("instance", &settings.instance);
    log.note(line.with("failure_domain", &settings.failure_domain).with("callers_at", callers_at));
    let state = EntryState::new(settings, names, log);
    listen_for_processes(&state, &exposition).await?;
    let listener = listen(callers_at).await?;
    tokio::task::spawn_local(store_watch::watch_catalog(Rc::clone(&state), Rc::clone(&store)));
    tokio::task::spawn_local(store_watch::watch_backends(Rc::clone(&state), store));
    tokio::task::spawn_local(exchange::exchange_with_peers(Rc::clone(&state)));
    tokio::task::spawn_local(gossip::run(Rc::clone(&state)));
    tokio::task::spawn_local(prune(Rc::clone(&state)));
    let reloaded = Rc::clone(&state);
    let following = reload.follow(move |settings| take_settings(&reloaded, settings));
    tokio::task::spawn_local(following);
    let accepting = tokio::task::spawn_local(accept_when_known(Rc::clone(&state), listener));
    signals.next().await;
    drain(&state, &accepting).await;
    let line = DecisionLog::fields("stop").with("open_requests", state.open_requests.get());
    end(&state.log, line).await;
    Ok(())
}

/// Takes callers' connections once the entry knows what to do with their requests.
///
/// After all processes were killed, callers come back within milliseconds, many of them for the last
/// time. The store answers soon after; until then connections wait in the system's queue.
async fn accept_when_known(state: Rc<EntryState>, listener: TcpListener) {
    let until = boot_now().after(MOST_UNKNOWN_MS);
    while !state.is_informed() && boot_now() < until && !state.is_draining.get() {
        tokio::time::sleep(Duration::from_millis(DRAIN_LOOK_MS)).await;
    }
    callers::accept(state, listener).await;
}

async fn listen_for_processes(
    state: &Rc<EntryState>,
    exposition: &Exposition,
) -> miette::Result<()> {
    let addresses = state.settings.borrow().listen;
    for address in [addresses.ready, addresses.control].into_iter().flatten() {
        let listener = listen(address).await?;
        let pages = EntryPages { state: Rc::clone(state), exposition: exposition.clone() };
        tokio::task::spawn_local(operators::serve(listener, Rc::new(pages)));
    }
    Ok(())
}

/// Finishes what runs. Connections are still taken until the balancer has noticed.
async fn drain(state: &EntryState, accepting: &tokio::task::JoinHandle<()>) {
    let started_at = boot_now();
    state.is_draining.set(true);
    let open = state.open_requests.get();
    state.log.note(DecisionLog::fields("drain").with("open_requests", open));
    let grace_ms = state.settings.borrow().bounds.grace_ms.saturating_sub(GRACE_MARGIN_MS);
    let accept_until = started_at.after(ACCEPT_AFTER_STOP_MS);
    let end_at = started_at.after(grace_ms);
    while boot_now() < accept_until {
        tokio::time::sleep(Duration::from_millis(DRAIN_LOOK_MS)).await;
    }
    accepting.abort();
    state.closing.send_replace(true);
    while state.open_connections.get() > 0 && boot_now() < end_at {
        tokio::time::sleep(Duration::from_millis(DRAIN_LOOK_MS)).await;
    }
}

/// Takes over changed settings. Listeners stay where they are for the life of the process.
fn take_settings(state: &EntryState, mut settings: ProcessSettings) {
    settings.listen = state.settings.borrow().listen;
    state.peers.borrow_mut().set_seeds(&settings.seeds);
    *state.settings.borrow_mut() = settings;
    state.split_slack();
}

/// Closes connections to backend servers that are past their time, and forgets what else is.
async fn prune(state: Rc<EntryState>) {
    loop {
        tokio::time::sleep(Duration::from_millis(PRUNE_PAUSE_MS)).await;
        state.pool.prune(|id, born_ms| state.backends.borrow().takes_work(id, born_ms));
        let now = boot_now();
        state.split_slack();
        state.crashes.borrow_mut().expire(now);
        state.limits.borrow_mut().expire(now);
        state.limit_grants.borrow_mut().expire(now);
        state.limit_permits.borrow_mut().expire(now);
    }
}
