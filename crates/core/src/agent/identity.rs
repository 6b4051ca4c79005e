//! Identity of an agent.

use crate::ids::Incarnation;
use hickorycross_config::BackendServerId;

/// Identity of an agent process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Drawn at random when the process starts.
    pub incarnation: Incarnation,
    /// The backend server, as named in the document, that this agent runs beside.
    pub backend_server: BackendServerId,
}
