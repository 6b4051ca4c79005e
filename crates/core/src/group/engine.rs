//! The interface to the agent's engine: orders to it, states and step reports from it.
//!
//! The driver, which sends the orders to the engine, must follow these rules:
//!
//! - It sends one order at a time, waits for its answer or failure and reports that to the core
//!   before it sends the next. The answer to an inspection thus covers all earlier orders of this
//!   process.
//! - It sends orders only while it holds the loopback port that excludes a second agent on the same
//!   instance.
//! - It never retries an order. The core repeats what is still needed at each heartbeat.
//! - It may defer a `Stage` by reporting it as deferred and failed. When the driver reports it as
//!   due, the core issues a new order under the fencing token of that time.
//!
//! An engine must make each step together with all ranks of the group, on the map granted for that
//! step, and only if the grants of all ranks have the same epoch. The next step is the one after
//! the last that any rank has completed, or the first that all ranks are granted, whichever is
//! later. If engines ignore epochs, the member list may change only after every agent has adopted
//! the previous one, and an engine that joins or rejoins a group must start without grants.

use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use crate::Fencing;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Sequence number of an order, unique within one incarnation of the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// Order to the engine. All orders are idempotent and are answered with the [`EngineState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Report the state. An engine that checks fencing refuses lower fencing tokens from then on.
    Inspect,
    /// Load the weights that a map assigns to the local ranks, in the background and beside the map
    /// in use. Replaces a load that has not finished.
    Stage {
        /// Complete content of the map.
        map: Arc<ExpertMap>,
    },
    /// Unload a map that no grant refers to.
    Discard {
        /// The map.
        map: MapRef,
    },
    /// Replace all held grants by these.
    Grant {
        /// At most two grants, lowest step first. An empty list stops the engine after the current
        /// step.
        grants: Vec<StepGrant>,
    },
    /// Report the complete content of a loaded map.
    ReadMap {
        /// The map.
        map: MapRef,
    },
}

/// State of an engine, as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Last step that all local ranks have completed; 0 in a new engine.
    pub completed_step: u64,
    /// Held grants. Exhausted ones are included until they are replaced.
    pub grants: Vec<StepGrant>,
    /// Loaded maps.
    pub resident: Vec<MapRef>,
    /// Map that is being loaded, if any.
    pub staging: Option<MapRef>,
}

/// Report of one step by one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// Index of the rank within the group.
    pub rank: u16,
    /// Step that the rank completed.
    pub step: u64,
    /// Map that the rank used.
    pub map: MapRef,
}

/// An order with its identifier and fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOrder {
    /// Identifier of the order, by which the driver reports the result.
    pub id: OrderId,
    /// Fencing token of the term that the order belongs to.
    pub fencing: Fencing,
    /// The order.
    pub order: EngineOrder,
}
