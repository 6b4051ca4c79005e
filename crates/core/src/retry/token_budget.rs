//! The retry budgets in use: tokens by route.

use super::policy::{RetryBudget, RetryDecision};
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, RouteId};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens with which a route begins and up to which time alone refills it: a route with little
/// traffic would never earn a whole token.
const FLOOR_TOKENS: f64 = 5.0;

/// Time in which time alone earns one token, while below the floor.
const FLOOR_TOKEN_MS: f64 = 10_000.0;

/// Most tokens that first tries can earn ahead of need.
const MOST_TOKENS: f64 = 20.0;

/// Most tries of one request, the first one included.
const MOST_TRIES: u16 = 4;

/// Mean pause before the second try; doubles with each further one.
const FIRST_PAUSE_MS: u64 = 10;

/// Longest mean pause.
const LONGEST_PAUSE_MS: u64 = 200;

/// Tokens of one route.
#[derive(Clone, Copy, Debug)]
struct RouteRow {
    earned_per_try: f64,
    tokens: f64,
    updated: UnixMs,
}

/// Budgets by route: each first try earns a part of a further one.
///
/// When a fault hits every request, tries without such a budget multiply the load at the very
/// moment at which capacity is short; one would see load at the backend servers rise with their
/// failures.
#[derive(Clone, Debug)]
pub struct TokenBudget {
    routes: IndexMap<RouteId, RouteRow>,
    rng: ChaCha8Rng,
}

impl TokenBudget {
    /// Begins without routes; the seed sets the jitter of pauses.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { routes: IndexMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Exponential pause with jitter of one half either way.
    fn pause_ms(&mut self, tries: u16) -> u64 {
        let doublings = u32::from(tries.saturating_sub(1)).min(8);
        let mean_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
        mean_ms / 2 + self.rng.random_range(0..=mean_ms)
    }
}

impl RouteRow {
    /// A route whose budget is zero has no floor either: its operators want no further tries.
    fn new(earned_per_try: f64) -> Self {
        let tokens = if earned_per_try > 0.0 { FLOOR_TOKENS } else { 0.0 };
        Self { earned_per_try, tokens, updated: UnixMs(0) }
    }

    /// Time earns tokens only below the floor.
    fn refill(&mut self, now: Now) {
        let passed_ms = now.unix_ms.since(self.updated) as f64;
        self.updated = now.unix_ms;
        if self.earned_per_try > 0.0 && self.tokens < FLOOR_TOKENS {
            self.tokens = (self.tokens + passed_ms / FLOOR_TOKEN_MS).min(FLOOR_TOKENS);
        }
    }
}

impl RetryBudget for TokenBudget {
    fn adopt(&mut self, document: &Document) {
        let before = std::mem::take(&mut self.routes);
        for route in &document.routes {
            let earned_per_try = f64::from(route.retry_budget_permille) / 1000.0;
            let kept = before.get(&route.id).map(|row| RouteRow { earned_per_try, ..*row });
            let row = kept.unwrap_or_else(|| RouteRow::new(earned_per_try));
            self.routes.insert(route.id.clone(), row);
        }
    }

    fn record_first_try(&mut self, now: Now, route: &RouteId) {
        let Some(row) = self.routes.get_mut(route) else {
            return;
        };
        row.refill(now);
        row.tokens = (row.tokens + row.earned_per_try).min(MOST_TOKENS);
    }

    fn decide(&mut self, now: Now, route: &RouteId, tries: u16, deadline: UnixMs) -> RetryDecision {
        let at = now.after(self.pause_ms(tries));
        let Some(row) = self.routes.get_mut(route) else {
            return RetryDecision::GiveUp;
        };
        row.refill(now);
        if tries >= MOST_TRIES || at >= deadline || row.tokens < 1.0 {
            return RetryDecision::GiveUp;
        }
        row.tokens -= 1.0;
        RetryDecision::RetryAt(at)
    }
}
