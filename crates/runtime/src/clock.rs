//! The clock that provides the time for a program's core.

use hickorycross_core::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that never goes backwards.
///
/// It reads the wall clock once, at start, and then advances with the monotonic clock. If it
/// followed the wall clock, a step back by an operator or a time service would let expired work
/// start, and a step forward would make all deadlines expire at once. [`wall_offset_ms`] reports
/// such a step instead.
///
/// [`wall_offset_ms`]: SteadyClock::wall_offset_ms
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    anchor: Instant,
    anchor_unix_ms: u64,
}

impl SteadyClock {
    /// Starts a clock at the current time of the wall clock.
    #[must_use]
    pub fn start() -> Self {
        Self { anchor: Instant::now(), anchor_unix_ms: wall_unix_ms() }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Now {
        let elapsed_ms = u64::try_from(self.anchor.elapsed().as_millis()).unwrap_or(u64::MAX);
        Now::at(self.anchor_unix_ms.saturating_add(elapsed_ms))
    }

    /// Returns the milliseconds by which the wall clock is ahead of this clock; negative if behind.
    #[must_use]
    pub fn wall_offset_ms(&self) -> i64 {
        let wall = i64::try_from(wall_unix_ms()).unwrap_or(i64::MAX);
        let steady = i64::try_from(self.now().unix_ms.0).unwrap_or(i64::MAX);
        wall.saturating_sub(steady)
    }
}

fn wall_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|since_epoch| u64::try_from(since_epoch.as_millis()).ok())
        .unwrap_or(0)
}
