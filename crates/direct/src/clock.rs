//! The clocks of a process.

use hickorycross_core::direct::BootMs;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the instance booted, including time in suspend. It never steps back.
#[must_use]
pub fn boot_now() -> BootMs {
    BootMs(milliseconds(ClockId::Boottime))
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// The wall clock may step and differ between instances. Use it only for log lines and for numbers
/// that should increase across restarts of a process.
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
