//! Messages between the members of a group.

use super::engine::{EngineState, StepReport};
use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use super::membership::{Epoch, MemberIndex};
use crate::{Fencing, Incarnation};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message between members, with the fields by which the receiver decides whether to accept it.
///
/// Messages may be lost, duplicated, delayed and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// Membership of the sender. A receiver with a different membership ignores the message.
    pub epoch: Epoch,
    /// The sender.
    pub from: MemberIndex,
    /// Incarnation of the sending agent.
    pub sender: Incarnation,
    /// Incarnation that the message is addressed to, or `None` if the sender does not know it yet.
    pub target: Option<Incarnation>,
    /// Fencing token of the term that the message belongs to.
    pub fencing: Fencing,
    /// Content of the message.
    pub body: GroupBody,
}

/// Content of a [`GroupMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupBody {
    /// Asks for a promise to refuse lower fencing tokens. Sent by a candidate.
    Prepare,
    /// Grants the promise and reports the state of the member's engine.
    Promise(MemberState),
    /// Tells a sender that the member rejected its message.
    Refuse {
        /// Highest fencing token that the refusing member or its engine has seen.
        seen: Fencing,
    },
    /// The coordinator's heartbeat. Each one carries the complete state of the term.
    Lead(Heartbeat),
    /// A member's answer to a heartbeat.
    Report {
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// The member's state.
        state: MemberState,
    },
    /// Sends a map that the member's engine has to load.
    Stage(Arc<ExpertMap>),
    /// Asks a member that holds a map for its content, which the coordinator lacks.
    FetchMap(MapRef),
    /// The answer to [`GroupBody::FetchMap`].
    MapContent(Arc<ExpertMap>),
}

/// State of a term, which the coordinator repeats at each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number within the term. Members drop a heartbeat that is not newer than the last.
    pub sequence: u64,
    /// Grants in force, lowest step first.
    pub grants: Vec<StepGrant>,
    /// Map of the change in preparation, if any.
    pub staging: Option<MapRef>,
    /// Whether the group is halted because an invariant was violated.
    pub is_halted: bool,
}

/// State of a member and its engine, as the member knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// State that the engine reported, with the orders since then applied.
    pub engine: EngineState,
    /// Map that the engine failed to load, if any.
    pub stage_failed: Option<MapRef>,
    /// Report of the latest step, if any.
    pub last_step: Option<StepReport>,
    /// Whether the member is halted because an invariant was violated.
    pub is_halted: bool,
}
