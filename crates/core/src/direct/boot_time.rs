//! Moments on a clock that does not stand still while the machine is suspended.

use serde::{Deserialize, Serialize};

/// A moment in milliseconds since the machine started, suspended time included.
///
/// A monotonic clock stands still while a machine is suspended. A process that wakes would then
/// take an old belief for a fresh one; one would notice requests served with a key that was taken
/// away during the pause.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootMs(pub u64);

impl BootMs {
    /// The moment `span_ms` later.
    #[must_use]
    pub const fn after(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// The moment `span_ms` earlier, not before the start of the machine.
    #[must_use]
    pub const fn before(self, span_ms: u64) -> Self {
        Self(self.0.saturating_sub(span_ms))
    }

    /// Milliseconds from `earlier` until this moment; zero when it lies before.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
