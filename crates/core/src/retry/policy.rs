//! What an entry asks a retry policy, and what it answers.

use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, RouteId};

/// Whether a request may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may, from this moment on; the try has been counted.
    RetryAt(UnixMs),
    /// It may not: give the final answer at once.
    GiveUp,
}

/// Retry budgets by route at one entry.
pub trait RetryBudget: Send {
    /// Follows another document.
    fn adopt(&mut self, document: &Document);

    /// Counts a first try.
    fn record_first_try(&mut self, now: Now, route: &RouteId);

    /// Judges another try: `tries` have been made, the work must begin before `deadline`.
    fn decide(&mut self, now: Now, route: &RouteId, tries: u16, deadline: UnixMs) -> RetryDecision;
}
