//! The choice of a pool for a request, in a service with several ones.
//!
//! A request goes to the pool in which its first event is expected soonest. Entries see each other's
//! requests only by the time until first events, with a delay of that time. If all of them chose the
//! pool that looks best, it would get all requests until they have seen that, and then another one
//! would. So the choice is drawn at random: pools that are nearly equal get requests in proportion
//! to their free slots, slower ones get fewer, and none gets more than a multiple of its part of the
//! slots, whatever the number of entries.

use super::BootMs;
use indexmap::IndexMap;
use std::sync::Arc;

/// Weight of the newest time to a first event in its moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Time in which what is known of the queues of a pool loses half of its weight, as a multiple of the
/// mean time between two first events. A pool that got no requests since it was busy is tried again.
/// With a fixed time, entries with a request in some seconds would take a slow pool for idle each
/// time.
const HALF_LIFE_INTERVALS: f64 = 4.0;

/// Shortest such time: some passes and the waits of the requests that are sent meanwhile.
const MIN_HALF_LIFE_MS: f64 = 1_000.0;

/// Longest such time, and the one that holds until the time between first events is known.
const MAX_HALF_LIFE_MS: f64 = 15_000.0;

/// Time to the first event without a queue, in passes: half a pass until the next one begins, and
/// that pass.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;

/// Duration of a pass of a pool none of whose passes were seen.
const DEFAULT_PASS_MS: f64 = 65.0;

/// Factor up to which expected times count as equal. Passes and the sampling of waits vary by as
/// much between pools with the same load.
const NEAR_EQUAL: f64 = 1.2;

/// Exponent by which the part of a slower pool decreases. A pool in which the first event takes
/// twice as long gets about a fifth.
const SLOWNESS_EXPONENT: f64 = 3.0;

/// Smallest fraction of free slots by which a pool is weighed, so that an empty pool gets at most
/// three times the part of a full one of the same speed.
const MIN_FREE_SHARE: f64 = 1.0 / 3.0;

/// Largest part of an entry's requests that one pool gets while others have room, as a multiple of
/// its part of the slots.
const MAX_SHARES: f64 = 3.0;

/// Time for which a pool gets few requests after one of its streams has not begun for long. Any event
/// ends it. Long enough that callers' attempts at a group that never answers are rare, and short
/// enough that an entry with few requests, which sees few events, does not leave a pool unused.
const SILENT_MS: u64 = 5_000;

/// Factor by which the part of such a pool decreases.
const SILENT_FACTOR: f64 = 0.05;

/// Part of the requests that probe a pool that rejects requests while another one has room for them.
const PROBE_SHARE: f64 = 0.05;

/// What an entry knows of a pool that a request may choose.
#[derive(Clone, Debug)]
pub struct PoolView {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Whether its group is available.
    pub is_available: bool,
    /// Whether there is room for the request now.
    pub has_room: bool,
    /// Slots of its servers that get new work.
    pub slots: u32,
    /// Number of its servers that take requests.
    pub servers: usize,
    /// This entry's even share of the slots.
    pub even_share: f64,
    /// This entry's open requests there.
    pub open_requests: u32,
    /// The streams among them that have got no event.
    pub not_begun: u32,
    /// Mean duration of a pass, if any were seen lately.
    pub pass_ms: Option<f64>,
}

/// Times to the first event in each pool, from which the next request's time is estimated.
#[derive(Clone, Debug, Default)]
pub struct PoolChoice {
    times: IndexMap<Arc<str>, FirstEventTime>,
}

#[derive(Clone, Copy, Debug)]
struct FirstEventTime {
    mean_ms: f64,
    /// Moving average of the time between two updates.
    interval_ms: f64,
    updated_at: BootMs,
    /// Until when the pool gets few requests, since a stream did not begin there.
    silent_until: BootMs,
}

impl PoolChoice {
    /// Records that a stream got its first event `took_ms` after it was sent.
    pub fn note_first_event(&mut self, pool: &Arc<str>, took_ms: u64, now: BootMs) {
        self.note_time(pool, took_ms, now).silent_until = BootMs(0);
    }

    /// Records a further event of a stream.
    pub fn note_event(&mut self, pool: &str) {
        if let Some(time) = self.times.get_mut(pool) {
            time.silent_until = BootMs(0);
        }
    }

    /// Records that a stream had no event `waited_ms` after it was sent, which was long.
    pub fn note_silent(&mut self, pool: &Arc<str>, waited_ms: u64, now: BootMs) {
        self.note_time(pool, waited_ms, now).silent_until = now.after(SILENT_MS);
    }

    fn note_time(&mut self, pool: &Arc<str>, took_ms: u64, now: BootMs) -> &mut FirstEventTime {
        let took_ms = took_ms as f64;
        let fresh = FirstEventTime {
            mean_ms: took_ms,
            interval_ms: MAX_HALF_LIFE_MS / HALF_LIFE_INTERVALS,
            updated_at: now,
            silent_until: BootMs(0),
        };
        let time = self.times.entry(Arc::clone(pool)).or_insert(fresh);
        time.mean_ms += (took_ms - time.mean_ms) * NEWEST_WEIGHT;
        let interval_ms = now.since(time.updated_at) as f64;
        time.interval_ms += (interval_ms - time.interval_ms) * NEWEST_WEIGHT;
        time.updated_at = now;
        time
    }

