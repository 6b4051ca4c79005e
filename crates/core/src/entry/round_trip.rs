//! Smoothed round trip time to an agent, and the acknowledgement timeout derived from it.

use crate::entry::constants::{ACK_MAX_MS, ACK_MIN_MS, ACK_ROUND_TRIPS, INITIAL_ROUND_TRIP_MS};
use crate::time::{Now, UnixMs};

/// Right shift that gives a new sample a weight of one eighth in the mean.
const MEAN_SHIFT: u32 = 3;

/// Right shift that gives a new sample a weight of one quarter in the deviation.
const DEVIATION_SHIFT: u32 = 2;

/// Number of deviations added to the mean.
const DEVIATION_FACTOR: u64 = 4;

/// Maximum number of doublings of the timeout after consecutive silent links.
const BACK_OFF_DOUBLINGS_MAX: u32 = 4;

/// Round trip estimate of one agent, shared by all links to it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundTrip {
    measured: Option<Smoothed>,
    suspicions: u32,
}

/// Smoothed mean and deviation, in microseconds so that smoothing does not round away small values.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_us: u64,
    deviation_us: u64,
}

impl RoundTrip {
    /// Adds a sample: an acknowledgement that arrived now for a message sent at `sent`.
    pub(super) fn observe(&mut self, now: Now, sent: UnixMs) {
        let sample_us = now.unix_ms.since(sent).saturating_mul(1_000);
        self.suspicions = 0;
        let Some(smoothed) = &mut self.measured else {
            self.measured = Some(Smoothed { mean_us: sample_us, deviation_us: sample_us / 2 });
            return;
        };
        let error_us = smoothed.mean_us.abs_diff(sample_us);
        let kept_us = smoothed.deviation_us - (smoothed.deviation_us >> DEVIATION_SHIFT);
        smoothed.deviation_us = kept_us + (error_us >> DEVIATION_SHIFT);
        let kept_us = smoothed.mean_us - (smoothed.mean_us >> MEAN_SHIFT);
        smoothed.mean_us = kept_us + (sample_us >> MEAN_SHIFT);
    }

    /// Doubles the next timeout, so that a path that became slow is not taken for silent again and
    /// again.
    pub(super) fn back_off(&mut self) {
        self.suspicions = (self.suspicions + 1).min(BACK_OFF_DOUBLINGS_MAX);
    }

    /// Returns the time at which the acknowledgement of a message sent now is overdue.
    pub(super) fn ack_due(&self, now: Now) -> UnixMs {
        let estimate_ms = self.measured.map_or(INITIAL_ROUND_TRIP_MS, |smoothed| {
            (smoothed.mean_us + DEVIATION_FACTOR * smoothed.deviation_us).div_ceil(1_000)
        });
        let wait_ms = (ACK_ROUND_TRIPS * estimate_ms).max(ACK_MIN_MS) << self.suspicions;
        now.after(wait_ms.min(ACK_MAX_MS))
    }

    /// Returns the smoothed round trip in milliseconds, or `None` before the first sample.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        self.measured.map(|smoothed| smoothed.mean_us as f64 / 1_000.0)
    }
}
