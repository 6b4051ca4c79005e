//! The cost model for changes of map: gains and costs in a common unit, steps.

use crate::placement::shape::GroupShape;
use hickorycross_config::Balance;

/// Time over which the gain of a change is counted.
pub const GAIN_HORIZON_MS: u64 = 600_000;
/// Number of steps that a group loses when it changes its map.
pub const STALL_STEPS_PER_CHANGE: u32 = 2;
/// Factor by which a gain must exceed its cost.
///
/// With a factor of 1, a change with a marginal gain would be made and its reverse soon after, so
/// that the same experts are loaded back and forth.
const HYSTERESIS: f64 = 1.25;
const MS_PER_S: f64 = 1e3;

/// Converts the gains and costs of changes in one group into steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// The configured weights of skew and rebalance cost, and the weight store's rate.
    pub balance: Balance,
    /// Bytes of one expert's weights in one layer.
    pub expert_bytes: u64,
    /// Number of layers of the group, over which skew is averaged.
    pub layers: u16,
}

impl CostModel {
    /// Creates the cost model of a group of the given shape.
    #[must_use]
    pub fn new(balance: Balance, shape: &GroupShape) -> Self {
        Self { balance, expert_bytes: shape.expert_bytes, layers: shape.layers }
    }

    /// Returns the weighted gain of reducing one layer's skew by `skew` over [`GAIN_HORIZON_MS`],
    /// in steps.
    pub(crate) fn gain_steps(&self, skew: f64, steps_per_s: f64) -> f64 {
        let horizon_steps = GAIN_HORIZON_MS as f64 / MS_PER_S * steps_per_s;
        self.balance.skew_weight * skew / f64::from(self.layers) * horizon_steps
    }

    /// Returns the weighted cost of loading one expert, in steps: the number of steps that pass
    /// while the load occupies the weight store.
    pub(crate) fn weight_load_steps(&self, steps_per_s: f64) -> f64 {
        let rate = self.balance.weight_store_bytes_per_s.max(1) as f64;
        let busy_steps = self.expert_bytes as f64 / rate * steps_per_s;
        HYSTERESIS * self.balance.rebalance_cost_weight * busy_steps
    }

    /// Returns the weighted cost of the stall that every change causes, in steps.
    pub(crate) fn stall_steps(&self) -> f64 {
        HYSTERESIS * self.balance.rebalance_cost_weight * f64::from(STALL_STEPS_PER_CHANGE)
    }
}
