//! Orders that a leader sends to ranks, and their outcomes.

use crate::placement::{ExpertMap, MapDelta};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An order of a leader to one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// Epoch of the group for which the order is valid.
    pub epoch: u64,
    /// Fencing number of the leader. A rank that has seen a higher one refuses the order.
    pub fence: u64,
    /// The operation.
    pub kind: OrderKind,
}

/// The operation of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Copies the experts that are new in a map and keeps the map ready to switch to.
    Prepare {
        /// Version of the map; higher than that of any earlier map.
        version: u64,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// Like `Prepare`, for an agent that has received the map `base` before.
    PrepareChange {
        /// Version of the map; higher than that of any earlier map.
        version: u64,
        /// Version of the map to which the change applies.
        base: u64,
        /// Difference between the base and the new map.
        change: Arc<MapDelta>,
    },
    /// Prepares the map that the rank uses already, which supersedes any map prepared earlier.
    Void {
        /// Version under which the present map is prepared; higher than that of any earlier map.
        version: u64,
        /// Number of experts in a layer.
        experts_per_layer: u16,
    },
    /// Switches to a prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// Number of the pass.
        step: u64,
    },
    /// Cancels a pending switch. The rank also records the fencing number when no switch is
    /// pending.
    Disarm {
        /// Version of the abandoned map.
        version: u64,
    },
    /// Holds a pass a few passes after the running one. The next status of the rank tells which
    /// one.
    HoldAhead {
        /// Distance from the running pass, in passes.
        steps: u8,
    },
    /// Holds a pass: the rank does not begin it until it is told to go.
    Hold {
        /// Number of the pass.
        step: u64,
    },
    /// Records the fencing number, so that the rank refuses older ones. Refused if the rank does
    /// not hold the pass.
    ///
    /// The order changes nothing else. Holding the pass once more from another instance would make
    /// that instance the holder, and nobody could release the pass while that instance is frozen.
    Fence {
        /// Number of the held pass.
        step: u64,
    },
    /// Releases a held pass.
    Go {
        /// Number of the pass.
        step: u64,
    },
    /// Records the fencing number, so that the rank refuses older orders to arm. Refused if the rank
    /// is armed.
    FenceUnarmed,
}

impl OrderKind {
    /// Returns the name of the order in logs.
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
            Self::FenceUnarmed => "fence-unarmed",
        }
    }
}

/// Outcome of an order, as the rank reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The rank is in the state that the order asks for.
    Done,
    /// The rank refused the order.
    Refused,
    /// The rank or its agent has seen a higher fencing number.
    Fenced,
    /// The agent lacks the map to which the change of the order applies.
    LacksMap,
}

/// Outcome of an order with its cost, as the agent that delivered it reports it to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The outcome.
    pub end: OrderOutcome,
    /// How many times the order was sent to the rank.
    pub sends: u32,
}
