//! The platform's instance list.

use crate::ids::InstanceId;
use hickorycross_config::{BackendServerId, FailureDomainId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an instance is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It accepts callers' requests.
    Entry,
    /// It hosts a backend server with an agent beside it.
    Agent {
        /// The backend server of the document that it hosts.
        backend_server: BackendServerId,
    },
}

/// What the platform says of an instance. The list lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is meant to be up.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: InstanceId,
    /// What it is for.
    pub role: Role,
    /// Where our process on it listens for links.
    pub link_address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Whether it is leaving.
    pub state: InstanceState,
}
