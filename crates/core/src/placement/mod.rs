//! When to rebalance experts, and which to move.
//!
//! Step reports arrive late and feed a [`LoadEstimator`]. A [`RebalancePolicy`] compares the
//! present [`ExpertMap`] with maps that a few loads would give and proposes a [`ProposedChange`] when that
//! pays. The [`WeightLoader`] of each agent turns the change into paced background loads. Whether and
//! when the ranks adopt the new map is the business of the group agreement, not of this module.

mod backoff;
mod change;
mod collect;
mod cooldown;
mod cost;
mod estimate;
mod expert_map;
mod map_delta;
mod noise;
mod pack;
mod periodic_policy;
mod policy;
mod realised;
mod rebalance;
mod report;
mod search;
mod server_loads;
mod shape;
mod skew;
mod static_policy;
mod threshold_policy;
mod weight_loader;
mod weighted_policy;

pub use collect::{LoadCollector, RankLoad, SPAN_STEPS, SpanBuilder};
pub use cost::{CostModel, GAIN_HORIZON_MS, STALL_STEPS_PER_CHANGE};
pub use estimate::LoadEstimator;
pub use expert_map::{ExpertMap, LayerPlacement, MapError, WeightLoad};
pub use map_delta::MapDelta;
pub use pack::{pack_layer, pack_map, refine_layer};
pub use periodic_policy::PeriodicPolicy;
pub use policy::{ChangeOutcome, Prediction, ProposedChange, RebalancePolicy};
pub use rebalance::{RebalanceLimits, bottleneck_load, rebalance_map};
pub use report::{LoadReport, ReportError};
pub use shape::{GroupShape, ShapeError};
pub use skew::layer_skew;
pub use static_policy::StaticPolicy;
pub use threshold_policy::ThresholdPolicy;
pub use weight_loader::{
    AbandonCause, WeightLoadAction, WeightLoadEvent, WeightLoadKey, WeightLoader,
    WeightLoaderSettings, WeightLoaderState,
};
pub use weighted_policy::{ServerLoadCap, WeightedPolicy, WeightedPolicySettings};
