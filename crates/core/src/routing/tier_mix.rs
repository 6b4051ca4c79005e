//! Estimate of the backend capacity that higher tiers leave to a tier.
//!
//! Capacity is counted in starts, the requests that backend servers begin to execute.

use crate::time::{Now, UnixMs};
use indexmap::IndexMap;

/// Half-life of the weight of a counted request.
const HALF_LIFE_MS: f64 = 1500.0;

/// Lower bound of the estimated share of starts left to a tier, in thousandths.
const MIN_FREE_PERMILLE: f64 = 30.0;

/// Weighted count of starts above which the measured mix applies in full; with fewer starts it
/// applies in proportion.
///
/// A handful of requests says little about the mix: an entry with few callers that sends a short
/// burst of a high tier would refuse all other tiers although backend servers have room. Entries
/// that send to a saturated group see hundreds of starts within the half-life.
const CONFIDENT_STARTS: f64 = 24.0;

/// Exponentially decaying counts of one tier.
#[derive(Clone, Copy, Debug, Default)]
struct TierRow {
    sent: f64,
    started: f64,
}

/// Recent requests of this entry that were sent and that have started, by tier rank.
///
/// Higher tiers that arrive later overtake a queued request, so its wait depends on the share of
/// starts that they leave. The started requests of this entry show how many starts it gets, without
/// knowledge of other entries. The requests of higher tiers that it has sent show how many of these
/// starts are taken, even right after a surge. Without this estimate, low tiers are accepted for a
/// wait that never ends, and expire in the queue.
#[derive(Clone, Debug, Default)]
pub(super) struct TierMix {
    tiers: IndexMap<u8, TierRow>,
    updated: UnixMs,
}

impl TierMix {
    /// Counts a request that was sent.
    pub(super) fn record_sent(&mut self, now: Now, rank: u8) {
        self.row(now, rank).sent += 1.0;
    }

    /// Counts a request that has started.
    pub(super) fn record_start(&mut self, now: Now, rank: u8) {
        self.row(now, rank).started += 1.0;
    }

    /// Returns the share of starts that higher tiers leave to `rank`, in thousandths.
    pub(super) fn free_permille(&self, rank: u8) -> f64 {
        let starts: f64 = self.tiers.values().map(|tier| tier.started).sum();
        if starts <= 0.0 {
            return 1000.0;
        }
        let higher = self.tiers.iter().filter(|&(&other, _)| other < rank);
        let taken: f64 = higher.map(|(_, tier)| tier.sent.max(tier.started)).sum();
        let confidence = (starts / CONFIDENT_STARTS).min(1.0);
        (1000.0 * (1.0 - confidence * taken / starts)).max(MIN_FREE_PERMILLE)
    }

    /// Decays all counts up to now and returns those of a rank.
    fn row(&mut self, now: Now, rank: u8) -> &mut TierRow {
        let age_ms = now.unix_ms.since(self.updated) as f64;
        let retained = (-age_ms / HALF_LIFE_MS).exp2();
        for tier in self.tiers.values_mut() {
            tier.sent *= retained;
            tier.started *= retained;
        }
        self.updated = now.unix_ms;
        self.tiers.entry(rank).or_default()
    }
}
