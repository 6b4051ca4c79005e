//! Who an agent is.

use crate::ids::Incarnation;
use hickorycross_config::BackendServerId;

/// What an agent knows of itself from its settings and its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Drawn at random at the start of the process.
    pub incarnation: Incarnation,
    /// The backend server of the document that it stands beside.
    pub backend_server: BackendServerId,
}
