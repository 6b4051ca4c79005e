//! Baseline policy: a fixed number of tries for each request.

use super::policy::{RetryBudget, RetryDecision};
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, RouteId};

/// Pause between a failed try and the next one.
const PAUSE_MS: u64 = 20;

/// Allows each request the same number of tries, whatever share of all requests fails.
///
/// A fault that affects every request multiplies the load under this policy. It is the baseline
/// against which the budget per route, [`TokenBudget`](super::TokenBudget), is measured.
#[derive(Clone, Copy, Debug)]
pub struct FixedBudget {
    max_tries: u16,
    has_pause: bool,
}

impl FixedBudget {
    /// Allows `max_tries` tries of each request, the first one included, with a pause in between.
    #[must_use]
    pub const fn new(max_tries: u16) -> Self {
        Self { max_tries, has_pause: true }
    }

    /// Allows `max_tries` tries of each request, the first one included, without a pause.
    #[must_use]
    pub const fn without_pause(max_tries: u16) -> Self {
        Self { max_tries, has_pause: false }
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
        let at = if self.has_pause { now.after(PAUSE_MS) } else { now.unix_ms };
        if tries >= self.max_tries || at >= deadline {
            return RetryDecision::GiveUp;
        }
        RetryDecision::RetryAt(at)
    }
}
