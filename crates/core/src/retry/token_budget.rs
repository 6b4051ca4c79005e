//! The production policy: a token bucket of retries for each route.

use super::policy::{RetryBudget, RetryDecision};
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, RouteId};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens that a route starts with, and up to which the bucket refills by elapsed time alone. A
/// route with little traffic would otherwise never earn a whole token.
const FLOOR_TOKENS: f64 = 5.0;

/// Time in which a bucket below the floor earns one token.
const MS_PER_FLOOR_TOKEN: f64 = 10_000.0;

/// Capacity of a bucket.
const MAX_TOKENS: f64 = 20.0;

/// Most tries of one request, the first one included.
const MAX_TRIES: u16 = 4;

/// Mean pause before the second try; it doubles with each further try.
const BASE_PAUSE_MS: u64 = 10;

/// Longest mean pause.
const MAX_PAUSE_MS: u64 = 200;

/// The token bucket of one route.
#[derive(Clone, Copy, Debug)]
struct RouteRow {
    earned_per_try: f64,
    tokens: f64,
    updated: UnixMs,
}

/// A retry budget per route: each first try earns a fraction of a token, and each retry costs one.
///
/// Without the budget, a fault that affects every request multiplies the load on the backend
/// servers at the moment at which their capacity is short.
#[derive(Clone, Debug)]
pub struct TokenBudget {
    routes: IndexMap<RouteId, RouteRow>,
    rng: ChaCha8Rng,
}

impl TokenBudget {
    /// Creates a budget without routes; the seed determines the jitter of pauses.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { routes: IndexMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the pause before the next try: exponential backoff with a jitter of ±50 percent.
    fn pause_ms(&mut self, tries: u16) -> u64 {
        let doublings = u32::from(tries.saturating_sub(1)).min(8);
        let mean_ms = (BASE_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        mean_ms / 2 + self.rng.random_range(0..=mean_ms)
    }
}

impl RouteRow {
    /// Creates a bucket; without a budget there is no floor either, as the route allows no retries.
    fn new(earned_per_try: f64) -> Self {
        let tokens = if earned_per_try > 0.0 { FLOOR_TOKENS } else { 0.0 };
        Self { earned_per_try, tokens, updated: UnixMs(0) }
    }

    /// Adds the tokens earned by elapsed time, which count only below the floor.
    fn refill(&mut self, now: Now) {
        let elapsed_ms = now.unix_ms.since(self.updated) as f64;
        self.updated = now.unix_ms;
        if self.earned_per_try > 0.0 && self.tokens < FLOOR_TOKENS {
            self.tokens = (self.tokens + elapsed_ms / MS_PER_FLOOR_TOKEN).min(FLOOR_TOKENS);
        }
    }
}

impl RetryBudget for TokenBudget {
    fn adopt(&mut self, document: &Document) {
        let before = std::mem::take(&mut self.routes);
        for route in &document.routes {
            let earned_per_try = f64::from(route.retry_budget_permille) / 1000.0;
            let retained = before.get(&route.id).map(|row| RouteRow { earned_per_try, ..*row });
            let row = retained.unwrap_or_else(|| RouteRow::new(earned_per_try));
            self.routes.insert(route.id.clone(), row);
        }
    }

    fn record_first_try(&mut self, now: Now, route: &RouteId) {
        let Some(row) = self.routes.get_mut(route) else {
            return;
        };
        row.refill(now);
        row.tokens = (row.tokens + row.earned_per_try).min(MAX_TOKENS);
    }

    fn decide(&mut self, now: Now, route: &RouteId, tries: u16, deadline: UnixMs) -> RetryDecision {
        let at = now.after(self.pause_ms(tries));
        let Some(row) = self.routes.get_mut(route) else {
            return RetryDecision::GiveUp;
        };
        row.refill(now);
        if tries >= MAX_TRIES || at >= deadline || row.tokens < 1.0 {
            return RetryDecision::GiveUp;
        }
        row.tokens -= 1.0;
        RetryDecision::RetryAt(at)
    }
}
