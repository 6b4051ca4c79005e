//! Measurement of the request rate of one team at one entry.

use crate::time::{Now, UnixMs};

/// Time constant of the exponential smoothing. A longer one follows a sudden surge too late; a
/// shorter one makes the shares of small teams jump with every request.
const TIME_CONSTANT_MS: f64 = 4000.0;

/// Squared difference from the mean, in variances of a measured rate, up to which the difference
/// is treated as noise.
const NOISE_VARIANCES: f64 = 4.0;

/// Exponentially smoothed rate of arriving requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRate {
    per_s: f64,
    updated: UnixMs,
}

impl ArrivalRate {
    /// Counts one arrival.
    pub(super) fn record_arrival(&mut self, now: Now) {
        self.per_s = self.per_s(now) + 1000.0 / TIME_CONSTANT_MS;
        self.updated = now.unix_ms;
    }

    /// Returns arrivals per second, shrunk towards `mean_per_s` as far as the difference may be
    /// noise.
    ///
    /// With many entries each one sees few requests, and measured rates differ widely even when
    /// demand is even. Shares that followed them directly would refuse requests of a team below its
    /// limit at the entries that happened to measure a low rate.
    pub(super) fn shrunk_per_s(&self, now: Now, mean_per_s: Option<f64>) -> f64 {
        let measured_per_s = self.per_s(now);
        let Some(mean_per_s) = mean_per_s else {
            return measured_per_s;
        };
        let variance = mean_per_s * 1000.0 / (2.0 * TIME_CONSTANT_MS);
        let difference = measured_per_s - mean_per_s;
        let square = difference * difference;
        let kept = if square > 0.0 { 1.0 - NOISE_VARIANCES * variance / square } else { 0.0 };
        mean_per_s + difference * kept.max(0.0)
    }

    /// Returns the smoothed arrivals per second.
    pub(super) fn per_s(&self, now: Now) -> f64 {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        self.per_s * (-age_ms / TIME_CONSTANT_MS).exp()
    }
}
