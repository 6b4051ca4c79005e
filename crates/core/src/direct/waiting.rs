//! Rules for requests that cannot be sent at once: how long they wait, and when their callers should
//! retry.
//!
//! They apply while a group is unavailable and in the seconds after. A caller waits a few seconds
//! for the first event of a stream and then gives up for good. A caller that is refused at once
//! retries after the time in the refusal, but only a few times, and only if that time is a small
//! part of its remaining timeout.

use super::{BootMs, Route};

/// Shortest time for which callers wait for the next event of a stream before they give up for
/// good.
const MIN_PATIENCE_MS: u64 = 2_000;
/// Shortest patience of callers, as a multiple of the target for the first event.
const PATIENCE_TARGETS: u64 = 4;
/// Shortest patience of callers, as a multiple of the target for the gap between events.
const PATIENCE_GAPS: u64 = 8;

/// Fraction of a caller's patience that is reserved for the first event, as a divisor. With common
/// targets this is 0.4 s, twice what a first event takes in a balanced group.
const FIRST_EVENT_DIVISOR: u64 = 5;

/// Longest time for which callers wait before a retry, as a divisor of their remaining timeout.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// Margin below the longest wait of callers, since a caller may retry this much earlier than it was
/// told.
const RETRY_AFTER_MARGIN_MS: u64 = 20;

/// Shortest time over which retries to one group are spread: some passes.
const MIN_SPREAD_MS: u64 = 300;
/// Longest time over which retries to one group are spread: about as long as the shortest outages
/// (2 s).
const MAX_SPREAD_MS: u64 = 1_500;

/// Longest wait for a pass with room for a request, as a divisor of the target for the first event.
/// In a balanced group a first event takes less than half of its target.
const PASS_WAIT_DIVISOR: u64 = 2;

/// Returns until when a stream may wait to be sent before its caller gives up.
///
/// `since` is when the caller got the last event, or sent its request. Part of the caller's
/// patience is reserved for the next event to arrive.
#[must_use]
pub fn event_wait_deadline(route: &Route, since: BootMs) -> BootMs {
    let gap_ms = route.target_gap_ms.unwrap_or(0) * PATIENCE_GAPS;
    let patience_ms = MIN_PATIENCE_MS.max(route.target_latency_ms * PATIENCE_TARGETS).max(gap_ms);
    since.after(patience_ms - patience_ms / FIRST_EVENT_DIVISOR)
}

/// Returns the fraction of its patience that a stream's caller has used up by `now`.
///
/// `since` is when the caller got the last event, or sent its request. The result is 1 at the
/// deadline of [`event_wait_deadline`].
#[must_use]
pub fn patience_used(route: &Route, since: BootMs, now: BootMs) -> f64 {
    let patience_ms = event_wait_deadline(route, since).since(since).max(1);
    now.since(since) as f64 / patience_ms as f64
}

/// Returns after how many milliseconds a refused caller should retry.
///
/// `back_in_ms` is the time until the group is expected to recover, and `left_ms` the remaining
/// timeout of the caller. `draw`, a random number from 0 up to 1, spreads the retries: after an
/// outage of some seconds a group needs about as long again for the requests that it has missed.
/// Callers only wait for a fraction of their remaining timeout. They are late in any case, so a
/// retry at the end of that time is no worse than one at its beginning.
#[must_use]
pub fn retry_after_ms(back_in_ms: u64, draw: f64, left_ms: u64) -> u64 {
    let max_ms = (left_ms / RETRY_AFTER_DIVISOR).saturating_sub(RETRY_AFTER_MARGIN_MS).max(1);
    let spread_ms = max_ms.saturating_sub(back_in_ms).clamp(MIN_SPREAD_MS, MAX_SPREAD_MS);
    // A later retry than the caller waits for never happens; without the spread all would come at
    // once.
    let earliest_ms = back_in_ms.min(max_ms.saturating_sub(spread_ms));
    (earliest_ms + (spread_ms as f64 * draw) as u64).min(max_ms)
}

/// Returns until when a request that began to wait at `entered_at` waits for a pass with room for
/// it.
///
/// A late request waits longer, since requests that can still be on time go first. A request that
/// was `sent` before does not wait: its backend server timed out or rejected it, after most of its
/// caller's patience was used up.
#[must_use]
pub fn pass_wait_deadline(route: &Route, entered_at: BootMs, is_late: bool, sent: bool) -> BootMs {
    let target_ms = route.target_latency_ms;
    match (sent, is_late) {
        (true, _) => entered_at,
        (false, true) => entered_at.after(target_ms),
        (false, false) => entered_at.after(target_ms / PASS_WAIT_DIVISOR),
    }
}
