//! Smoothed round trip to an agent and the wait for an acknowledgement that follows from it.

use crate::entry::constants::{ACK_MAX_MS, ACK_MIN_MS, ACK_ROUND_TRIPS, INITIAL_ROUND_TRIP_MS};
use crate::time::{Now, UnixMs};

/// Weight of a new sample, as a power of two: one eighth.
const SMOOTHED_SHIFT: u32 = 3;

/// Weight of a new deviation, as a power of two: one quarter.
const DEVIATION_SHIFT: u32 = 2;

/// Deviations added to the smoothed round trip.
const DEVIATIONS: u64 = 4;

/// Doublings of the wait after consecutive suspicions at most.
const BACK_OFF_MAX: u32 = 4;

/// Measured round trips to one agent; the links to it share one path.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoundTrip {
    measured: Option<Smoothed>,
    suspicions: u32,
}

/// Smoothed in microseconds, so that a path of two milliseconds is not rounded away.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_us: u64,
    deviation_us: u64,
}

impl RoundTrip {
    /// Learns from an acknowledgement of something sent at `sent`.
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
        let kept_us = smoothed.mean_us - (smoothed.mean_us >> SMOOTHED_SHIFT);
        smoothed.mean_us = kept_us + (sample_us >> SMOOTHED_SHIFT);
    }

    /// Waits longer the next time: a path that became slow must not be taken for silent for ever.
    pub(super) fn back_off(&mut self) {
        self.suspicions = (self.suspicions + 1).min(BACK_OFF_MAX);
    }

    /// When an acknowledgement of something sent now is overdue.
    pub(super) fn ack_due(&self, now: Now) -> UnixMs {
        let one_ms = self.measured.map_or(INITIAL_ROUND_TRIP_MS, |smoothed| {
            (smoothed.mean_us + DEVIATIONS * smoothed.deviation_us).div_ceil(1_000)
        });
        let wait_ms = (ACK_ROUND_TRIPS * one_ms).max(ACK_MIN_MS) << self.suspicions;
        now.after(wait_ms.min(ACK_MAX_MS))
    }

    /// The smoothed round trip in milliseconds, once measured.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        self.measured.map(|smoothed| smoothed.mean_us as f64 / 1_000.0)
    }
}
