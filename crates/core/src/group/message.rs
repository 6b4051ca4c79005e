//! Messages between the members of a group.

use super::engine::{EngineState, StepReport};
use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use super::membership::{Epoch, MemberIndex};
use crate::{Fencing, Incarnation};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A message with the marks by which its receiver judges it.
///
/// Any copy may be lost, doubled, late or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// The sender's membership; a receiver with another one does not act on the message.
    pub epoch: Epoch,
    /// The sender.
    pub from: MemberIndex,
    /// The sender's life.
    pub sender: Incarnation,
    /// The life that it is meant for; none where the sender cannot know it yet.
    pub target: Option<Incarnation>,
    /// Token of the term that the message belongs to.
    pub fencing: Fencing,
    /// What it says.
    pub body: GroupBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupBody {
    /// A candidate asks for a promise to refuse lower fencing tokens.
    Prepare,
    /// The promise, with what the member's engine holds.
    Promise(MemberState),
    /// The receiver of a message did not act on it.
    Refuse {
        /// Highest token that the refusing member or its engine has seen.
        seen: Fencing,
    },
    /// The coordinator's heartbeat: everything that the members need, each time.
    Lead(Heartbeat),
    /// A member's answer to a heartbeat.
    Report {
        /// Number of the heartbeat.
        sequence: u64,
        /// The member's state.
        state: MemberState,
    },
    /// The coordinator hands out a map to be loaded.
    Stage(Arc<ExpertMap>),
    /// The coordinator lacks the content of a map and asks a member that holds it.
    FetchMap(MapRef),
    /// The answer to [`GroupBody::FetchMap`].
    MapContent(Arc<ExpertMap>),
}

/// What the coordinator repeats at each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts the heartbeats of a term; a lower one than seen is late and is dropped.
    pub sequence: u64,
    /// The grants in force, lowest step first.
    pub grants: Vec<StepGrant>,
    /// The map of a change that is being prepared.
    pub staging: Option<MapRef>,
    /// Whether the group is stopped after a violation.
    pub is_halted: bool,
}

/// What a member knows of its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The engine's own account.
    pub engine: EngineState,
    /// A map that the engine failed to load.
    pub stage_failed: Option<MapRef>,
    /// The latest step report.
    pub last_step: Option<StepReport>,
    /// Whether the member has stopped after a violation.
    pub is_halted: bool,
}
