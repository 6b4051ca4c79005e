//! Decides whether this entry watches the store itself, and otherwise asks the entry of its failure
//! domain that does.
//!
//! A request for news is held there until something changes or the store is heard from, as the store
//! holds a watch. How long it was held is told in the response, so that the age of what it holds
//! counts from when it left, as far as this entry can know without a common clock.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange::{self, EXCHANGE_PATH};
use crate::exchange_messages::{ExchangeRequest, ExchangeResponse};
use crate::peer_call::{self, PeerCallError};
use crate::state::EntryState;
use hickorycross_core::direct::ChangeSource;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for which a peer may hold a request: slightly longer than one watch call of the peer for the
/// configuration.
const WAIT_MS: u64 = 1_050;

/// Time beyond it after which the peer counts as silent.
const ANSWER_MARGIN_MS: u64 = 350;

/// Age of the configuration above which a request is not to be held. When the entry that was asked
/// before is gone, there is little time left to find another one.
const URGENT_AGE_MS: u64 = 2_200;

/// Time after which a peer that must not hold a request counts as silent.
const URGENT_TIMEOUT_MS: u64 = 350;

/// Interval between checks whether another entry has taken over.
const CHECK_INTERVAL_MS: u64 = 250;

/// Shortest interval between two requests, so that successive changes are told together.
const MIN_INTERVAL_MS: u64 = 100;

/// Interval between requests to a peer that does not hold them, as one of an earlier release.
const UNHELD_INTERVAL_MS: u64 = 500;

/// Interval between checks whether a peer has answered after the start.
const START_POLL_MS: u64 = 5;

/// Lets this entry watch the store, or asks another entry, as [`StoreWatchers`] decides, continuously.
///
/// [`StoreWatchers`]: hickorycross_core::direct::StoreWatchers
pub(crate) async fn run(state: Rc<EntryState>) {
    // Before a peer has answered, nothing is known of the other entries, and each one that starts
    // would read the whole store.
    while !state.has_asked_peers.get() {
        tokio::time::sleep(Duration::from_millis(START_POLL_MS)).await;
    }
    loop {
        let source = state.store_watchers.borrow().source(boot_now());
        note_source(&state, source);
        match source {
            ChangeSource::Store => {
                tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            }
            ChangeSource::Peer(peer) => ask(&state, peer).await,
        }
    }
}

/// Starts or stops the watches of the store, and logs the change.
fn note_source(state: &EntryState, source: ChangeSource) {
    let watches_store = source == ChangeSource::Store;
    if state.watches_store.send_replace(watches_store) == watches_store {
        return;
    }
    metrics::gauge!("hickorycross_watches_store").set(if watches_store { 1.0 } else { 0.0 });
    let is_expected = state.store_watchers.borrow().is_expected_to_watch();
    let line = DecisionLog::fields("store-watch").with("is_expected", is_expected);
    let line = match source {
        ChangeSource::Store => line.with("watching", "store"),
        ChangeSource::Peer(peer) => line.with("watching", "peer").with("peer", peer),
    };
    let age_ms = state.catalog.borrow().age_ms(boot_now());
    state.log.note(line.with_some("age_ms", age_ms).with("outcome", "changed"));
}

/// Asks a peer for news once, and waits until the next request is due.
async fn ask(state: &EntryState, peer: SocketAddr) {
    let sent_at = boot_now();
    let age_ms = state.catalog.borrow().age_ms(sent_at);
    let is_urgent = age_ms.is_some_and(|age_ms| age_ms > URGENT_AGE_MS);
    let (wait_ms, timeout_ms) =
        if is_urgent { (0, URGENT_TIMEOUT_MS) } else { (WAIT_MS, WAIT_MS + ANSWER_MARGIN_MS) };
    let request = ExchangeRequest { wait_ms, age_ms, ..exchange::new_request(state) };
    let timeout = Duration::from_millis(timeout_ms);
    let response: Result<ExchangeResponse, PeerCallError> =
        peer_call::post_within(&state.client, peer, EXCHANGE_PATH, &request, timeout).await;
    let fault = match response {
        Ok(response) => {
            let pause_ms = pause_ms(&response);
            let fault = fault_of(state, peer, &response);
            exchange::apply_response(state, peer, response, sent_at);
            if fault.is_none() {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            fault
        }
        Err(error) => {
            metrics::counter!("hickorycross_exchange_failures_total").increment(1);
            state.store_watchers.borrow_mut().note_failed(peer, boot_now());
            Some(error.to_string())
        }
    };
    if let Some(fault) = fault {
        let line = DecisionLog::fields("store-watch").with("peer", peer).with("fault", fault);
        state.log.note(line.with("outcome", "passed-over"));
    }
}

/// Returns the pause until the next request after a response.
fn pause_ms(response: &ExchangeResponse) -> u64 {
    let has_changes = response.listing_update.as_ref().is_some_and(|update| !update.is_empty());
    let has_news = has_changes || response.backends.is_some() || response.catalog.is_some();
    if response.held_ms > 0 || has_news { MIN_INTERVAL_MS } else { UNHELD_INTERVAL_MS }
}

/// Returns why a peer is passed over for some time after a response, if it is.
fn fault_of(state: &EntryState, peer: SocketAddr, response: &ExchangeResponse) -> Option<String> {
    let now = boot_now();
    let mut watchers = state.store_watchers.borrow_mut();
    if response.is_leaving {
        watchers.note_failed(peer, now);
        return Some("leaving".to_owned());
    }
    // Before the operators have written a configuration, there is none to confirm.
    if response.age_ms.is_none() && response.reads_store {
        return None;
    }
    if watchers.note_answer(peer, response.age_ms, now) {
        return None;
    }
    Some(match response.age_ms {
        Some(age_ms) => format!("confirmed {age_ms} ms ago"),
        None => "never confirmed".to_owned(),
    })
}
