//! The clocks of a process.

use hickorycross_core::direct::BootMs;
use rustix::time::{ClockId, clock_gettime};

/// The present moment, suspended time included.
#[must_use]
pub fn boot_now() -> BootMs {
    BootMs(milliseconds(ClockId::Boottime))
}

/// The time of day in milliseconds since the Unix epoch. It may step and differ between machines;
/// nothing may rest on it but numbers that should grow over the lives of processes.
#[must_use]
pub fn wall_ms() -> u64 {
    milliseconds(ClockId::Realtime)
}

fn milliseconds(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let milliseconds = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    seconds * 1000 + milliseconds
}
