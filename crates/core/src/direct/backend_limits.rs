//! Request rates that overloaded backend servers announce as their limit over all entries together.

use super::{BootMs, IncarnationDigest};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a report is kept. Each answer of the backend server renews it.
const KEPT_MS: u64 = 600_000;

/// Most reports kept, which is more overloaded backend servers than a fleet could do without.
const MAX_REPORTS: usize = 256;

/// Largest change of a limit that is not reported to other entries at once, as a divisor of the
/// limit.
const SMALL_CHANGE_DIVISOR: u64 = 20;

/// A limit that a backend server announced, as exchanged between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The backend server.
    pub incarnation: IncarnationDigest,
    /// Limit over all entries together, in thousandths of a request per second; none if the backend
    /// server announced no limit.
    pub millirequests_per_s: Option<u64>,
    /// Age of the announcement in milliseconds.
    pub age_ms: u64,
}

/// The newest announcement of each backend server that has announced a limit.
#[derive(Clone, Debug, Default)]
pub struct BackendLimits {
    reports: IndexMap<IncarnationDigest, Announcement>,
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    millirequests_per_s: Option<u64>,
    at: BootMs,
}

impl BackendLimits {
    /// Records a report. Returns whether the change is large enough to report it to other entries.
    ///
    /// A report without a limit counts as a change only if the backend server had announced one.
    pub fn note(&mut self, report: LimitReport, now: BootMs) -> bool {
        let LimitReport { incarnation, millirequests_per_s, age_ms } = report;
        let announcement = Announcement { millirequests_per_s, at: now.before(age_ms) };
        match self.reports.get_mut(&incarnation) {
            Some(known) if known.at > announcement.at => false,
            Some(known) => {
                let is_change = !is_nearly_equal(known.millirequests_per_s, millirequests_per_s);
                // Keeps the last reported limit, so that small changes do not add up unreported.
                let kept = if is_change { millirequests_per_s } else { known.millirequests_per_s };
                *known = Announcement { millirequests_per_s: kept, at: announcement.at };
                is_change
            }
            None if millirequests_per_s.is_some() && age_ms < KEPT_MS => {
                self.make_room();
                self.reports.insert(incarnation, announcement);
                true
            }
            None => false,
        }
    }

    /// Returns the limit of a backend server over all entries together, in thousandths of a request
    /// per second, or nothing if it has none.
    #[must_use]
    pub fn millirequests_per_s(&self, incarnation: IncarnationDigest) -> Option<u64> {
        self.reports.get(&incarnation)?.millirequests_per_s
    }

    /// Returns the newest report of a backend server that has announced a limit at some time.
    #[must_use]
    pub fn report(&self, incarnation: IncarnationDigest, now: BootMs) -> Option<LimitReport> {
        self.reports.get(&incarnation).map(|announcement| announcement.report(incarnation, now))
    }

    /// Returns whether no backend server is limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.values().all(|announcement| announcement.millirequests_per_s.is_none())
    }

    /// Returns all reports, for an entry that may lack some of them.
    #[must_use]
    pub fn reports(&self, now: BootMs) -> Vec<LimitReport> {
        self.reports
            .iter()
            .map(|(incarnation, announcement)| announcement.report(*incarnation, now))
            .collect()
    }

    /// Returns a checksum over the limited backend servers, which is equal at entries that know the
    /// same ones. The limits themselves are not part of it.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        let limited = self
            .reports
            .iter()
            .filter(|(_, announcement)| announcement.millirequests_per_s.is_some());
        limited.fold(0, |sum, (incarnation, _)| sum ^ xxh3_64(&incarnation.0.to_le_bytes()))
    }

    /// Drops reports that are older than their retention time.
    pub fn expire(&mut self, now: BootMs) {
        self.reports.retain(|_, announcement| now.since(announcement.at) < KEPT_MS);
    }

    fn make_room(&mut self) {
        if self.reports.len() < MAX_REPORTS {
            return;
        }
        let oldest = self.reports.iter().min_by_key(|(_, announcement)| announcement.at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.reports.swap_remove(&oldest);
        }
    }
}

impl Announcement {
    const fn report(self, incarnation: IncarnationDigest, now: BootMs) -> LimitReport {
        let Self { millirequests_per_s, at } = self;
        LimitReport { incarnation, millirequests_per_s, age_ms: now.since(at) }
    }
}

/// Returns whether two limits differ at most by a small change.
fn is_nearly_equal(one: Option<u64>, other: Option<u64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.abs_diff(other) <= one / SMALL_CHANGE_DIVISOR,
        (one, other) => one == other,
    }
}
