//! The frames that are sent over a link.

use crate::offer::ConfigOffer;
use crate::version::{FIRST_VERSION, HOLDER_VERSION, Version, VersionRange};
use hickorycross_config::{BackendServerId, Stamp};
use hickorycross_core::group::GroupMessage;
use hickorycross_core::message::{ToAgent, ToEntry};
use hickorycross_core::placement::RankLoad;
use hickorycross_core::{AttemptId, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// The role that a process claims. Its certificate must confirm the role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRole {
    /// An entry, which accepts requests from callers.
    Entry,
    /// The agent that runs beside a backend server.
    Agent {
        /// The backend server.
        backend_server: BackendServerId,
    },
}

/// The first frame in each direction of a control stream.
///
/// It is sent before a version is agreed on, so its encoding must not change in later versions. New
/// fields go into new frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol versions that the sender supports.
    pub versions: VersionRange,
    /// The sender's instance.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's role.
    pub role: PeerRole,
    /// Stamp of the configuration document that the sender has adopted.
    pub stamp: Stamp,
}

/// A frame, the unit of transfer on every stream of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Introduces the sender and its supported versions.
    Hello(Hello),
    /// A message from an entry to an agent.
    ToAgent(ToAgent),
    /// A message from an agent to an entry.
    ToEntry(ToEntry),
    /// The sender has adopted the document with this stamp. A receiver with an older document
    /// requests it.
    Announce(Stamp),
    /// Requests the receiver's configuration document.
    ConfigRequest,
    /// The sender's configuration document.
    ConfigOffer(ConfigOffer),
    /// A message between two agents of the same model group.
    Group(Box<GroupMessage>),
    /// Load of an engine's ranks, sent by its agent to the agent that coordinates the model group.
    RankLoad(Box<RankLoad>),
}

impl Frame {
    /// Returns the attempt on whose stream this frame is sent, or `None` for the control stream.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::ToAgent(message) => attempt_of_request(message),
            Self::ToEntry(message) => attempt_of_answer(message),
            _ => None,
        }
    }

    /// Returns the version that brought this frame. An end of a lower version cannot decode it and
    /// would close the link.
    #[must_use]
    pub const fn first_version(&self) -> Version {
        match self {
            Self::ToAgent(ToAgent::HolderReport(_))
            | Self::ToEntry(ToEntry::HolderQuery(_) | ToEntry::Adopted(_)) => HOLDER_VERSION,
            _ => FIRST_VERSION,
        }
    }

    /// Returns whether this frame opens a stream for its attempt if there is none yet.
    #[must_use]
    pub const fn opens_stream(&self) -> bool {
        matches!(
            self,
            Self::ToAgent(ToAgent::Submit(_) | ToAgent::Attach { .. } | ToAgent::Revoke { .. })
        )
    }

    /// Returns whether this is the last frame on the stream of its attempt.
    #[must_use]
    pub const fn ends_stream(&self) -> bool {
        matches!(
            self,
            Self::ToEntry(
                ToEntry::Refused { .. }
                    | ToEntry::End { .. }
                    | ToEntry::Failed { .. }
                    | ToEntry::KeyUsed { .. }
            )
        )
    }
}

fn attempt_of_request(message: &ToAgent) -> Option<AttemptId> {
    match message {
        ToAgent::Submit(submit) => Some(submit.attempt),
        ToAgent::Attach { attempt, .. }
        | ToAgent::Revoke { attempt, .. }
        | ToAgent::Cancel { attempt }
        | ToAgent::Received { attempt, .. } => Some(*attempt),
        ToAgent::Heartbeat { .. } | ToAgent::Demand(_) | ToAgent::HolderReport(_) => None,
    }
}

fn attempt_of_answer(message: &ToEntry) -> Option<AttemptId> {
    match message {
        ToEntry::Accepted { attempt, .. }
        | ToEntry::Refused { attempt, .. }
        | ToEntry::Head { attempt, .. }
        | ToEntry::Chunk { attempt, .. }
        | ToEntry::End { attempt, .. }
        | ToEntry::Failed { attempt, .. }
        | ToEntry::KeyUsed { attempt, .. }
        | ToEntry::Revoked { attempt, .. } => Some(*attempt),
        ToEntry::HeartbeatAck { .. }
        | ToEntry::Totals(_)
        | ToEntry::Leaving
        | ToEntry::Adopted(_)
        | ToEntry::HolderQuery(_) => None,
    }
}
