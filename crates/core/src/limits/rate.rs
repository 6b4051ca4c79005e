//! Arrival rate of one team at one entry.

use crate::time::{Now, UnixMs};

/// Time constant of the smoothing. Longer than a few seconds follows a class bell too late; shorter
/// makes shares of small teams jump with every request.
const TIME_CONSTANT_MS: f64 = 4000.0;

/// Squared difference from the mean, in variances of a measured rate, up to which it is taken for
/// chance.
const CHANCE: f64 = 4.0;

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

    /// Arrivals a second, drawn towards `mean_per_s` as far as the difference may be chance.
    ///
    /// Over many entries each sees few requests, and measured rates differ widely though demand is
    /// even. Shares that followed them would refuse a team below its limit at the entries that
    /// happened to measure little.
    pub(super) fn steadied_per_s(&self, now: Now, mean_per_s: Option<f64>) -> f64 {
        let measured_per_s = self.per_s(now);
        let Some(mean_per_s) = mean_per_s else {
            return measured_per_s;
        };
        let variance = mean_per_s * 1000.0 / (2.0 * TIME_CONSTANT_MS);
        let difference = measured_per_s - mean_per_s;
        let square = difference * difference;
        let kept = if square > 0.0 { 1.0 - CHANCE * variance / square } else { 0.0 };
        mean_per_s + difference * kept.max(0.0)
    }

    /// Arrivals a second.
    pub(super) fn per_s(&self, now: Now) -> f64 {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        self.per_s * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
