//! Limits how long the streams of an entry wait at the backend servers of a pool before they
//! begin.
//!
//! A request that waits at a backend server cannot be taken back once the server's instance
//! freezes: the cancellation does not arrive, and the server runs the request after its caller has
//! left. A request that waits at the entry can be refused, sent elsewhere or dropped at no cost. So
//! the wait at the backend servers is kept short, and the rest of the queue stays at the entry.

use super::BootMs;
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};

/// Shortest time over which the rate is measured at which streams begin.
const MIN_RATE_WINDOW_MS: u64 = 1_000;

/// Longest such time. Of an entry with few streams it covers several.
const MAX_RATE_WINDOW_MS: u64 = 10_000;

/// Streams that the measurement covers, if as many began in [`MAX_RATE_WINDOW_MS`].
const MIN_RATE_SAMPLES: usize = 8;

/// Share of the target for the first event for which streams may wait at backend servers. The rest
/// is for the wait at the entry and the pass that begins the stream.
const WAIT_SHARE: f64 = 0.6;

/// Streams that may wait at each backend server in addition, over all entries. With it an entry
/// whose streams began rarely can get more: what all entries get converges to even parts.
const SLACK_PER_SERVER: f64 = 0.5;

/// Share of the free slots of an entry for which streams may wait. Without it a group that has just
/// formed, and from which no stream has begun yet, would fill up slowly.
const FREE_SLOT_SHARE: f64 = 0.5;

/// Streams that may wait for as many free slots, so that a small group is not left idle.
const MIN_FREE_STREAMS: f64 = 4.0;

/// Wait of a single stream that is too long, whatever the mean: a third of the shortest time for
/// which callers wait. The rest is for the wait at the entry and at another backend server.
const LONG_WAIT_MS: u64 = 700;

/// Weight of the newest wait in the moving average of long waits, which covers about fifty waits.
const WAIT_WEIGHT: f64 = 0.02;

/// Share by which the target is reduced, as a multiple of the share of long waits. It is in
/// proportion, so that all entries, which see the same queues, reduce it alike.
const REDUCTION_PER_LONG_WAIT: f64 = 10.0;

/// Largest reduction. Waits that are long for another reason, such as a group that stalls, must not
/// leave slots unused for long.
const MAX_REDUCTION: f64 = 0.5;

/// Time after the last long wait for which the target stays reduced.
const REDUCTION_KEPT_MS: u64 = 5_000;

/// Streams that may begin at once beyond the measured rate, as after a pass that ended many others.
const MAX_BURST_STREAMS: f64 = 2.0;

/// How many streams of an entry may wait at the backend servers of a pool, by its configuration
/// and the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTarget {
    /// Mean time in milliseconds for which streams may wait.
    wait_ms: f64,
    /// Streams that may wait in addition.
    slack_streams: f64,
    /// Streams that may wait in any case, since there are slots for them.
    free_streams: f64,
}

impl QueueTarget {
    /// Returns the target for streams whose first event is due after `target_latency_ms`.
    ///
    /// `servers` backend servers with `slots` slots together are used by `entries` entries. Of this
    /// entry's streams `begun` have got an event.
    #[must_use]
    pub fn new(
        target_latency_ms: u64,
        servers: usize,
        slots: u32,
        entries: usize,
        begun: u32,
    ) -> Self {
        let entries = entries.max(1) as f64;
        let free_slots = f64::from(slots) / entries - f64::from(begun);
        Self {
            wait_ms: (target_latency_ms as f64 * WAIT_SHARE).max(1.0),
            slack_streams: servers as f64 * SLACK_PER_SERVER / entries,
            free_streams: (free_slots * FREE_SLOT_SHARE).max(free_slots.min(MIN_FREE_STREAMS)),
        }
    }
}

