//! Points in time, which the programs pass to the core with each event.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the time `span_ms` later, at most [`UnixMs::NEVER`].
    #[must_use]
    pub const fn after(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the milliseconds from `earlier` until this time; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether a deadline at this time has been reached at `now`.
    #[must_use]
    pub const fn is_past(self, now: Now) -> bool {
        self.0 <= now.unix_ms.0
    }
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The time at which an event is handled.
///
/// The programs derive it from a monotonic clock that is anchored to the wall clock at start, so
/// that it never goes back, and adjustments of the wall clock do not affect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// The time; never lower than in an earlier event of the same process.
    pub unix_ms: UnixMs,
}

impl Now {
    /// Creates a time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn at(unix_ms: u64) -> Self {
        Self { unix_ms: UnixMs(unix_ms) }
    }

    /// Returns the time `span_ms` later, as a deadline.
    #[must_use]
    pub const fn after(self, span_ms: u64) -> UnixMs {
        self.unix_ms.after(span_ms)
    }
}
