//! Orders in the form in which the engine of a rank takes them.

use super::order::{OrderKind, RankOrder};
use crate::placement::ExpertMap;
use std::sync::Arc;

/// An order that is complete for the engine.
///
/// Agents may send each other shorter orders, with a map as a change of another one or a pass by
/// its distance from the running one. Such an order must be completed before it can be converted
/// into this type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Epoch of the group for which the order is valid.
    pub epoch: u64,
    /// Fencing number of the leader. A rank that has seen a higher one refuses the order.
    pub fence: u64,
    /// The operation.
    pub kind: EngineOrderKind,
}

/// The operation of an engine order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrderKind {
    /// Copies the experts that are new in a map and keeps the map ready to switch to.
    Prepare {
        /// Version of the map; higher than that of any earlier map.
        version: u64,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// Switches to a prepared map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// Number of the pass.
        step: u64,
    },
    /// Cancels a pending switch.
    Disarm {
        /// Version of the armed map.
        version: u64,
    },
    /// Records the fencing number, so that the rank refuses older ones.
    Fence,
    /// Holds a pass until the rank is told to go.
    Hold {
        /// Number of the pass.
        step: u64,
    },
    /// Releases a held pass.
    Go {
        /// Number of the pass.
        step: u64,
    },
}

impl EngineOrder {
    /// Converts an order for an engine on which the map `armed` is armed. Returns nothing if the
    /// order lacks its complete map or the number of its pass.
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
            OrderKind::Fence { .. } | OrderKind::FenceUnarmed => EngineOrderKind::Fence,
            OrderKind::Hold { step } => EngineOrderKind::Hold { step: *step },
            OrderKind::Go { step } => EngineOrderKind::Go { step: *step },
        };
        Some(Self { epoch: order.epoch, fence: order.fence, kind })
    }
}
