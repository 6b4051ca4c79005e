//! Records of the steps that a group has made.

use hickorycross_core::group::MapRef;

/// One step, as made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Its number, from 1.
    pub step: u64,
    /// Time that it took: in every layer all ranks wait for the slowest.
    pub step_us: u64,
    /// What each rank did, by rank.
    pub ranks: Vec<RankStep>,
}

/// What one rank did in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankStep {
    /// The rank.
    pub rank: u16,
    /// The map that it used, by the digest of what the engine holds.
    pub map: MapRef,
    /// Time that it worked, without waiting for others.
    pub rank_us: u64,
}

impl Step {
    /// Whether all ranks used one and the same map.
    #[must_use]
    pub fn is_uniform(&self) -> bool {
        self.ranks.windows(2).all(|pair| pair[0].map == pair[1].map)
    }

    /// Time by which the slowest rank exceeds the fastest.
    #[must_use]
    pub fn skew_us(&self) -> u64 {
        let times = self.ranks.iter().map(|rank| rank.rank_us);
        times.clone().max().unwrap_or(0) - times.min().unwrap_or(0)
    }
}
