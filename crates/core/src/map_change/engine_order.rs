//! Orders as a rank's engine takes them.

use super::order::{OrderKind, RankOrder};
use crate::placement::ExpertMap;
use std::sync::Arc;

/// An order that names everything that its engine must know.
///
/// What agents tell each other may be shorter: a map as a change of another one, or a pass by its distance.
/// Such an order cannot be made into one of these before it is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The group's epoch for which the order is meant.
    pub epoch: u64,
    /// A rank that has seen a higher number refuses the order.
    pub fence: u64,
    /// What to do.
    pub kind: EngineOrderKind,
}

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrderKind {
    /// Copy what is new in a map, and keep it ready.
    Prepare {
        /// Names the map; higher than all before.
        version: u64,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// Switch to a prepared map as a pass begins.
    Arm {
        /// The map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Forget whatever is armed.
    Disarm {
        /// The map that is armed.
        version: u64,
    },
    /// Heed no older fence from now on.
    Fence,
    /// Do not begin a pass before it is let go.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Begin a held pass.
    Go {
        /// The pass.
        step: u64,
    },
}

impl EngineOrder {
    /// The order as an engine takes it, on which `armed` is armed; nothing while it lacks its map or its pass.
    #[must_use]
    pub fn of(order: &RankOrder, armed: Option<u64>) -> Option<Self> {
        let kind = match &order.kind {
            OrderKind::Prepare { version, map } => {
                EngineOrderKind::Prepare { version: *version, map: Arc::clone(map) }
            }
            OrderKind::PrepareChange { .. }
            | OrderKind::Void { .. }
            | OrderKind::HoldAhead { .. } => return None,
            OrderKind::Arm { version, step } => {
                EngineOrderKind::Arm { version: *version, step: *step }
            }
            OrderKind::Disarm { version } => {
                EngineOrderKind::Disarm { version: armed.unwrap_or(*version) }
            }
            OrderKind::Fence { .. } => EngineOrderKind::Fence,
            OrderKind::Hold { step } => EngineOrderKind::Hold { step: *step },
            OrderKind::Go { step } => EngineOrderKind::Go { step: *step },
        };
        Some(Self { epoch: order.epoch, fence: order.fence, kind })
    }
}
