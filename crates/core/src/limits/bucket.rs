//! A token bucket whose refill rate and capacity may change at any time.

use crate::time::{Now, UnixMs};

/// Longest delay that a refusal names for a retry: the entry's share of the limit is likely to
/// change before then.
const MAX_RETRY_MS: f64 = 60_000.0;

/// The token bucket of one team at one entry; each admitted request costs one token.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    updated: UnixMs,
}

/// Refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BucketParams {
    /// Tokens added per second.
    pub(super) per_s: f64,
    /// Most tokens that the bucket holds.
    pub(super) capacity: f64,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) const fn full(now: Now, params: BucketParams) -> Self {
        Self { tokens: params.capacity, updated: now.unix_ms }
    }

    /// Adds the tokens earned since the last update.
    ///
    /// Call this before the parameters change, so that the elapsed time is credited at the rate
    /// that applied during it.
    pub(super) fn fill(&mut self, now: Now, params: BucketParams) {
        let elapsed_ms = now.unix_ms.since(self.updated) as f64;
        let filled = self.tokens + params.per_s * elapsed_ms / 1000.0;
        self.tokens = filled.min(params.capacity);
        self.updated = now.unix_ms;
    }

    /// Takes one token, or returns the time at which one will be available.
    pub(super) fn take(&mut self, now: Now, params: BucketParams) -> Result<(), UnixMs> {
        self.fill(now, params);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.tokens) * 1000.0 / params.per_s;
        Err(now.after(missing_ms.min(MAX_RETRY_MS).ceil() as u64))
    }
}
