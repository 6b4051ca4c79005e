//! The moments that a program hands to its core.

use hickorycross_core::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that never goes back.
///
/// It is anchored to the wall clock once, at start, and then follows the monotonic clock. Were the
/// wall clock followed, an operator or a time service that sets it back an hour would let expired
/// work begin, and one that sets it forward would expire everything at once; [`wall_offset_ms`]
/// shows such a step instead.
///
/// [`wall_offset_ms`]: SteadyClock::wall_offset_ms
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    anchor: Instant,
    anchor_unix_ms: u64,
}

impl SteadyClock {
    /// Anchors a clock to the present wall clock.
    #[must_use]
    pub fn start() -> Self {
        Self { anchor: Instant::now(), anchor_unix_ms: wall_unix_ms() }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Now {
        let elapsed_ms = u64::try_from(self.anchor.elapsed().as_millis()).unwrap_or(u64::MAX);
        Now::at(self.anchor_unix_ms.saturating_add(elapsed_ms))
    }

    /// How far the wall clock is ahead of this clock; negative when it is behind.
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
