//! Rows of the platform's instance list.

use crate::ids::InstanceId;
use hickorycross_config::{BackendServerId, FailureDomainId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The role of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs an entry, which accepts callers' requests.
    Entry,
    /// Runs a backend server, and an agent that manages the requests to it.
    Agent {
        /// Identifier of the backend server in the document.
        backend_server: BackendServerId,
    },
}

/// State of an instance according to the platform, which may lag behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is expected to run.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Address on which its hickorycross process accepts links.
    pub link_address: SocketAddr,
    /// The failure domain in which it runs.
    pub failure_domain: FailureDomainId,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}
