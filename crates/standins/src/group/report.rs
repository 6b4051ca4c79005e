//! What an engine says of its ranks.

use hickorycross_core::group::{MapRef, StepReport};
use serde::{Deserialize, Serialize};

/// Body of `GET /v1/ranks`, all of this moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanksReport {
    /// First rank that the engine hosts.
    pub first_rank: u16,
    /// Ranks that it hosts.
    pub rank_count: u16,
    /// The latest step of each rank; empty before the first.
    pub steps: Vec<StepReport>,
    /// Maps that are loaded.
    pub resident: Vec<MapRef>,
    /// The map whose load failed last.
    pub stage_failed: Option<MapRef>,
}
