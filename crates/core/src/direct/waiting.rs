//! What to do with a request that cannot be sent now: let it wait, or tell its caller when to come back.
//!
//! The load that this answers: the seconds in which a group is away and those after. A caller waits for
//! the first event of a stream for a few seconds and then leaves for good; one that is refused at once
//! comes back after the time it was told, but only a few times, and only if that is a small part of the
//! time that it has left.

use super::{BootMs, Route};

/// Least time for which callers wait for the next event of a stream before they leave for good.
const LEAST_PATIENCE_MS: u64 = 2_000;
/// The same as a multiple of the time within which a first event is on time.
const PATIENCE_TARGETS: u64 = 4;
/// The same as a multiple of the longest pause between events that is on time.
const PATIENCE_GAPS: u64 = 8;

/// Part of a caller's patience that is left for the first event, as a divisor: at the sizes in use
/// 0.4 s, twice what a first event takes in a group that is even.
const FIRST_EVENT_DIVISOR: u64 = 5;

/// Part of the time that a caller has left for which it waits before it comes back, as a divisor.
const COME_BACK_DIVISOR: u64 = 3;

/// Time by which the moment at which a caller comes back may lie before what it was told.
const COME_BACK_MARGIN_MS: u64 = 20;

/// Least and most time over which callers are spread that come back to one group: some passes, and
/// about as long as the shortest outages last (2 s).
const LEAST_SPREAD_MS: u64 = 300;
/// See [`LEAST_SPREAD_MS`].
const MOST_SPREAD_MS: u64 = 1_500;

/// Requests after which the longest time that callers give is taken for what they give at first.
const SEEN_ENOUGH: u32 = 20;

/// The last urgency that backend servers tell apart.
const LEAST_URGENT: u8 = 9;

/// The lowest priority up to which each has two urgencies.
const MOST_SPLIT_PRIORITY: u8 = LEAST_URGENT / 2;

/// Part of the time for a first event that a request waits for a pass in which it may begin, as a
/// divisor. In a group that is even a first event takes less than half of its time.
const PASS_WAIT_DIVISOR: u64 = 2;

/// Part of its caller's patience after which a late request counts as urgent as one that can be on time.
const HASTENED_PART: f64 = 0.5;

/// Time that a request may have used up before it reaches an entry for the first time.
const FRESH_MS: u64 = 50;

/// Until when a stream's caller waits for an event before it leaves, when it got the last one, or sent
/// its request, at `since`; a part of it is left for the event.
#[must_use]
pub fn event_wait_deadline(route: &Route, since: BootMs) -> BootMs {
    let gap_ms = route.target_gap_ms.unwrap_or(0) * PATIENCE_GAPS;
    let patience_ms = LEAST_PATIENCE_MS.max(route.target_latency_ms * PATIENCE_TARGETS).max(gap_ms);
    since.after(patience_ms - patience_ms / FIRST_EVENT_DIVISOR)
}

/// Part of its patience that a stream's caller has used up by `now`, when it got the last event, or sent its
/// request, at `since`; 1 when a wait for it has to end.
#[must_use]
pub fn patience_used(route: &Route, since: BootMs, now: BootMs) -> f64 {
    let patience_ms = event_wait_deadline(route, since).since(since).max(1);
    now.since(since) as f64 / patience_ms as f64
}

/// When a caller with `left_ms` left is told to come back, for a group that is back in `back_in_ms`.
///
/// `draw`, from 0 up to 1, spreads callers, so that they do not come all at once; a group that was away
/// for some seconds needs about as long for those that it has missed. A caller waits for no more than a
/// part of the time that it has left; it is late in any case, so the end of that part is no worse for it
/// than the beginning.
#[must_use]
pub fn retry_after_ms(back_in_ms: u64, draw: f64, left_ms: u64) -> u64 {
    let most_ms = (left_ms / COME_BACK_DIVISOR).saturating_sub(COME_BACK_MARGIN_MS).max(1);
    let spread_ms = most_ms.saturating_sub(back_in_ms).clamp(LEAST_SPREAD_MS, MOST_SPREAD_MS);
    // Later than the caller waits is too late; all at the end of that time would come at once.
    let first_ms = back_in_ms.min(most_ms.saturating_sub(spread_ms));
    (first_ms + (spread_ms as f64 * draw) as u64).min(most_ms)
}

/// Until when a request that entered its wait at `entered_at` waits for a pass in which it may begin.
///
/// One that is late already gives way to those that are not. One that was `sent` before does not wait: its
/// backend server went silent or turned it away, after most of its caller's patience.
#[must_use]
pub fn pass_wait_deadline(route: &Route, entered_at: BootMs, is_late: bool, sent: bool) -> BootMs {
    let target_ms = route.target_latency_ms;
    match (sent, is_late) {
        (true, _) => entered_at,
        (false, true) => entered_at.after(target_ms),
        (false, false) => entered_at.after(target_ms / PASS_WAIT_DIVISOR),
    }
}

/// How much time callers of one route give their requests at first.
///
/// A request that comes back after a refusal has less time left than it had. That tells it from a fresh
/// one, which can still be answered on time and can come back once more.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialTimeouts {
    longest_ms: u64,
    seen: u32,
}

impl InitialTimeouts {
    /// Notes a request with `left_ms` left, and tells how much time it has used up before.
    pub fn note(&mut self, left_ms: u64, route: &Route) -> u64 {
        self.seen = self.seen.saturating_add(1);
        self.longest_ms = self.longest_ms.max(left_ms);
        let is_known = self.seen >= SEEN_ENOUGH;
        let first_ms =
            if is_known { self.longest_ms } else { self.longest_ms.max(route.timeout_ms) };
        let used_ms = first_ms - left_ms;
        if used_ms <= FRESH_MS { 0 } else { used_ms }
    }
}

/// Urgency at a backend server, 0 first: by the priority of its team or route, then those that can
/// still be on time before those that cannot.
///
/// After an outage hundreds of requests are late whatever is done. Fresh ones that queue behind them
/// would be late as well, for seconds after the group is back. `lowest_priority` is that of the whole
/// catalog: where there are too many priorities for two urgencies each, they alone count.
#[must_use]
pub fn urgency(
    priority: u8,
    lowest_priority: u8,
    used_ms: u64,
    route: &Route,
    is_resumed: bool,
) -> u8 {
    if lowest_priority > MOST_SPLIT_PRIORITY {
        return priority.min(LEAST_URGENT);
    }
    let is_late = is_resumed || (route.kind.is_stream() && used_ms >= route.target_latency_ms);
    priority * 2 + u8::from(is_late)
}

/// The urgency of a request whose caller has used up `patience_used` of its patience, or that was `sent`
/// before, in place of the one by priority and lateness alone.
///
/// While a group is busy late requests may never begin. A late answer is worth about half of one on time,
/// and a caller that leaves gets none; what was sent before has no further try. If it lay at a frozen
/// machine, a caller that leaves also leaves work behind that nobody waits for.
#[must_use]
pub fn escalated_urgency(urgency: u8, lowest_priority: u8, patience_used: f64, sent: bool) -> u8 {
    let is_split = lowest_priority <= MOST_SPLIT_PRIORITY;
    let is_last_chance = sent || patience_used >= HASTENED_PART;
    if is_split && is_last_chance { urgency - urgency % 2 } else { urgency }
}
