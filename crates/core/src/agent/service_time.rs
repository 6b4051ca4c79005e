//! Smoothed time for which one request occupies a slot.

use super::constants::SERVICE_SMOOTHING_DIVISOR;

/// Exponentially weighted moving average of the slot time.
///
/// Kept in microseconds, so that small times are not rounded to zero.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    smoothed_us: Option<u64>,
}

impl ServiceTime {
    /// Adds a measurement: how long a run with a complete response occupied its slot.
    pub(crate) fn observe(&mut self, occupied_ms: u64) {
        let occupied_us = occupied_ms.saturating_mul(1_000);
        self.smoothed_us = Some(match self.smoothed_us {
            None => occupied_us,
            Some(before_us) => {
                let kept_us = before_us - before_us / SERVICE_SMOOTHING_DIVISOR;
                kept_us.saturating_add(occupied_us / SERVICE_SMOOTHING_DIVISOR)
            }
        });
    }

    /// Returns the smoothed time; zero before the first measurement, otherwise at least 1 ms.
    pub(crate) fn smoothed_ms(self) -> u32 {
        let smoothed_ms = self.smoothed_us.map_or(0, |us| us.div_ceil(1_000).max(1));
        u32::try_from(smoothed_ms).unwrap_or(u32::MAX)
    }
}
