//! Baseline: a fixed number of tries for each request.

use super::policy::{RetryBudget, RetryDecision};
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, RouteId};

/// Time between a failed try and the next one.
const PAUSE_MS: u64 = 20;

/// Allows each request the same number of tries, whatever share of all requests fails.
///
/// Under a fault that hits every request this multiplies the load; it is the baseline against
/// which a budget for each route is measured.
#[derive(Clone, Copy, Debug)]
pub struct FixedBudget {
    most_tries: u16,
    pauses: bool,
}

impl FixedBudget {
    /// Allows `most_tries` tries of each request, the first one included.
    #[must_use]
    pub const fn new(most_tries: u16) -> Self {
        Self { most_tries, pauses: true }
    }

    /// Allows this many tries of a request, one right after the other.
    #[must_use]
    pub const fn without_pause(most_tries: u16) -> Self {
        Self { most_tries, pauses: false }
    }
}

impl Default for FixedBudget {
    fn default() -> Self {
        Self::new(3)
    }
}

impl RetryBudget for FixedBudget {
    fn adopt(&mut self, _document: &Document) {}

    fn record_first_try(&mut self, _now: Now, _route: &RouteId) {}

    fn decide(
        &mut self,
        now: Now,
        _route: &RouteId,
        tries: u16,
        deadline: UnixMs,
    ) -> RetryDecision {
        let at = if self.pauses { now.after(PAUSE_MS) } else { now.unix_ms };
        if tries >= self.most_tries || at >= deadline {
            return RetryDecision::GiveUp;
        }
        RetryDecision::RetryAt(at)
    }
}
