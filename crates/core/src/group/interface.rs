//! Events that a group member handles and the actions that it requests.

use super::audit::{GroupRecord, Violation};
use super::engine::{EngineState, FencedOrder, OrderId, StepReport};
use super::map::{ExpertMap, MapRef};
use super::membership::Membership;
use super::message::GroupMessage;
use crate::Fencing;
use hickorycross_config::BackendServerId;
use std::sync::Arc;

/// Input to [`super::GroupMember::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// Time has passed. The driver sends it at least every [`super::timing::TICK_MS`].
    Tick,
    /// A message from another member has arrived.
    Received(GroupMessage),
    /// The engine has carried out an order.
    EngineAnswered {
        /// Identifier of the order.
        id: OrderId,
        /// State of the engine after the order.
        state: EngineState,
    },
    /// An order was not answered: the connection failed or the request timed out. The engine may
    /// still have carried it out.
    EngineFailed {
        /// The order.
        id: OrderId,
    },
    /// The engine has refused an order because of an old fencing token.
    EngineRefused {
        /// The order.
        id: OrderId,
        /// Highest fencing token that the engine has seen.
        seen: Fencing,
    },
    /// A rank has completed a step. Reports may be late and incomplete.
    EngineReported(StepReport),
    /// The load of a map was deferred until the weight store's rate allows it. The driver also
    /// reports the order as failed, so that other orders do not wait for it.
    EngineStageDeferred(MapRef),
    /// The map whose load was deferred may be loaded now.
    EngineStageDue(MapRef),
    /// The engine has loaded a map.
    EngineStaged(MapRef),
    /// The engine failed to load a map.
    EngineStageFailed(MapRef),
    /// The engine has answered [`super::EngineOrder::ReadMap`].
    EngineMapRead(Arc<ExpertMap>),
    /// Proposes a new map. Only the coordinator acts on it, and assigns the map's version.
    Propose(ExpertMap),
    /// The agent has adopted a document, which may leave the membership unchanged.
    MembershipUpdated(Membership),
}

/// Action that a group member requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAction {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// The receiver.
        to: BackendServerId,
        /// The message.
        message: GroupMessage,
    },
    /// Send an order to the engine; [`super::engine`] states the rules for this.
    Order(FencedOrder),
    /// Report a violation to operators. The group has halted and needs their intervention.
    ReportViolation(Violation),
    /// Write an audit record.
    Audit(GroupRecord),
}
