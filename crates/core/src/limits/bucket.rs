//! Token bucket whose rate changes while it runs.

use crate::time::{Now, UnixMs};

/// Latest moment, counted from now, that a refusal names for coming back: the share may have
/// changed long before.
const MAX_RETURN_MS: f64 = 60_000.0;

/// Tokens of one team at one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    updated: UnixMs,
}

/// What fills a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Flow {
    /// Tokens a second.
    pub(super) per_s: f64,
    /// Tokens that it holds at most.
    pub(super) capacity: f64,
}

impl Bucket {
    /// A full bucket.
    pub(super) const fn full(now: Now, flow: Flow) -> Self {
        Self { tokens: flow.capacity, updated: now.unix_ms }
    }

    /// Brings the bucket up to now. Call it before the flow changes, so that time that has passed
    /// is filled at the flow that was in force.
    pub(super) fn fill(&mut self, now: Now, flow: Flow) {
        let passed_ms = now.unix_ms.since(self.updated) as f64;
        let filled = self.tokens + flow.per_s * passed_ms / 1000.0;
        self.tokens = filled.min(flow.capacity);
        self.updated = now.unix_ms;
    }

    /// Takes one token, or says when there will be one.
    pub(super) fn take(&mut self, now: Now, flow: Flow) -> Result<(), UnixMs> {
        self.fill(now, flow);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.tokens) * 1000.0 / flow.per_s;
        Err(now.after(missing_ms.min(MAX_RETURN_MS).ceil() as u64))
    }
}
