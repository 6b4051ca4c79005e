//! The frames of a link.

use crate::offer::ConfigOffer;
use crate::version::VersionRange;
use hickorycross_config::{BackendServerId, Stamp};
use hickorycross_core::group::GroupMessage;
use hickorycross_core::message::{ToAgent, ToEntry};
use hickorycross_core::placement::RankLoad;
use hickorycross_core::{AttemptId, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// What a process is, as it says of itself. Its certificate must agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRole {
    /// An entry.
    Entry,
    /// The agent beside a backend server.
    Agent {
        /// The backend server.
        backend_server: BackendServerId,
    },
}

/// The first frame in each direction of a control stream.
///
/// It stays as it is in every later version; new fields go into new frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Versions that the sender speaks.
    pub versions: VersionRange,
    /// The sender's instance.
    pub instance: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// What the sender is.
    pub role: PeerRole,
    /// What the sender has adopted.
    pub stamp: Stamp,
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Who the sender is.
    Hello(Hello),
    /// From an entry to an agent.
    ToAgent(ToAgent),
    /// From an agent to an entry.
    ToEntry(ToEntry),
    /// The sender has adopted this; whoever is behind asks for it.
    Announce(Stamp),
    /// The sender is behind and asks for the document that the receiver holds.
    ConfigRequest,
    /// The document that the sender holds.
    ConfigOffer(ConfigOffer),
    /// Between the agents of one model group.
    Group(Box<GroupMessage>),
    /// From an agent of a model group to the one that coordinates it.
    RankLoad(Box<RankLoad>),
}

impl Frame {
    /// The attempt whose stream carries this frame; none for the control stream.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::ToAgent(message) => attempt_of_request(message),
            Self::ToEntry(message) => attempt_of_answer(message),
            _ => None,
        }
    }

    /// Whether this frame begins a stream for its attempt if there is none.
    #[must_use]
    pub const fn opens_stream(&self) -> bool {
        matches!(
            self,
            Self::ToAgent(ToAgent::Submit(_) | ToAgent::Attach { .. } | ToAgent::Revoke { .. })
        )
    }

    /// Whether nothing follows this frame on the stream of its attempt.
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
        ToAgent::Heartbeat { .. } | ToAgent::Demand(_) => None,
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
        ToEntry::HeartbeatAck { .. } | ToEntry::Totals(_) | ToEntry::Leaving => None,
    }
}
