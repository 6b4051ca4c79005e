//! Typed records of changes to anything that defines behaviour.

use crate::ids::{Fencing, Incarnation, InstanceId};
use crate::time::UnixMs;
use hickorycross_config::{BackendServerId, Digest, ModelGroupId, Stamp};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One change, before it is numbered and chained by the trail of its process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When it happened.
    pub at: UnixMs,
    /// Who brought it about.
    pub actor: Actor,
    /// The document in force at that moment.
    pub stamp: Stamp,
    /// What changed.
    pub change: Change,
}

impl AuditRecord {
    /// A record with the actor that its kind of change always has.
    #[must_use]
    pub fn new(at: UnixMs, stamp: Stamp, change: Change) -> Self {
        Self { at, actor: change.actor(), stamp, change }
    }
}

/// Who brought a change about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Actor {
    /// The process itself.
    System,
    /// The platform, by what it published or whom it told to stop.
    Platform,
    /// An operator, by the name in the settings.
    Operator(String),
}

impl fmt::Display for Actor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System => f.write_str("system"),
            Self::Platform => f.write_str("platform"),
            Self::Operator(name) => write!(f, "operator {name}"),
        }
    }
}

/// The kinds of change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Another document is in force.
    DocumentAdopted {
        /// The one before.
        before: Stamp,
        /// The one in force now.
        after: Stamp,
    },
    /// A published document was refused; the one before stays in force.
    DocumentRejected {
        /// The refused one.
        rejected: Stamp,
        /// Why.
        reason: String,
    },
    /// A process began to drain.
    DrainBegun,
    /// A process has nothing left to finish.
    DrainEnded,
    /// A backend server no longer gets new work because of its failures.
    CircuitOpened {
        /// The backend server.
        backend_server: BackendServerId,
        /// Why.
        reason: String,
    },
    /// A backend server gets new work again.
    CircuitClosed {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// A link went silent and was replaced.
    LinkSilent {
        /// The backend server at its other end.
        backend_server: BackendServerId,
        /// The instance at its other end.
        instance: InstanceId,
        /// The incarnation at its other end.
        incarnation: Incarnation,
    },
    /// A group changed its expert map.
    MapChanged {
        /// The group.
        group: ModelGroupId,
        /// Version before.
        before: u64,
        /// Version now.
        after: u64,
        /// Why.
        reason: String,
    },
    /// An order went to a backend server.
    OrderGiven {
        /// The backend server.
        backend_server: BackendServerId,
        /// Its fencing token.
        fencing: Fencing,
        /// What was ordered.
        order: String,
    },
    /// An order was refused for its old fencing token.
    OrderRefused {
        /// The backend server.
        backend_server: BackendServerId,
        /// The refused token.
        fencing: Fencing,
        /// The lowest token that would have been taken.
        lowest: Fencing,
    },
    /// An invariant did not hold.
    InvariantViolated {
        /// Which, and what was seen.
        detail: String,
    },
    /// A key or certificate was renewed.
    KeyRenewed {
        /// Which.
        subject: String,
    },
    /// An operator signed in.
    SignIn {
        /// Who.
        operator: String,
        /// Whether the credentials were right.
        accepted: bool,
    },
    /// A draft was handed out to be published; the digest tells which document came of it.
    DraftHandedOut {
        /// Who made it.
        operator: String,
        /// The document that it replaces.
        base: Stamp,
        /// Digest of the draft.
        digest: Digest,
    },
}

impl Change {
    fn actor(&self) -> Actor {
        match self {
            Self::SignIn { operator, .. } | Self::DraftHandedOut { operator, .. } => {
                Actor::Operator(operator.clone())
            }
            Self::DocumentAdopted { .. }
            | Self::DocumentRejected { .. }
            | Self::DrainBegun
            | Self::KeyRenewed { .. } => Actor::Platform,
            Self::DrainEnded
            | Self::CircuitOpened { .. }
            | Self::CircuitClosed { .. }
            | Self::LinkSilent { .. }
            | Self::MapChanged { .. }
            | Self::OrderGiven { .. }
            | Self::OrderRefused { .. }
            | Self::InvariantViolated { .. } => Actor::System,
        }
    }
}
