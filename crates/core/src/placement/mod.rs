//! When to rebalance experts, and which to move.
//!
//! Step reports arrive late and feed a [`LoadEstimator`]. A [`RebalancePolicy`] compares the
//! present [`ExpertMap`] with maps that a few loads would give and proposes a [`Change`] when that
//! pays. The [`WeightLoader`] of each agent turns the change into paced background loads. Whether and
//! when the ranks adopt the new map is the business of the group agreement, not of this module.

mod backoff;
mod change;
mod collect;
mod cooldown;
mod cost;
mod estimate;
mod layer;
mod level;
mod map_change;
mod noise;
mod pack;
mod periodic;
mod policy;
mod realised;
mod report;
mod search;
mod server_loads;
mod shape;
mod skew;
mod static_map;
mod threshold;
mod weight_loader;
mod weighted;

pub use collect::{LoadCollector, RankLoad, SPAN_STEPS, SpanBuilder};
pub use cost::{CostModel, HORIZON_MS, STALL_STEPS_PER_CHANGE};
pub use estimate::LoadEstimator;
pub use layer::{ExpertMap, LayerPlacement, MapFault, WeightLoad};
pub use level::{LevelSettings, bottleneck_load, level_map};
pub use map_change::MapChange;
pub use pack::{pack_layer, pack_map, refine_layer};
pub use periodic::PeriodicFull;
pub use policy::{Change, ChangeOutcome, Prediction, RebalancePolicy};
pub use report::{LoadReport, ReportFault};
pub use shape::{GroupShape, ShapeFault};
pub use skew::layer_skew;
pub use static_map::StaticMap;
pub use threshold::PlainThreshold;
pub use weight_loader::{
    AbandonCause, WeightLoadAction, WeightLoadEvent, WeightLoadKey, WeightLoader,
    WeightLoaderSettings, WeightLoaderState,
};
pub use weighted::{ServerLoadCap, Weighted, WeightedSettings};
