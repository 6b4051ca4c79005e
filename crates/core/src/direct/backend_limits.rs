//! Backend servers in need, which name how many requests they take from all entries together.

use super::{BootMs, IncarnationDigest};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a word is kept. Each answer of the backend server renews it.
const KEPT_MS: u64 = 600_000;

/// Words kept at most: more backend servers in need than a fleet could do without.
const MAX_REPORTS: usize = 256;

/// Change of a limit that others need not be told at once, as a divisor of the limit.
const SLIGHT_DIVISOR: u64 = 20;

/// What a backend server said of the requests that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The backend server.
    pub incarnation: IncarnationDigest,
    /// Thousandths of a request a second, from all entries together; nothing when it named no limit.
    pub millirequests_per_s: Option<u64>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
}

/// The newest word of each backend server that has named a limit.
#[derive(Clone, Debug, Default)]
pub struct BackendLimits {
    reports: IndexMap<IncarnationDigest, Announced>,
}

#[derive(Clone, Copy, Debug)]
struct Announced {
    millirequests_per_s: Option<u64>,
    at: BootMs,
}

impl BackendLimits {
    /// Takes note of a word. Returns whether it changes what is believed so much that others are to be told.
    ///
    /// That one takes whatever comes says nothing new unless it had named a limit.
    pub fn note(&mut self, report: LimitReport, now: BootMs) -> bool {
        let LimitReport { incarnation, millirequests_per_s, age_ms } = report;
        let announced = Announced { millirequests_per_s, at: now.before(age_ms) };
        match self.reports.get_mut(&incarnation) {
            Some(known) if known.at > announced.at => false,
            Some(known) => {
                let is_change = !is_about(known.millirequests_per_s, millirequests_per_s);
                // Slight changes must not add up unheard of.
                let kept = if is_change { millirequests_per_s } else { known.millirequests_per_s };
                *known = Announced { millirequests_per_s: kept, at: announced.at };
                is_change
            }
            None if millirequests_per_s.is_some() && age_ms < KEPT_MS => {
                self.make_room();
                self.reports.insert(incarnation, announced);
                true
            }
            None => false,
        }
    }

    /// What a backend server takes from all entries together, in thousandths of a request a second; nothing
    /// if it has named no limit.
    #[must_use]
    pub fn millirequests_per_s(&self, incarnation: IncarnationDigest) -> Option<u64> {
        self.reports.get(&incarnation)?.millirequests_per_s
    }

    /// The newest word of a backend server that has named a limit at some time.
    #[must_use]
    pub fn report(&self, incarnation: IncarnationDigest, now: BootMs) -> Option<LimitReport> {
        self.reports.get(&incarnation).map(|announced| announced.report(incarnation, now))
    }

    /// Whether no backend server is limited.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.values().all(|announced| announced.millirequests_per_s.is_none())
    }

    /// Everything that is known, for an entry that may lack some of it.
    #[must_use]
    pub fn reports(&self, now: BootMs) -> Vec<LimitReport> {
        self.reports
            .iter()
            .map(|(incarnation, announced)| announced.report(*incarnation, now))
            .collect()
    }

    /// A sum over the limits that hold, the same at entries that know the same ones.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        let limited =
            self.reports.iter().filter(|(_, announced)| announced.millirequests_per_s.is_some());
        limited.fold(0, |sum, (incarnation, _)| sum ^ xxh3_64(&incarnation.0.to_le_bytes()))
    }

    /// Forgets words that are too old.
    pub fn expire(&mut self, now: BootMs) {
        self.reports.retain(|_, announced| now.since(announced.at) < KEPT_MS);
    }

    fn make_room(&mut self) {
        if self.reports.len() < MAX_REPORTS {
            return;
        }
        let oldest = self.reports.iter().min_by_key(|(_, announced)| announced.at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.reports.swap_remove(&oldest);
        }
    }
}

impl Announced {
    const fn report(self, incarnation: IncarnationDigest, now: BootMs) -> LimitReport {
        let Self { millirequests_per_s, at } = self;
        LimitReport { incarnation, millirequests_per_s, age_ms: now.since(at) }
    }
}

/// Whether two limits are the same but for a slight difference.
fn is_about(one: Option<u64>, other: Option<u64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.abs_diff(other) <= one / SLIGHT_DIVISOR,
        (one, other) => one == other,
    }
}
