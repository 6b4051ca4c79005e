//! Safety factors on projected waits, adjusted by how many accepted requests expire.

use indexmap::IndexMap;

/// Initial and lowest factor on projected waits.
const INITIAL_FACTOR: f64 = 1.75;

/// Highest factor on projected waits.
const MAX_FACTOR: f64 = 8.0;

/// Amount that one expired request adds to the factor.
const RAISE: f64 = 0.25;

/// Expired requests, in thousandths of started ones, at which the factor stays constant.
const TARGET_PERMILLE: f64 = 3.0;

/// Safety factors on projected waits, by tier rank.
///
/// A projection cannot account for how a queue orders the teams of a tier, what higher tiers will
/// send next, or how stale the load reports are. A request accepted on a projection that is too low
/// expires in a queue, after its caller has waited until the deadline. Each expired request raises
/// the factor and each started one lowers it a little, so that it settles where few expire.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitMargins {
    factors: IndexMap<u8, f64>,
}

impl WaitMargins {
    /// Returns the factor for a rank.
    pub(super) fn factor(&self, rank: u8) -> f64 {
        self.factors.get(&rank).copied().unwrap_or(INITIAL_FACTOR)
    }

    /// Records a request that started, which lowers the factor.
    pub(super) fn record_start(&mut self, rank: u8) {
        self.add(rank, -RAISE * TARGET_PERMILLE / 1000.0);
    }

    /// Records a request that expired in a queue, which raises the factor.
    pub(super) fn record_expiry(&mut self, rank: u8) {
        self.add(rank, RAISE);
    }

    fn add(&mut self, rank: u8, change: f64) {
        let factor = self.factors.entry(rank).or_insert(INITIAL_FACTOR);
        *factor = (*factor + change).clamp(INITIAL_FACTOR, MAX_FACTOR);
    }
}
