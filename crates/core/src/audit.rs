//! Records of the audit trail: changes to anything that determines the system's behaviour.

use crate::ids::{Fencing, Incarnation, InstanceId};
use crate::time::UnixMs;
use hickorycross_config::{BackendServerId, Digest, ModelGroupId, RouteId, Stamp};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Former homes that a record of [`Change::FormerHomesAwaited`] names.
pub const MAX_FORMER_HOMES: usize = 16;

/// One audit record, before the audit trail of its process adds a number and a hash chain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When the change happened.
    pub at: UnixMs,
    /// Who caused the change.
    pub actor: Actor,
    /// Stamp of the document in force at that time.
    pub stamp: Stamp,
    /// What changed.
    pub change: Change,
}

impl AuditRecord {
    /// Creates a record; the kind of change determines the actor.
    #[must_use]
    pub fn new(at: UnixMs, stamp: Stamp, change: Change) -> Self {
        Self { at, actor: change.actor(), stamp, change }
    }
}

/// Who caused a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Actor {
    /// The process itself.
    System,
    /// The platform, by publishing something or by stopping a process.
    Platform,
    /// An operator, identified by the name in the settings.
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

/// A change with its details.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// A new document came into force.
    DocumentAdopted {
        /// Stamp of the previous document.
        before: Stamp,
        /// Stamp of the document now in force.
        after: Stamp,
    },
    /// A published document was refused; the previous one stays in force.
    DocumentRejected {
        /// Stamp of the refused document.
        rejected: Stamp,
        /// Why it was refused.
        reason: String,
    },
    /// A process started to drain.
    DrainBegun,
    /// A process finished its last work after a drain.
    DrainEnded,
    /// An entry stopped sending new work to a backend server because of its failures.
    CircuitOpened {
        /// The backend server.
        backend_server: BackendServerId,
        /// Why the circuit opened.
        reason: String,
    },
    /// An entry sends new work to a backend server again.
    CircuitClosed {
        /// The backend server.
        backend_server: BackendServerId,
    },
    /// A link received no messages for too long and was replaced.
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
        /// Previous version of the map.
        before: u64,
        /// New version of the map.
        after: u64,
        /// Why the map was changed.
        reason: String,
    },
    /// An order was sent to a backend server.
    OrderGiven {
        /// The backend server.
        backend_server: BackendServerId,
        /// Fencing token of the order.
        fencing: Fencing,
        /// The order as text.
        order: String,
    },
    /// An order was refused because its fencing token was too old.
    OrderRefused {
        /// The backend server.
        backend_server: BackendServerId,
        /// The refused token.
        fencing: Fencing,
        /// The lowest token that would have been accepted.
        lowest: Fencing,
    },
    /// An agent refuses keys of a route that former homes may still run.
    FormerHomesAwaited {
        /// The route.
        route: RouteId,
        /// The former homes, at most [`MAX_FORMER_HOMES`] of them; empty if any agent may be one.
        backend_servers: Vec<BackendServerId>,
    },
    /// No other agent may run keys of a route as a former home any more.
    FormerHomesReleased {
        /// The route.
        route: RouteId,
        /// From this time on, the agent refuses no keys for what former homes ran.
        keys_known_at: UnixMs,
    },
    /// An invariant was violated.
    InvariantViolated {
        /// The invariant, and what was observed.
        detail: String,
    },
    /// A key or certificate was renewed.
    KeyRenewed {
        /// The key or certificate.
        subject: String,
    },
    /// An operator tried to sign in.
    SignIn {
        /// Name of the operator.
        operator: String,
        /// Whether the credentials were valid.
        accepted: bool,
    },
    /// An operator downloaded a draft in order to publish it.
    DraftHandedOut {
        /// Name of the operator.
        operator: String,
        /// Stamp of the document that the draft replaces.
        base: Stamp,
        /// Digest of the draft, which identifies the document once it is published.
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
            | Self::FormerHomesAwaited { .. }
            | Self::FormerHomesReleased { .. }
            | Self::InvariantViolated { .. } => Actor::System,
        }
    }
}
