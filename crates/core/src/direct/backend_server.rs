//! Backend servers as the platform lists them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It accepts new work.
    Ready,
    /// It finishes running requests and accepts no new ones.
    Leaving,
}

/// One incarnation of a backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name. A backend server may keep its name across restarts.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; 0 if unknown. Distinguishes
    /// incarnations with the same name.
    pub born_ms: u64,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain of its instance.
    pub failure_domain: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: BackendState,
    /// Revision of the store at which it was registered.
    pub listed_at_revision: u64,
}

impl BackendServer {
    /// Returns whether this is an earlier incarnation than `other` with the same name.
    ///
    /// A server without a start time counts as the same incarnation.
    #[must_use]
    pub const fn is_before(&self, other: &Self) -> bool {
        self.born_ms != 0 && self.born_ms < other.born_ms
    }
}
