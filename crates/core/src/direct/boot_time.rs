//! A monotonic clock that keeps counting while the instance is suspended.

use serde::{Deserialize, Serialize};

/// A moment in milliseconds since the instance booted, suspended time included.
///
/// An ordinary monotonic clock stops while an instance is suspended. After it resumes, a process
/// would take outdated state for fresh, and would for example serve requests with a key that was
/// revoked during the suspension.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootMs(pub u64);

impl BootMs {
    /// Returns the moment `span_ms` later.
    #[must_use]
    pub const fn after(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// Returns the moment `span_ms` earlier, but not before boot.
    #[must_use]
    pub const fn before(self, span_ms: u64) -> Self {
        Self(self.0.saturating_sub(span_ms))
    }

    /// Returns the milliseconds from `earlier` until this moment; zero if this moment is before
    /// `earlier`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
