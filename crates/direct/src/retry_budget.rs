//! This entry's share of the fleet's retry budget, and what operators see of it.

use crate::clock::boot_now;
use crate::decision_log::{DecisionLog, Fields};
use crate::state::EntryState;

/// Recomputes this entry's share from the number of entries that it has heard of.
pub(crate) fn update(state: &EntryState) {
    let fleet = state.settings.borrow().bounds.retry_budget();
    let now = boot_now();
    state.entry_count.borrow_mut().note(state.live_entry_count(), now, now);
    let mut share = state.retry_share.borrow_mut();
    share.set_entries(state.counted_entries());
    state.retry_budget.borrow_mut().set(share.settings(fleet, now));
}

/// Logs the share if it has changed since the last line, and sets the gauges.
///
/// Called once a second, since the number of known entries changes with each message right after
/// the start of a large fleet.
pub(crate) fn report(state: &EntryState) {
    let fleet = state.settings.borrow().bounds.retry_budget();
    let now = boot_now();
    let share = state.retry_share.borrow();
    let settings = share.settings(fleet, now);
    let entries = share.entries().unwrap_or(0);
    metrics::gauge!("hickorycross_retry_budget_entries").set(entries as f64);
    metrics::gauge!("hickorycross_retry_budget_slack").set(settings.slack);
    if state.logged_retry_budget.replace(Some(settings)) == Some(settings) {
        return;
    }
    let line = DecisionLog::fields("retry-budget").with("entries", entries);
    let line = line.with("live_entries", state.live_entry_count());
    let line = line.with("slack", format_args!("{:.2}", settings.slack));
    let line = line.with("ratio", format_args!("{:.3}", settings.ratio));
    let line = line.with("window_ms", settings.window_ms);
    state.log.note(line.with("counted_ms", share.age_ms(now)));
}

/// Adds what is used of the budget of a service, of how much, and for how long this entry has
/// counted.
pub(crate) fn with_usage(state: &EntryState, line: Fields, service: &str) -> Fields {
    let now = boot_now();
    let usage = state.retry_budget.borrow_mut().usage(now, service);
    let share = state.retry_share.borrow();
    let line = line.with("second_sends_spent", usage.retries);
    let line = line.with("second_sends_allowed", format_args!("{:.2}", usage.allowed));
    let line = line.with("second_sends_counted_ms", share.age_ms(now));
    line.with("budget_entries", share.entries().unwrap_or(0))
}
