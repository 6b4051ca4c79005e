//! How long a circuit stays open before a probe.

use crate::time::{Now, UnixMs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time before the first probe.
const FIRST_MS: u64 = 500;

/// Longest time between probes: recovery waits for this at most.
const LONGEST_MS: u64 = 3000;

/// Most doublings that can matter.
const MOST_DOUBLINGS: u32 = 8;

/// Exponential backoff with jitter.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    rng: ChaCha8Rng,
    failures: u32,
}

impl Backoff {
    /// Begins with the shortest time.
    pub(super) fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), failures: 0 }
    }

    /// The moment of the next probe; each call waits longer than the one before.
    ///
    /// Jitter of a quarter either way: entries see a fault at the same moment, and without jitter
    /// they would probe at the same moment too.
    pub(super) fn next(&mut self, now: Now) -> UnixMs {
        let span_ms = (FIRST_MS << self.failures.min(MOST_DOUBLINGS)).min(LONGEST_MS);
        self.failures += 1;
        let quarter_ms = span_ms / 4;
        now.after(span_ms - quarter_ms + self.rng.random_range(0..=2 * quarter_ms))
    }

    /// Begins anew, after a ramp that went well.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