    /// Forgets the pools for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.times.retain(|pool, _| is_kept(pool));
    }

    /// Returns the expected time to the first event of a request that is sent to a pool now.
    #[must_use]
    pub fn expected_ms(&self, pool: &PoolView, now: BootMs) -> f64 {
        let pass_ms = pool.pass_ms.unwrap_or(DEFAULT_PASS_MS).max(1.0);
        let shortest_ms = pass_ms * PASSES_TO_FIRST_EVENT;
        let queue_ms = self.times.get(&pool.name).map_or(0.0, |time| {
            let half_life_ms = time.interval_ms * HALF_LIFE_INTERVALS;
            let half_life_ms = half_life_ms.clamp(MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS);
            let halvings = now.since(time.updated_at) as f64 / half_life_ms;
            (time.mean_ms - shortest_ms).max(0.0) * 0.5_f64.powf(halvings)
        });
        // Of the queues that others fill only the measured times tell.
        let own_ms = f64::from(pool.not_begun) / pool.servers.max(1) as f64 * pass_ms;
        shortest_ms + queue_ms + own_ms
    }

    /// Chooses one of `pools`, or nothing if none is available. `draw` is a random number from 0 up
    /// to 1.
    ///
    /// If none has room, a request that waits for `current` goes on doing so while that pool is
    /// available: a request that changed its place in each turn would be counted in two queues.
    #[must_use]
    pub fn choose(
        &self,
        pools: &[PoolView],
        current: &str,
        now: BootMs,
        draw: f64,
    ) -> Option<usize> {
        let available = |index: &usize| pools[*index].is_available;
        let with_room = |index: &usize| pools[*index].is_available && pools[*index].has_room;
        let mut candidates: Vec<usize> = (0..pools.len()).filter(with_room).collect();
        if candidates.is_empty() {
            candidates = (0..pools.len()).filter(available).collect();
            let waits_for = candidates.iter().find(|index| *pools[**index].name == *current);
            if let Some(index) = waits_for {
                return Some(*index);
            }
        }
        let parts = self.parts(&candidates.iter().map(|it| &pools[*it]).collect::<Vec<_>>(), now);
        let mut left = draw;
        for (index, part) in candidates.iter().zip(&parts) {
            if left < *part {
                return Some(*index);
            }
            left -= part;
        }
        candidates.last().copied()
    }

    /// Returns the part of the requests that each pool gets.
    fn parts(&self, pools: &[&PoolView], now: BootMs) -> Vec<f64> {
        let expected: Vec<f64> = pools.iter().map(|pool| self.expected_ms(pool, now)).collect();
        let least_ms = expected.iter().copied().fold(f64::INFINITY, f64::min);
        let weight = |(pool, expected_ms): (&&PoolView, &f64)| {
            let slowness = (least_ms * NEAR_EQUAL / expected_ms).min(1.0);
            let is_silent = self.times.get(&pool.name).is_some_and(|it| it.silent_until > now);
            let silent_factor = if is_silent { SILENT_FACTOR } else { 1.0 };
            slots(pool) * free_share(pool) * slowness.powf(SLOWNESS_EXPONENT) * silent_factor
        };
        let weights: Vec<f64> = pools.iter().zip(&expected).map(weight).collect();
        let total_weight: f64 = weights.iter().sum();
        let total_slots: f64 = pools.iter().map(|pool| slots(pool)).sum();
        let limits: Vec<f64> =
            pools.iter().map(|pool| slots(pool) / total_slots * MAX_SHARES).collect();
        let parts: Vec<f64> = weights.iter().map(|weight| weight / total_weight).collect();
        let bounded: Vec<f64> = parts.iter().zip(&limits).map(|(it, max)| it.min(*max)).collect();
        // What the bounded pools do not get goes to the others in proportion to their room.
        let excess = 1.0 - bounded.iter().sum::<f64>();
        let rooms: Vec<f64> = bounded.iter().zip(&limits).map(|(it, max)| max - it).collect();
        let total_room: f64 = rooms.iter().sum();
        if excess <= 0.0 || total_room <= 0.0 {
            return bounded;
        }
        bounded.iter().zip(&rooms).map(|(it, room)| it + excess * room / total_room).collect()
    }
}

/// Returns whether a request probes a pool that rejects requests although another pool has room for
/// it. `draw` is a random number from 0 up to 1.
///
/// A probe that is rejected has to be sent again, for which the retry budget is small. Without
/// probes, a pool that is back would stay unused as long as the others have room.
#[must_use]
pub fn probes_beside_others(draw: f64) -> bool {
    draw < PROBE_SHARE
}

/// Returns the slots of a pool; at least one, so that a pool of unknown size counts.
fn slots(pool: &PoolView) -> f64 {
    f64::from(pool.slots.max(1))
}

/// Returns the fraction of this entry's even share that is free. One request is added on both sides,
/// as the share may be less than one.
fn free_share(pool: &PoolView) -> f64 {
    let free = pool.even_share - f64::from(pool.open_requests) + 1.0;
    (free / (pool.even_share + 1.0)).clamp(MIN_FREE_SHARE, 1.0)
}
