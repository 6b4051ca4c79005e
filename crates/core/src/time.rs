//! Moments, as the programs hand them to the core.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A moment in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// A moment that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// The moment `span_ms` later; stops at [`UnixMs::NEVER`].
    #[must_use]
    pub const fn after(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Milliseconds from `earlier` until this moment; zero when it lies before.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether a deadline at this moment has passed at `now`.
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

/// The moment at which an event is handled.
///
/// The programs derive it from a monotonic clock anchored to the wall clock at start, so that it
/// never goes back and a step of the wall clock does not move it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// The moment; never lower than in an earlier event of the same process.
    pub unix_ms: UnixMs,
}

impl Now {
    /// Makes a moment from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn at(unix_ms: u64) -> Self {
        Self { unix_ms: UnixMs(unix_ms) }
    }

    /// The moment `span_ms` later, as a deadline.
    #[must_use]
    pub const fn after(self, span_ms: u64) -> UnixMs {
        self.unix_ms.after(span_ms)
    }
}
