//! Which part of the starts at backend servers higher tiers leave to a tier.

use crate::time::{Now, UnixMs};
use indexmap::IndexMap;

/// After this time a request counts for half.
const HALF_LIFE_MS: f64 = 1500.0;

/// Least share of the starts that is taken to be left to a tier, in thousandths.
const LEAST_FREE_PERMILLE: f64 = 30.0;

/// Starts within the half-life from which the mix is believed in full; below, in proportion.
///
/// A handful of requests says little of the mix: an entry with few callers that sends a short burst
/// of a high tier would refuse all others beside backend servers with little to do. Entries with
/// work for a saturated group see hundreds of starts in the half-life.
const CONFIDENT_STARTS: f64 = 24.0;

/// Counts of one tier, decaying.
#[derive(Clone, Copy, Debug, Default)]
struct TierRow {
    sent: f64,
    begun: f64,
}

/// Requests of this entry that were sent and that have begun lately, by rank.
///
/// A request that waits is overtaken by higher tiers that arrive after it, so its wait depends on
/// the part of the starts that they leave. What has begun for this entry shows how many starts
/// there are for it, without knowledge of the other entries; what it has sent of higher tiers
/// shows how many of them are taken, also right after a surge. Without this, low tiers are
/// accepted for a wait that never ends, and expire in the queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Mix {
    tiers: IndexMap<u8, TierRow>,
    updated: UnixMs,
}

impl Mix {
    /// Counts a request that was sent.
    pub(super) fn sent(&mut self, now: Now, rank: u8) {
        self.row(now, rank).sent += 1.0;
    }

    /// Counts a request that has begun.
    pub(super) fn began(&mut self, now: Now, rank: u8) {
        self.row(now, rank).begun += 1.0;
    }

    /// Share of the starts that higher tiers leave to `rank`, in thousandths.
    pub(super) fn free_permille(&self, rank: u8) -> f64 {
        let starts: f64 = self.tiers.values().map(|tier| tier.begun).sum();
        if starts <= 0.0 {
            return 1000.0;
        }
        let higher = self.tiers.iter().filter(|&(&other, _)| other < rank);
        let taken: f64 = higher.map(|(_, tier)| tier.sent.max(tier.begun)).sum();
        let confidence = (starts / CONFIDENT_STARTS).min(1.0);
        (1000.0 * (1.0 - confidence * taken / starts)).max(LEAST_FREE_PERMILLE)
    }

    fn row(&mut self, now: Now, rank: u8) -> &mut TierRow {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        let kept = (-age_ms / HALF_LIFE_MS).exp2();
        for tier in self.tiers.values_mut() {
            tier.sent *= kept;
            tier.begun *= kept;
        }
        self.updated = now.unix_ms;
        self.tiers.entry(rank).or_default()
    }
}
