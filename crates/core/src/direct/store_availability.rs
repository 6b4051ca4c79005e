//! When the store was last away, as the entries of a fleet know it together.
//!
//! A registration that is missing from the list of backend servers may have lapsed only because the
//! store was away. That an entry could not reach the store does not mean so: it may have been cut off
//! or turned away while the store served the backend servers and the other entries. So entries tell
//! each other when the store has answered, and what any of them knows holds for all.

use super::BootMs;
use serde::{Deserialize, Serialize};

/// Time without an answer of the store after which registrations may have lapsed.
///
/// A registration lapses after three heartbeats of 1.2 s, the last of which may have been sent one
/// heartbeat before the store went away. A call on a dead connection takes a little less.
const OUTAGE_MS: u64 = 2_350;

/// Difference up to which two entries mean the same moment. Each report makes it look earlier by the
/// time that it was under way, and reports go round.
const SAME_MOMENT_MS: u64 = 100;

/// A span of time in which the store was never away for long enough for a registration to lapse, and
/// did not come back from a copy, which lacks the last registrations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    era: u64,
    since: BootMs,
    answered_at: BootMs,
    /// Whether it is known to follow an outage. The first answer that a process knows of does not.
    follows_outage: bool,
}

impl Span {
    /// Returns whether there was no outage between the two.
    const fn touches(self, other: Self) -> bool {
        self.era == other.era
            && self.since.since(other.answered_at) < OUTAGE_MS
            && other.since.since(self.answered_at) < OUTAGE_MS
    }

    /// Returns the span that covers both.
    fn cover(self, other: Self) -> Self {
        let is_earlier = self.since.since(other.since) >= SAME_MOMENT_MS;
        let since = if is_earlier { other.since } else { self.since };
        let follows_outage = match is_earlier {
            true => other.follows_outage,
            false if other.since.since(self.since) >= SAME_MOMENT_MS => self.follows_outage,
            false => self.follows_outage || other.follows_outage,
        };
        let answered_at = self.answered_at.max(other.answered_at);
        Self { since, answered_at, follows_outage, ..self }
    }
}

/// Since when the store has been available, and when it last answered any entry.
///
/// Spans without an outage between them are joined. In whatever order reports arrive, and however
/// often, the result is the same to within the time that they were under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAvailability(Option<Span>);

/// What one entry tells another of the store's availability, as ages in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityReport {
    /// Time since the last outage of the store ended, or since the first known answer.
    pub since_ms: u64,
    /// Time since its last answer.
    pub answered_ms: u64,
    /// How often the store has come back from a copy.
    pub era: u64,
    /// Whether an outage is known to have ended then.
    pub follows_outage: bool,
}

impl StoreAvailability {
    /// Records that the store answered this entry at `at`, after it had come back from a copy `era`
    /// times. Returns whether the end of the last outage is another one than before.
    pub fn note_answer(&mut self, at: BootMs, era: u64) -> bool {
        self.join(Span { era, since: at, answered_at: at, follows_outage: false })
    }

    /// Records what another entry reported as of `as_of`. Returns whether the end of the last outage
    /// is another one than before.
    ///
    /// An `as_of` that is too early makes the store's answers look older than they are, never newer.
    pub fn note_report(&mut self, report: AvailabilityReport, as_of: BootMs) -> bool {
        let answered_at = as_of.before(report.answered_ms);
        let since = as_of.before(report.since_ms).min(answered_at);
        let AvailabilityReport { era, follows_outage, .. } = report;
        self.join(Span { era, since, answered_at, follows_outage })
    }

    /// Returns what to tell another entry, or `None` while no answer of the store is known.
    #[must_use]
    pub fn report(&self, now: BootMs) -> Option<AvailabilityReport> {
        let report = |span: Span| AvailabilityReport {
            since_ms: now.since(span.since),
            answered_ms: now.since(span.answered_at),
            era: span.era,
            follows_outage: span.follows_outage,
        };
        self.0.map(report)
    }

    /// Returns when the last outage of the store ended, if one is known.
    #[must_use]
    pub fn outage_ended_at(&self) -> Option<BootMs> {
        self.0.filter(|span| span.follows_outage).map(|span| span.since)
    }

    /// Returns when the last outage of the store ended, as far as it is known; otherwise the first
    /// known answer.
    #[must_use]
    pub fn since(&self) -> Option<BootMs> {
        self.0.map(|span| span.since)
    }

    fn join(&mut self, other: Span) -> bool {
        let since = self.since();
        self.0 = Some(match self.0 {
            Some(own) if own.touches(other) => own.cover(other),
            Some(own) if (own.era, own.answered_at) > (other.era, other.answered_at) => own,
            earlier => Span { follows_outage: other.follows_outage || earlier.is_some(), ..other },
        });
        self.since() != since
    }
}
