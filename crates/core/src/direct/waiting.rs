//! Rules for requests that cannot be sent at once: how long they wait, when their callers should
//! retry, and how urgent they are afterwards.
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

/// Number of requests after which the longest timeout seen counts as the initial timeout of
/// callers.
const MIN_SAMPLES: u32 = 20;

/// The least urgent value that backend servers distinguish.
const LEAST_URGENT: u8 = 9;

/// Largest priority number of a catalog for which each priority has two urgencies.
const MAX_SPLIT_PRIORITY: u8 = LEAST_URGENT / 2;

/// Longest wait for a pass with room for a request, as a divisor of the target for the first event.
/// In a balanced group a first event takes less than half of its target.
const PASS_WAIT_DIVISOR: u64 = 2;

/// Fraction of its caller's patience after which a late request is as urgent as one that can be on
/// time.
const ESCALATION_SHARE: f64 = 0.5;

/// Time that a new request may take to reach an entry.
const TRANSIT_MS: u64 = 50;

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

/// Estimates the timeout with which callers of one route first send their requests.
///
/// A request that is retried after a refusal has less time left than that. This distinguishes it
/// from a new request, which can still be answered on time and can be retried once more.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialTimeouts {
    longest_timeout_ms: u64,
    samples: u32,
}

impl InitialTimeouts {
    /// Records a request with `left_ms` left, and returns how many milliseconds it used up before.
    pub fn note(&mut self, left_ms: u64, route: &Route) -> u64 {
        self.samples = self.samples.saturating_add(1);
        self.longest_timeout_ms = self.longest_timeout_ms.max(left_ms);
        let is_known = self.samples >= MIN_SAMPLES;
        let initial_timeout_ms = if is_known {
            self.longest_timeout_ms
        } else {
            self.longest_timeout_ms.max(route.timeout_ms)
        };
        let used_ms = initial_timeout_ms - left_ms;
        if used_ms <= TRANSIT_MS { 0 } else { used_ms }
    }
}

/// Returns the urgency of a request at a backend server; 0 is the most urgent.
///
/// Requests are ordered by the priority of their team or route, then those that can still be on
/// time go before those that cannot. After an outage hundreds of requests are late in any case. New
/// requests queued behind them would be late as well, for seconds after the recovery.
/// `lowest_priority` is the least urgent one of the whole catalog: with too many priorities for two
/// urgencies each, only the priority counts.
#[must_use]
pub fn urgency(
    priority: u8,
    lowest_priority: u8,
    used_ms: u64,
    route: &Route,
    is_resumed: bool,
) -> u8 {
    if lowest_priority > MAX_SPLIT_PRIORITY {
        return priority.min(LEAST_URGENT);
    }
    let is_late = is_resumed || (route.kind.is_stream() && used_ms >= route.target_latency_ms);
    priority * 2 + u8::from(is_late)
}

/// Returns the urgency of a request, raised to that of one on time if its caller is about to give
/// up.
///
/// It is raised when the caller has used up enough of its patience (`patience_used`), or when the
/// request was `sent` before and has no attempt left. While a group is busy, late requests may
/// otherwise never begin. A late answer is worth about half of one on time, and a caller that gives
/// up gets none. If the request was queued at a frozen instance, a caller that gives up also leaves
/// work there that nobody waits for.
#[must_use]
pub fn escalated_urgency(urgency: u8, lowest_priority: u8, patience_used: f64, sent: bool) -> u8 {
    let is_split = lowest_priority <= MAX_SPLIT_PRIORITY;
    let is_last_chance = sent || patience_used >= ESCALATION_SHARE;
    if is_split && is_last_chance { urgency - urgency % 2 } else { urgency }
}

/// Returns the urgency of a request that was moved before it began, so that it begins before new
/// requests of the same priority.
///
/// Its caller has used up much of its patience at another backend server. Behind new requests it
/// would wait as long again, and a caller that gives up leaves its work at the first backend server,
/// which may be out of reach.
#[must_use]
pub fn moved_urgency(priority: u8, lowest_priority: u8) -> u8 {
    let is_split = lowest_priority <= MAX_SPLIT_PRIORITY;
    if is_split { (priority * 2).saturating_sub(1) } else { priority.min(LEAST_URGENT) }
}
