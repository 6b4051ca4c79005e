//! Arrival rate of one team at one entry.

use crate::time::{Now, UnixMs};

/// Time constant of the smoothing. Longer than a few seconds follows a class bell too late; shorter
/// makes shares of small teams jump with every request.
const TIME_CONSTANT_MS: f64 = 4000.0;

/// Exponentially smoothed arrivals a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    per_s: f64,
    updated: UnixMs,
}

impl ArrivalRate {
    /// Counts one arrival.
    pub(super) fn arrived(&mut self, now: Now) {
        self.per_s = self.per_s(now) + 1000.0 / TIME_CONSTANT_MS;
        self.updated = now.unix_ms;
    }

    /// Arrivals a second.
    pub(super) fn per_s(&self, now: Now) -> f64 {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        self.per_s * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
