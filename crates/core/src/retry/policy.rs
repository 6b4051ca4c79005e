//! The interface between an entry and its retry policy.

use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, RouteId};

/// The decision on retrying a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent again from this time on; the retry has been charged to the budget.
    RetryAt(UnixMs),
    /// The request must not be retried; the caller gets the final response at once.
    GiveUp,
}

/// Decides on retries at one entry, by route.
pub trait RetryBudget: Send {
    /// Applies a newly adopted configuration document.
    fn adopt(&mut self, document: &Document);

    /// Counts the first try of a request.
    fn record_first_try(&mut self, now: Now, route: &RouteId);

    /// Decides whether to retry a request after `tries` failed tries; a retry must begin before
    /// `deadline`.
    fn decide(&mut self, now: Now, route: &RouteId, tries: u16, deadline: UnixMs) -> RetryDecision;
}
