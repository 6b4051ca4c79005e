//! Records when the store was available, from this entry's own calls and what its peers tell.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use hickorycross_core::direct::{AvailabilityReport, BootMs, StoreAvailability};
use std::net::SocketAddr;

/// Records that the store answered this entry at `answered_at`, after it had come back from a copy
/// `era` times.
pub(crate) fn note_answer(state: &EntryState, answered_at: BootMs, era: u64) {
    update(state, None, |availability| availability.note_answer(answered_at, era));
}

/// Records what a peer knows of the store's availability, as of a moment by this process's clock.
pub(crate) fn note_report(
    state: &EntryState,
    peer: SocketAddr,
    report: AvailabilityReport,
    as_of: BootMs,
) {
    update(state, Some(peer), |availability| availability.note_report(report, as_of));
}

/// Changes what is known of the store's availability, and applies and logs another end of its last
/// outage.
fn update(
    state: &EntryState,
    told_by: Option<SocketAddr>,
    change: impl FnOnce(&mut StoreAvailability) -> bool,
) {
    let mut availability = state.store_availability.get();
    let before = availability.since();
    let is_news = change(&mut availability);
    state.store_availability.set(availability);
    let (true, Some(since)) = (is_news, availability.since()) else { return };
    state.availability_told_by.set(told_by);
    state.backends.borrow_mut().limit_lapses(since);
    state.lapses_changed.notify_waiters();
    let line = DecisionLog::fields("store-availability");
    let line = line.with("since_ms", boot_now().since(since)).with_some("told_by", told_by);
    let outcome = if before.is_some_and(|before| since > before) { "returned" } else { "known" };
    state.log.note(line.with("outcome", outcome));
}
