//! How long a circuit stays open before a probe.

use crate::time::{Now, UnixMs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Times before the first and between later probes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spans {
    first_ms: u64,
    longest_ms: u64,
}

/// After failures: the probe is the only way to learn of the end of them.
pub(super) const AFTER_FAILURES: Spans = Spans { first_ms: 500, longest_ms: 3000 };

/// After silence: heartbeats and fresh links tell of the end of it earlier and cost no caller's
/// time. Each probe that is lost costs a retry; more of them would use up the retry budget while a
/// failure domain is gone.
pub(super) const AFTER_SILENCE: Spans = Spans { first_ms: 1000, longest_ms: 5000 };

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
    pub(super) fn next(&mut self, now: Now, spans: Spans) -> UnixMs {
        let span_ms = (spans.first_ms << self.failures.min(MOST_DOUBLINGS)).min(spans.longest_ms);
        self.failures += 1;
        let quarter_ms = span_ms / 4;
        now.after(span_ms - quarter_ms + self.rng.random_range(0..=2 * quarter_ms))
    }

    /// Begins anew, after a ramp that went well.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
