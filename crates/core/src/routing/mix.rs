//! How the work that backend servers begin for an entry is made up of tiers.

use crate::time::{Now, UnixMs};
use indexmap::IndexMap;

/// After this time a request counts for half.
const HALF_LIFE_MS: f64 = 3000.0;

/// Least share of the starts that is taken to be left to a tier, in thousandths.
const LEAST_FREE_PERMILLE: f64 = 30.0;

/// Requests of this entry that have begun lately, by rank.
///
/// A request that waits is overtaken by higher tiers that arrive after it, so its wait depends on
/// the part of the starts that they leave. The tiers of what has begun for this entry show that
/// part without knowledge of the other entries. Without this, low tiers are accepted for a wait
/// that never ends, and expire in the queue.
///
/// Sent requests would not do: under strain many of them are refused, and the lower the tier the
/// more of them, so that higher tiers would seem to leave more than they do.
#[derive(Clone, Debug, Default)]
pub(super) struct Mix {
    begun: IndexMap<u8, f64>,
    updated: UnixMs,
}

impl Mix {
    /// Counts a request that has begun.
    pub(super) fn began(&mut self, now: Now, rank: u8) {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        let kept = (-age_ms / HALF_LIFE_MS).exp2();
        for count in self.begun.values_mut() {
            *count *= kept;
        }
        self.updated = now.unix_ms;
        *self.begun.entry(rank).or_insert(0.0) += 1.0;
    }

    /// Share of the starts that higher tiers leave to `rank`, in thousandths.
    pub(super) fn free_permille(&self, rank: u8) -> f64 {
        let all: f64 = self.begun.values().sum();
        if all <= 0.0 {
            return 1000.0;
        }
        let higher: f64 =
            self.begun.iter().filter(|&(&other, _)| other < rank).map(|(_, count)| count).sum();
        (1000.0 * (1.0 - higher / all)).max(LEAST_FREE_PERMILLE)
    }
}
