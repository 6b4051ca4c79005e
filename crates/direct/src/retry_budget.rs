//! This entry's share of the fleet's retry budget, and what operators see of it.

use crate::clock::boot_now;
use crate::decision_log::{DecisionLog, Fields};
use crate::state::EntryState;

/// Recomputes this entry's share from the number of live entries.
pub(crate) fn update(state: &EntryState) {
    let fleet = state.settings.borrow().bounds.retry_budget();
    let mut share = state.retry_share.borrow_mut();
    share.note_live_entries(state.live_entry_count());
    state.retry_budget.borrow_mut().set(share.settings(fleet, boot_now()));
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
    metrics::gauge!("hickorycross_retry_budget_entries").set(share.entries() as f64);
    metrics::gauge!("hickorycross_retry_budget_slack").set(settings.slack);
    if state.logged_retry_budget.replace(Some(settings)) == Some(settings) {
        return;
    }
    let line = DecisionLog::fields("retry-budget").with("entries", share.entries());
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
    line.with("second_sends_counted_ms", share.age_ms(now)).with("budget_entries", share.entries())
}
