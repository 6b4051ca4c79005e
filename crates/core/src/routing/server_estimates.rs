//! Latency and failure estimates for each backend server, from this entry's own attempts.

use crate::time::{Now, UnixMs};
use hickorycross_config::BackendServerId;
use indexmap::IndexMap;

/// Time in which an estimate without new samples decays halfway to the typical value, so that a
/// backend server that has recovered is tried again.
const HALF_LIFE_MS: f64 = 3000.0;

/// Weight of a sample that is slower than the estimate; high, to react quickly to a slowdown.
const SLOWER_WEIGHT: f64 = 0.5;

/// Weight of a sample that is faster than the estimate.
const FASTER_WEIGHT: f64 = 0.2;

/// Weight of a sample in the typical time over all backend servers.
const TYPICAL_WEIGHT: f64 = 0.03;

/// Weight of a sample above the estimate of the time without queueing.
const UNQUEUED_RAISE_WEIGHT: f64 = 0.005;

/// Weight of a sample below the estimate of the time without queueing.
const UNQUEUED_LOWER_WEIGHT: f64 = 0.05;

/// A smaller slowness is treated as noise; otherwise it would outweigh load in each comparison.
const MIN_SLOWNESS: f64 = 2.0;

/// Upper bound of the slowness of a backend server.
const MAX_SLOWNESS: f64 = 20.0;

/// Weight of one attempt in the share of failed attempts.
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
pub(super) struct ServerEstimates {
    rows: IndexMap<BackendServerId, Row>,
    typical_ms: Option<f64>,
    unqueued_ms: Option<f64>,
}

impl ServerEstimates {
    /// Records the time to the first chunk of an attempt, which also counts as a success.
    pub(super) fn record_first_chunk(
        &mut self,
        now: Now,
        id: &BackendServerId,
        first_chunk_ms: u64,
    ) {
        let sample_ms = first_chunk_ms as f64;
        let typical_ms = self.typical_ms.unwrap_or(sample_ms);
        self.typical_ms = Some(typical_ms + TYPICAL_WEIGHT * (sample_ms - typical_ms));
        self.update_unqueued(sample_ms);
        let row = self.decayed_row(now, id, typical_ms);
        let slower = sample_ms > row.first_chunk_ms;
        let weight = if slower { SLOWER_WEIGHT } else { FASTER_WEIGHT };
        row.first_chunk_ms += weight * (sample_ms - row.first_chunk_ms);
        row.failed_share *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, now: Now, id: &BackendServerId) {
        let typical_ms = self.typical_ms();
        let row = self.decayed_row(now, id, typical_ms);
        row.failed_share += FAILURE_WEIGHT * (1.0 - row.failed_share);
    }

    /// Returns the expected time to the first chunk of a request that does not queue.
    ///
    /// Measured times include queueing, which differs more between tiers than between backend
    /// servers. So only the ratio between backend servers, which serve the same mix of tiers, is
    /// derived from them.
    pub(super) fn first_chunk_ms(&self, now: Now, id: &BackendServerId) -> f64 {
        self.unqueued_ms.unwrap_or(1.0) * self.slowness(now, id)
    }

    /// Returns the time to the first chunk as a multiple of the typical time over all backend
    /// servers; 1 for an unknown one.
    pub(super) fn slowness(&self, now: Now, id: &BackendServerId) -> f64 {
        let Some(row) = self.rows.get(id) else {
            return 1.0;
        };
        let ratio = row.first_chunk_ms / self.typical_ms();
        let decayed = 1.0 + (ratio - 1.0) * retained_weight(now, row);
        if decayed < MIN_SLOWNESS { 1.0 } else { decayed.min(MAX_SLOWNESS) }
    }

    /// Returns the share of recent attempts that failed, from 0 to 1.
    pub(super) fn failed_share(&self, now: Now, id: &BackendServerId) -> f64 {
        self.rows.get(id).map_or(0.0, |row| row.failed_share * retained_weight(now, row))
    }

    /// Moves the estimate of the time without queueing, which tracks a low quantile of all samples.
    fn update_unqueued(&mut self, sample_ms: f64) {
        let before_ms = self.unqueued_ms.unwrap_or(sample_ms);
        let lower = sample_ms < before_ms;
        let weight = if lower { UNQUEUED_LOWER_WEIGHT } else { UNQUEUED_RAISE_WEIGHT };
        self.unqueued_ms = Some(before_ms + weight * (sample_ms - before_ms));
    }

    fn typical_ms(&self) -> f64 {
        self.typical_ms.unwrap_or(1.0).max(1.0)
    }

    /// Returns the row of a backend server, decayed up to now; new rows start at the typical time.
    fn decayed_row(&mut self, now: Now, id: &BackendServerId, typical_ms: f64) -> &mut Row {
        let fresh = Row { first_chunk_ms: typical_ms, failed_share: 0.0, updated: now.unix_ms };
        let row = self.rows.entry(id.clone()).or_insert(fresh);
        let retained = retained_weight(now, row);
        row.first_chunk_ms = typical_ms + (row.first_chunk_ms - typical_ms) * retained;
        row.failed_share *= retained;
        row.updated = now.unix_ms;
        row
    }
}

/// Returns the fraction of an estimate that remains after its decay, from 0 to 1.
fn retained_weight(now: Now, row: &Row) -> f64 {
    let age_ms = now.unix_ms.since(row.updated) as f64;
    (-age_ms / HALF_LIFE_MS).exp2()
}
