//! Events into a group member and actions out of it.

use super::audit::{GroupRecord, Violation};
use super::engine::{EngineState, FencedOrder, OrderId, StepReport};
use super::map::{ExpertMap, MapRef};
use super::membership::Membership;
use super::message::GroupMessage;
use crate::Fencing;
use hickorycross_config::BackendServerId;
use std::sync::Arc;

/// An input of a group member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// Time has passed. Sent at least every [`super::timing::TICK_MS`].
    Tick,
    /// A message from another member has arrived.
    Received(GroupMessage),
    /// The engine has carried out an order.
    EngineAnswered {
        /// The order.
        id: OrderId,
        /// The engine's state after it.
        state: EngineState,
    },
    /// An order got no answer: the connection failed or its time ran out. The engine may have
    /// carried it out.
    EngineFailed {
        /// The order.
        id: OrderId,
    },
    /// The engine has refused an order because of its fencing token.
    EngineRefused {
        /// The order.
        id: OrderId,
        /// The highest token that the engine has seen.
        seen: Fencing,
    },
    /// A rank has completed a step. Reports may come late and with gaps.
    EngineReported(StepReport),
    /// An order to load a map was kept back until the weight store's rate allows it. The order is
    /// reported failed as well, so that other orders do not wait for it.
    EngineStageDeferred(MapRef),
    /// The map whose load was kept back may be loaded now.
    EngineStageDue(MapRef),
    /// The engine has loaded a map.
    EngineStaged(MapRef),
    /// The engine could not load a map.
    EngineStageFailed(MapRef),
    /// The answer to [`super::EngineOrder::ReadMap`].
    EngineMapRead(Arc<ExpertMap>),
    /// The decision wants another map. Only the coordinator acts on it, and numbers the map anew.
    Propose(ExpertMap),
    /// A document has been adopted. Its group may be unchanged.
    MembershipUpdated(Membership),
}

/// An output of a group member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAction {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: BackendServerId,
        /// The message.
        message: GroupMessage,
    },
    /// Give the engine an order; see [`super::engine`] for the rules.
    Order(FencedOrder),
    /// The group has stopped; people must look at it.
    ReportViolation(Violation),
    /// Write a line of the audit trail.
    Audit(GroupRecord),
}