/// The streams of an entry that wait at the backend servers of each pool.
///
/// By Little's law the mean wait is the mean number of waiting streams divided by the rate at which
/// streams begin. So the mean number is kept at that rate times the target, plus a slack. Each
/// entry bounds its own part, and the parts of all entries add up to the same wait without any
/// message between them.
///
/// An entry that sends rarely may have less than one waiting stream in the mean. Its limit is
/// therefore kept over time: what was below the mean is credit for a short burst, and a long wait
/// must be made up for by a pause.
#[derive(Clone, Debug, Default)]
pub struct QueueLimit {
    services: IndexMap<String, Queue>,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    /// When streams began, oldest first.
    begun_at: VecDeque<BootMs>,
    /// Streams that wait at backend servers.
    waiting: u32,
    /// Number of waiting streams that is kept in the mean.
    mean_streams: f64,
    /// Time for which fewer streams waited than in the mean, in milliseconds times streams.
    credit_ms: f64,
    updated_at: BootMs,
    /// Shortest target of all streams that were to be sent.
    wait_ms: Option<f64>,
    /// Moving average of the share of long waits.
    long_share: f64,
    /// When long waits no longer count, unless there is another one.
    long_until: BootMs,
    /// Number of streams that are held back at the entry, by urgency.
    held: BTreeMap<u8, u32>,
}

impl QueueLimit {
    /// Returns whether one more stream may be sent to the backend servers of a pool.
    pub fn admits(&mut self, service: &str, target: QueueTarget, now: BootMs) -> bool {
        let queue = self.queue(service);
        queue.advance(now);
        queue.expire(now);
        let scale = 1.0 - queue.reduction();
        let wait_ms = queue.shortest_wait_ms(target) * scale;
        queue.mean_streams = queue.rate_per_ms(now) * wait_ms + target.slack_streams;
        let max_credit_ms = (queue.mean_streams + 1.0) * wait_ms;
        queue.credit_ms = queue.credit_ms.clamp(-max_credit_ms, max_credit_ms);
        let limit_streams = queue.mean_streams + queue.credit_ms / wait_ms;
        // Streams that wait for long show that the free slots are used by other entries.
        let free_streams = target.free_streams * (1.0 - queue.reduction() / MAX_REDUCTION);
        f64::from(queue.waiting) < limit_streams.max(free_streams.floor())
    }

    /// Returns whether no stream that is held back is more urgent; 0 is the most urgent.
    #[must_use]
    pub fn is_most_urgent(&self, service: &str, urgency: u8) -> bool {
        let first = self.services.get(service).and_then(|queue| queue.held.first_key_value());
        first.is_none_or(|(first, _)| *first >= urgency)
    }

    /// Returns whether a stream of this urgency cannot be sent before `until`, because too many
    /// others are held back that go before it.
    ///
    /// While few streams have begun, as after an outage, nothing is known of the rate.
    #[must_use]
    pub fn is_out_of_reach(&self, service: &str, urgency: u8, until: BootMs, now: BootMs) -> bool {
        let Some(queue) = self.services.get(service) else { return false };
        if queue.begun_at.len() < MIN_RATE_SAMPLES {
            return false;
        }
        let ahead: u32 = queue.held.range(..=urgency).map(|(_, count)| count).sum();
        f64::from(ahead) > queue.rate_per_ms(now) * until.since(now) as f64 + MAX_BURST_STREAMS
    }

    /// Records that a stream is held back at the entry until it may be sent.
    pub fn hold(&mut self, service: &str, urgency: u8) {
        *self.queue(service).held.entry(urgency).or_default() += 1;
    }

    /// Records that a stream is not held back any more.
    pub fn release(&mut self, service: &str, urgency: u8) {
        let held = &mut self.queue(service).held;
        let Some(count) = held.get_mut(&urgency) else { return };
        *count -= 1;
        if *count == 0 {
            held.remove(&urgency);
        }
    }

    /// Records that a stream was sent.
    pub fn note_sent(&mut self, service: &str, now: BootMs) {
        let queue = self.queue(service);
        queue.advance(now);
        queue.waiting += 1;
    }

    /// Records that a stream got its first event, `waited_ms` after it was sent.
    pub fn note_begun(&mut self, service: &str, waited_ms: u64, now: BootMs) {
        let queue = self.queue(service);
        queue.leave(now);
        queue.begun_at.push_back(now);
        queue.expire(now);
        queue.note_wait(waited_ms > LONG_WAIT_MS, now);
    }

