//! The border to the engine beside the agent: orders out, states and step reports in.
//!
//! The program that carries orders out must keep three rules. It sends one order at a time and
//! awaits its answer or failure before the next, so that the answer to an inspection covers every
//! earlier order of this process; it reports either to the core. It sends orders only while it holds the loopback port that
//! excludes a second agent on the same instance. It never sends an order twice by itself: the core
//! repeats what still matters at each heartbeat. A `Stage` may be kept back by reporting it held and
//! failed; the core orders it anew, under the fencing token of that moment, when it is reported due.
//!
//! Of the engines it is asked that a step is made by all ranks together, each on the map that it is
//! granted for the step, and only on grants of equal epochs. The next step is the one after the
//! last that any rank has completed, or the first that all ranks are granted, whichever is later.
//! Beside engines that ignore epochs, a member list may change only once every agent has read the
//! one before, and an engine that joins the ranks of a group, or comes back, must start without
//! grants.

use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use crate::Fencing;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Numbers the orders of one agent incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// An order to the engine. Each is idempotent and answered with the engine's [`EngineState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Report the present state. An engine that checks fencing refuses lower tokens from now on.
    Inspect,
    /// Load the weights of a map's local ranks in the background, beside the map in use. It takes
    /// the place of another load that is not finished.
    Stage {
        /// The whole map.
        map: Arc<ExpertMap>,
    },
    /// Unload a map that no grant names.
    Discard {
        /// The map.
        map: MapRef,
    },
    /// Use exactly these grants, in place of those held; at most two, lowest step first.
    Grant {
        /// The grants; an empty list stops the engine after its present step.
        grants: Vec<StepGrant>,
    },
    /// Report the whole content of a resident map.
    ReadMap {
        /// The map.
        map: MapRef,
    },
}

/// What an engine holds, as it says itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Last step that all local ranks have completed; zero in a new engine.
    pub completed_step: u64,
    /// Grants held, used-up ones included until others replace them.
    pub grants: Vec<StepGrant>,
    /// Maps that are loaded.
    pub resident: Vec<MapRef>,
    /// The map that is being loaded.
    pub staging: Option<MapRef>,
}

/// One rank's account of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepReport {
    /// The rank, counted over the whole group.
    pub rank: u16,
    /// The step that it completed.
    pub step: u64,
    /// The map that it used.
    pub map: MapRef,
}

/// An order as it leaves the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOrder {
    /// Number of the order; the answer names it.
    pub id: OrderId,
    /// Token of the term that the order belongs to.
    pub fencing: Fencing,
    /// What to do.
    pub order: EngineOrder,
}
