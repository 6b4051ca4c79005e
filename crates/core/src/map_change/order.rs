//! Orders to ranks.

use crate::placement::{ExpertMap, MapChange};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An order to one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// The group's epoch for which the order is meant.
    pub epoch: u64,
    /// A rank that has seen a higher number refuses the order.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What a rank is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Copy what is new in a map, and keep it ready.
    Prepare {
        /// Names the map; higher than all before.
        version: u64,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// The same, for an agent that was told of the map `base` before.
    PrepareChange {
        /// Names the map; higher than all before.
        version: u64,
        /// The map that is changed.
        base: u64,
        /// What the map changes in it.
        change: Arc<MapChange>,
    },
    /// Prepare what the rank holds already, so that no earlier map is prepared any more.
    Void {
        /// Names it; higher than all before.
        version: u64,
        /// Experts of a layer.
        experts_per_layer: u16,
    },
    /// Switch to a prepared map as a pass begins.
    Arm {
        /// The map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Forget whatever is armed. Shows the fence to the rank also when nothing is.
    Disarm {
        /// The map that is abandoned.
        version: u64,
    },
    /// Do not begin a pass soon after the one that runs; which it is shows in the rank's next status.
    HoldAhead {
        /// How many passes after the one that runs.
        steps: u8,
    },
    /// Do not begin a pass before it is let go.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Heed no older fence from now on; refused if the rank does not hold the pass.
    ///
    /// It changes nothing else. A rank that were told to hold its pass once more instead would be held by
    /// its own machine, and nobody could let it go while that is frozen.
    Fence {
        /// The held pass.
        step: u64,
    },
    /// Begin a held pass.
    Go {
        /// The pass.
        step: u64,
    },
}

impl OrderKind {
    /// The word for logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::PrepareChange { .. } => "prepare-change",
            Self::Void { .. } => "void",
            Self::Arm { .. } => "arm",
            Self::Disarm { .. } => "disarm",
            Self::HoldAhead { .. } => "hold-ahead",
            Self::Hold { .. } => "hold",
            Self::Fence { .. } => "fence",
            Self::Go { .. } => "go",
        }
    }
}

/// What became of an order, by the rank's own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It holds.
    Done,
    /// The rank refused it.
    Refused,
    /// The rank has seen a higher fence.
    Fenced,
    /// The agent was not told of the map that the order changes.
    LacksMap,
}

/// The end of an order, as the agent that gave it tells the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// What became of it.
    pub end: OrderOutcome,
    /// How many times it was given.
    pub sends: u32,
}
