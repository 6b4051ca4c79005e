//! Answers and failures of the last seconds.

use crate::time::{Now, UnixMs};

/// After this time a count weighs half.
const HALF_LIFE_MS: f64 = 3000.0;

/// Failures below which the ratio says nothing.
const LEAST_FAILURES: f64 = 2.5;

/// Decaying counts of answers and failures.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    answers: f64,
    failures: f64,
    consecutive_failures: u32,
    updated: UnixMs,
}

impl Counts {
    /// Counts an answer.
    pub(super) fn answered(&mut self, now: Now) {
        self.decay(now);
        self.answers += 1.0;
        self.consecutive_failures = 0;
    }

    /// Counts a failure.
    pub(super) fn failed(&mut self, now: Now) {
        self.decay(now);
        self.failures += 1.0;
        self.consecutive_failures += 1;
    }

    /// Failures without an answer between them.
    pub(super) const fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Share of failures, zero while there are too few to judge.
    pub(super) fn failed_share(&self, now: Now) -> f64 {
        let kept = self.kept(now);
        if self.failures * kept < LEAST_FAILURES {
            return 0.0;
        }
        self.failures / (self.answers + self.failures)
    }

    fn decay(&mut self, now: Now) {
        let kept = self.kept(now);
        self.answers *= kept;
        self.failures *= kept;
        self.updated = now.unix_ms;
    }

    fn kept(&self, now: Now) -> f64 {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        (-age_ms / HALF_LIFE_MS).exp2()
    }
}
