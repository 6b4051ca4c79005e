//! Decaying counts of recent successes and failures.

use crate::time::{Now, UnixMs};

/// Half-life of the counts.
const HALF_LIFE_MS: f64 = 3000.0;

/// Decayed count of failures below which the share of failures is not significant.
const MIN_FAILURES: f64 = 2.5;

/// Exponentially decaying counts of answered and failed attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptCounts {
    answers: f64,
    failures: f64,
    consecutive_failures: u32,
    updated: UnixMs,
}

impl AttemptCounts {
    /// Counts an answered attempt.
    pub(super) fn answered(&mut self, now: Now) {
        self.decay(now);
        self.answers += 1.0;
        self.consecutive_failures = 0;
    }

    /// Counts a failed attempt.
    pub(super) fn failed(&mut self, now: Now) {
        self.decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
    }

    /// Returns the number of failures since the latest answer.
    pub(super) const fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns the share of failures from 0 to 1; zero while there are too few of them.
    pub(super) fn failed_share(&self, now: Now) -> f64 {
        let retained = self.retained(now);
        if self.failures * retained < MIN_FAILURES {
            return 0.0;
        }
        self.failures / (self.answers + self.failures)
    }

    fn decay(&mut self, now: Now) {
        let retained = self.retained(now);
        self.answers *= retained;
        self.failures *= retained;
        self.updated = now.unix_ms;
    }

    fn retained(&self, now: Now) -> f64 {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        (-age_ms / HALF_LIFE_MS).exp2()
    }
}
