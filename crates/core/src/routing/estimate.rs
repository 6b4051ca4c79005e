//! What an entry has learnt of each backend server from its own attempts.

use crate::time::{Now, UnixMs};
use hickorycross_config::BackendServerId;
use indexmap::IndexMap;

/// After this time without a sample, half of what sets a backend server apart is forgotten, so
/// that one which has recovered is tried again.
const MEMORY_HALF_LIFE_MS: f64 = 3000.0;

/// Weight of a sample that is slower than the estimate: trouble is believed fast.
const SLOWER_WEIGHT: f64 = 0.5;

/// Weight of a sample that is faster than the estimate.
const FASTER_WEIGHT: f64 = 0.2;

/// Weight of a sample in the time that is typical of all backend servers.
const TYPICAL_WEIGHT: f64 = 0.03;

/// Weight of a sample above the unhindered time.
const UNHINDERED_RAISE: f64 = 0.005;

/// Weight of a sample below the unhindered time.
const UNHINDERED_LOWER: f64 = 0.05;

/// Below this a difference between backend servers is taken for noise: it would outweigh their
/// load in each comparison.
const NOTABLE_SLOWNESS: f64 = 2.0;

/// Most that one backend server is taken to be slower than the others.
const MOST_SLOWNESS: f64 = 20.0;

/// Weight of one attempt in the share of failed ones.
const FAILURE_WEIGHT: f64 = 0.3;

/// Estimates for one backend server.
#[derive(Clone, Copy, Debug)]
struct Row {
    first_chunk_ms: f64,
    failed_share: f64,
    updated: UnixMs,
}

/// Estimates for all backend servers that this entry has used.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    rows: IndexMap<BackendServerId, Row>,
    typical_ms: Option<f64>,
    unhindered_ms: Option<f64>,
}

impl Estimates {
    /// Learns the time to the first chunk of an attempt.
    pub(super) fn answered(&mut self, now: Now, id: &BackendServerId, first_chunk_ms: u64) {
        let sample_ms = first_chunk_ms as f64;
        let typical_ms = self.typical_ms.unwrap_or(sample_ms);
        self.typical_ms = Some(typical_ms + TYPICAL_WEIGHT * (sample_ms - typical_ms));
        self.learn_unhindered(sample_ms);
        let row = self.faded(now, id, typical_ms);
        let slower = sample_ms > row.first_chunk_ms;
        let weight = if slower { SLOWER_WEIGHT } else { FASTER_WEIGHT };
        row.first_chunk_ms += weight * (sample_ms - row.first_chunk_ms);
        row.failed_share *= 1.0 - FAILURE_WEIGHT;
    }

    /// Learns that an attempt failed.
    pub(super) fn failed(&mut self, now: Now, id: &BackendServerId) {
        let typical_ms = self.typical_ms();
        let row = self.faded(now, id, typical_ms);
        row.failed_share += FAILURE_WEIGHT * (1.0 - row.failed_share);
    }

    /// Expected time to the first chunk of a request that does not wait.
    ///
    /// Measured times include waits, and waits differ by tier more than backend servers do. So only
    /// the ratio between backend servers, which see the same tiers, is taken from them.
    pub(super) fn first_chunk_ms(&self, now: Now, id: &BackendServerId) -> f64 {
        self.unhindered_ms.unwrap_or(1.0) * self.slowness(now, id)
    }

    /// Time to the first chunk as a multiple of what is usual over all backend servers.
    pub(super) fn slowness(&self, now: Now, id: &BackendServerId) -> f64 {
        let Some(row) = self.rows.get(id) else {
            return 1.0;
        };
        let ratio = row.first_chunk_ms / self.typical_ms();
        let remembered = 1.0 + (ratio - 1.0) * memory(now, row);
        if remembered < NOTABLE_SLOWNESS { 1.0 } else { remembered.min(MOST_SLOWNESS) }
    }

    /// Share of attempts that failed lately, from 0 to 1.
    pub(super) fn failed_share(&self, now: Now, id: &BackendServerId) -> f64 {
        self.rows.get(id).map_or(0.0, |row| row.failed_share * memory(now, row))
    }

    /// Follows a low quantile of all samples: those that did not wait.
    fn learn_unhindered(&mut self, sample_ms: f64) {
        let before_ms = self.unhindered_ms.unwrap_or(sample_ms);
        let lower = sample_ms < before_ms;
        let weight = if lower { UNHINDERED_LOWER } else { UNHINDERED_RAISE };
        self.unhindered_ms = Some(before_ms + weight * (sample_ms - before_ms));
    }

    fn typical_ms(&self) -> f64 {
        self.typical_ms.unwrap_or(1.0).max(1.0)
    }

    fn faded(&mut self, now: Now, id: &BackendServerId, typical_ms: f64) -> &mut Row {
        let fresh = Row { first_chunk_ms: typical_ms, failed_share: 0.0, updated: now.unix_ms };
        let row = self.rows.entry(id.clone()).or_insert(fresh);
        let kept = memory(now, row);
        row.first_chunk_ms = typical_ms + (row.first_chunk_ms - typical_ms) * kept;
        row.failed_share *= kept;
        row.updated = now.unix_ms;
        row
    }
}

fn memory(now: Now, row: &Row) -> f64 {
    let age_ms = now.unix_ms.since(row.updated) as f64;
    (-age_ms / MEMORY_HALF_LIFE_MS).exp2()
}
