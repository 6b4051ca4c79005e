//! What a process must know at its start.

use std::net::SocketAddr;

/// Settings of an entry or an agent, as the platform gives them.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Names this instance.
    pub instance: String,
    /// Where it stands.
    pub failure_domain: String,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Port for datagrams between agents, the same on every machine.
    pub agent_port: u16,
    /// Addresses at which some entries answer other processes.
    pub seeds: Vec<SocketAddr>,
    /// The backend server beside which this process runs, for an agent.
    pub backend: Option<SocketAddr>,
    /// The service of that backend server.
    pub service: Option<String>,
    /// Bounds that the fleet keeps.
    pub bounds: Bounds,
    /// Where the store answers.
    pub store: SocketAddr,
}

/// Addresses to listen at; those that a role does not serve are missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: Option<SocketAddr>,
    /// The balancer's question whether this process takes connections.
    pub ready: Option<SocketAddr>,
    /// Other processes of the fleet, and operators.
    pub control: Option<SocketAddr>,
}

/// Bounds that the fleet keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a key that was taken away is dead everywhere.
    pub revoke_ms: u64,
    /// Time that a process has between the request to stop and its end.
    pub grace_ms: u64,
    /// Span over which second sends are counted.
    pub retry_window_ms: u64,
    /// Second sends for each request, over the whole fleet.
    pub retry_ratio: f64,
    /// Second sends in a span that need no request, over the whole fleet.
    pub retry_slack: f64,
    /// Time for which all ranks of a group stall when one is gone.
    pub stall_ms: u64,
    /// Whether backend servers refuse orders with an old fencing number.
    pub fences_orders: bool,
}

/// Gives the settings again when they may have changed.
pub trait SettingsSource {
    /// Reads the settings; `None` when they are as they were at the last call.
    ///
    /// # Errors
    ///
    /// A report that names every fault, when they cannot be used.
    fn reload(&mut self) -> miette::Result<Option<ProcessSettings>>;
}
