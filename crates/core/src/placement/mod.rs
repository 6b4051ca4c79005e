//! Placement of a model group's experts on its ranks.
//!
//! An [`ExpertMap`] says which rank holds which experts of each layer. This module decides when
//! that map should change and how the weights that a change needs are loaded:
//!
//! - A [`SpanBuilder`] and a [`LoadCollector`] combine the loads that each engine measures into
//!   [`LoadReport`]s of the whole group.
//! - A [`LoadEstimator`] smooths these reports, which arrive late, into per-expert loads.
//! - A [`RebalancePolicy`] compares the present map with maps that differ in a few experts and
//!   returns a [`ProposedChange`] when the predicted gain exceeds the cost.
//! - [`rebalance_map`] finds a more even map under fixed limits, without a cost model.
//! - A [`WeightLoader`] in each agent loads the weights that a change needs in the background, at
//!   the agent's share of the weight store's rate.
//!
//! The agreement between the ranks on when to adopt a new map is not part of this module.

mod backoff;
mod change;
mod collect;
mod cooldown;
mod cost;
mod estimate;
mod evaluation;
mod expert_map;
mod map_delta;
mod noise;
mod pack;
mod periodic_policy;
mod policy;
mod rebalance;
mod report;
mod search;
mod server_load_budget;
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
