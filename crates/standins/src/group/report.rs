//! What an engine says of its ranks.

use hickorycross_config::Digest;
use serde::{Deserialize, Serialize};

/// Body of `GET /v1/ranks`. All but `load` is of this moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanksReport {
    /// First rank that the engine hosts.
    pub first_rank: u16,
    /// Ranks that it hosts.
    pub rank_count: u16,
    /// Version of the map used in the latest step; 0 before the first.
    pub map_version: u64,
    /// Digest with which that map was granted.
    pub digest: Digest,
    /// Steps made by the group.
    pub step: u64,
    /// Last step that is permitted; 0 before the first grant.
    pub granted_through: u64,
    /// Grants that have not run out, in order.
    pub grants: Vec<GrantReport>,
    /// Versions of the maps that are loaded and can be granted.
    pub staged: Vec<u64>,
    /// Version of the weights in use.
    pub weights_version: String,
    /// Load of the latest window, published with a lag; none before the first.
    pub load: Option<LoadWindow>,
}

/// One grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// Version of the map.
    pub version: u64,
    /// Digest with which it was granted.
    pub digest: Digest,
    /// Last step that is permitted.
    pub through_step: u64,
}

/// Load of an engine's ranks over a window of steps with one map.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWindow {
    /// First step of the window.
    pub reports_from_step: u64,
    /// Last step of the window.
    pub reports_to_step: u64,
    /// Version of the map that was used.
    pub map_version: u64,
    /// Tokens that the engine's ranks processed, by layer, then expert; 0 for experts not held.
    pub tokens_of_expert: Vec<Vec<u64>>,
    /// Mean time of a step by rank of the engine, before waiting for the others.
    pub rank_us: Vec<u64>,
}
