//! How the work that an entry sends is made up of tiers.

use crate::time::{Now, UnixMs};
use indexmap::IndexMap;

/// After this time a request counts for half.
const HALF_LIFE_MS: f64 = 2000.0;

/// Least share of the starts that is taken to be left to a tier, in thousandths.
const LEAST_FREE_PERMILLE: f64 = 50.0;

/// Requests that this entry has sent lately, by rank.
///
/// A request that waits is overtaken by higher tiers that arrive after it. When backend servers
/// are full, what they start is what entries send; so the share of higher tiers in this entry's
/// own sends tells how much of the starts is left, without knowledge of the other entries. Without
/// this, low tiers are accepted for a wait that never ends, and expire in the queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Mix {
    sent: IndexMap<u8, f64>,
    updated: UnixMs,
}

impl Mix {
    /// Counts a request that was sent.
    pub(super) fn sent(&mut self, now: Now, rank: u8) {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        let kept = (-age_ms / HALF_LIFE_MS).exp2();
        for count in self.sent.values_mut() {
            *count *= kept;
        }
        self.updated = now.unix_ms;
        *self.sent.entry(rank).or_insert(0.0) += 1.0;
    }

    /// Share of the starts that higher tiers leave to `rank`, in thousandths.
    pub(super) fn free_permille(&self, rank: u8) -> f64 {
        let all: f64 = self.sent.values().sum();
        if all <= 0.0 {
            return 1000.0;
        }
        let higher: f64 =
            self.sent.iter().filter(|&(&other, _)| other < rank).map(|(_, count)| count).sum();
        (1000.0 * (1.0 - higher / all)).max(LEAST_FREE_PERMILLE)
    }
}
