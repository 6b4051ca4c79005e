//! What a change costs and what it is worth, in steps.

use crate::placement::shape::GroupShape;
use hickorycross_config::Balance;

/// How far ahead a gain is counted.
pub const GAIN_HORIZON_MS: u64 = 600_000;
/// Steps that a group loses when it changes its map.
pub const STALL_STEPS_PER_CHANGE: u32 = 2;
/// A gain must exceed its cost by this factor.
///
/// At a factor of 1 a gain that just pays is taken, and its reverse just pays a little later. One
/// would notice the same experts loaded to and fro.
const HYSTERESIS: f64 = 1.25;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Prices of one group, in steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// The document's weights and the weight store's rate.
    pub balance: Balance,
    /// Bytes of one expert's weights in one layer.
    pub expert_bytes: u64,
    /// Layers of the group, over which skew is averaged.
    pub layers: u16,
}

impl CostModel {
    /// Prices for a group under a document's weights.
    #[must_use]
    pub fn new(balance: Balance, shape: &GroupShape) -> Self {
        Self { balance, expert_bytes: shape.expert_bytes, layers: shape.layers }
    }

    /// Weighted worth of lowering one layer's skew by `skew` over the horizon, in steps.
    pub(crate) fn gain_steps(&self, skew: f64, steps_per_s: f64) -> f64 {
        let horizon_steps = GAIN_HORIZON_MS as f64 / MS_PER_S * steps_per_s;
        self.balance.skew_weight * skew / f64::from(self.layers) * horizon_steps
    }

    /// Weighted cost of loading one expert: the steps for which it occupies the weight store.
    pub(crate) fn load_steps(&self, steps_per_s: f64) -> f64 {
        let rate = self.balance.weight_store_bytes_per_s.max(1) as f64;
        let busy_steps = self.expert_bytes as f64 / rate * steps_per_s;
        HYSTERESIS * self.balance.rebalance_cost_weight * busy_steps
    }

    /// Weighted cost of the stall that any change brings.
    pub(crate) fn stall_steps(&self) -> f64 {
        HYSTERESIS * self.balance.rebalance_cost_weight * f64::from(STALL_STEPS_PER_CHANGE)
    }
}
