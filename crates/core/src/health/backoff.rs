//! Backoff between the probes of an open circuit.

use crate::time::{Now, UnixMs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Delay before the first probe, and the upper bound of the delays between later ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeDelays {
    initial_ms: u64,
    max_ms: u64,
}

/// Delays after failed attempts, when only a probe can show that the fault is over.
pub(super) const AFTER_FAILURES: ProbeDelays = ProbeDelays { initial_ms: 500, max_ms: 3000 };

/// Delays after missed heartbeats and acknowledgements. Heartbeats and new links show the recovery
/// earlier and delay no caller's request. Each lost probe costs a retry, and frequent probes would
/// exhaust the retry budget while a failure domain is unreachable.
pub(super) const AFTER_SILENCE: ProbeDelays = ProbeDelays { initial_ms: 1000, max_ms: 5000 };

/// Limit of the exponent; the delay has reached its upper bound by then.
const MAX_DOUBLINGS: u32 = 8;

/// Exponential backoff with jitter.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    rng: ChaCha8Rng,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff that starts with the shortest delay.
    pub(super) fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), failures: 0 }
    }

    /// Returns the time of the next probe; the delay doubles with each call up to its bound.
    ///
    /// The jitter is ±25 percent. Entries detect a fault at the same time, and without jitter they
    /// would probe at the same time too.
    pub(super) fn next(&mut self, now: Now, delays: ProbeDelays) -> UnixMs {
        let delay_ms = (delays.initial_ms << self.failures.min(MAX_DOUBLINGS)).min(delays.max_ms);
        self.failures += 1;
        let quarter_ms = delay_ms / 4;
        now.after(delay_ms - quarter_ms + self.rng.random_range(0..=2 * quarter_ms))
    }

    /// Returns to the shortest delay, after a completed ramp.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