    /// Records that a stream ended at its backend server before its first event, `waited_ms` after
    /// it was sent.
    pub fn note_not_begun(&mut self, service: &str, waited_ms: u64, now: BootMs) {
        let queue = self.queue(service);
        queue.leave(now);
        // A short wait says nothing here: the server may have rejected the stream.
        if waited_ms > LONG_WAIT_MS {
            queue.note_wait(true, now);
        }
    }

    /// Returns the number of streams that may wait in the mean, as of the last decision.
    #[must_use]
    pub fn mean_streams(&self, service: &str) -> Option<f64> {
        self.services.get(service).map(|queue| queue.mean_streams)
    }

    /// Lets a new pool begin with the measurements of its service, which is divided into `pools`.
    ///
    /// Without them nothing could be sent to it until a rate is known.
    pub fn inherit(&mut self, service: &str, pool: &str, pools: usize) {
        let Some(whole) = self.services.get(service).filter(|_| service != pool) else { return };
        let part = 1.0 / pools.max(1) as f64;
        let queue = Queue {
            begun_at: whole.begun_at.iter().copied().step_by(pools.max(1)).collect(),
            waiting: 0,
            mean_streams: whole.mean_streams * part,
            credit_ms: whole.credit_ms * part,
            held: BTreeMap::new(),
            ..whole.clone()
        };
        self.services.entry(pool.to_owned()).or_insert(queue);
    }

    /// Forgets the pools for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|pool, _| is_kept(pool));
    }

    fn queue(&mut self, service: &str) -> &mut Queue {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Queue::default());
        }
        &mut self.services[service]
    }
}

impl Queue {
    /// Adds the credit since the last change.
    fn advance(&mut self, now: BootMs) {
        let elapsed_ms = now.since(self.updated_at) as f64;
        self.credit_ms += (self.mean_streams - f64::from(self.waiting)) * elapsed_ms;
        self.updated_at = now;
    }

    fn leave(&mut self, now: BootMs) {
        self.advance(now);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the shortest time for which streams of any route may wait.
    ///
    /// Streams of all routes wait in the same queues. With a target for each route, those with the
    /// longest one would fill the queues, and none of the others could be sent.
    fn shortest_wait_ms(&mut self, target: QueueTarget) -> f64 {
        let shortest_ms = self.wait_ms.unwrap_or(target.wait_ms).min(target.wait_ms);
        self.wait_ms = Some(shortest_ms);
        shortest_ms
    }

    /// Records whether a stream waited for long.
    fn note_wait(&mut self, is_long: bool, now: BootMs) {
        self.long_share += (f64::from(u8::from(is_long)) - self.long_share) * WAIT_WEIGHT;
        if is_long {
            self.long_until = now.after(REDUCTION_KEPT_MS);
        }
    }

    /// Returns the share by which the target is reduced because of long waits.
    ///
    /// Entries with few streams at each server cannot spread them evenly. Some servers then have
    /// long queues although the mean wait is short, so the mean has to be shorter.
    fn reduction(&self) -> f64 {
        (self.long_share * REDUCTION_PER_LONG_WAIT).min(MAX_REDUCTION)
    }

    /// Forgets what is too old to count.
    fn expire(&mut self, now: BootMs) {
        if self.long_until <= now {
            self.long_share = 0.0;
        }
        while self.begun_at.front().is_some_and(|at| self.is_over(now.since(*at))) {
            self.begun_at.pop_front();
        }
    }

    /// Returns the rate at which streams began lately, per millisecond.
    fn rate_per_ms(&self, now: BootMs) -> f64 {
        let Some(oldest) = self.begun_at.front() else { return 0.0 };
        self.begun_at.len() as f64 / now.since(*oldest).max(MIN_RATE_WINDOW_MS) as f64
    }

    fn is_over(&self, age_ms: u64) -> bool {
        let has_enough = self.begun_at.len() > MIN_RATE_SAMPLES;
        age_ms > MAX_RATE_WINDOW_MS || (has_enough && age_ms > MIN_RATE_WINDOW_MS)
    }
}
