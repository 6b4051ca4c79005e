//! Settings of the processes.

use hickorycross_core::direct::{DomainRegions, FleetRetryBudget};
use std::net::SocketAddr;

/// Settings of an entry or an agent, as provided by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of this instance.
    pub instance: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Region of this instance, if it is known.
    pub region: Option<String>,
    /// Regions of the failure domains.
    pub domain_regions: DomainRegions,
    /// Faults in the settings of regions, for the log. A failure domain with a fault has no known
    /// region; everything else is used.
    pub region_faults: Vec<String>,
    /// Addresses to listen at.
    pub listen: Listen,
    /// UDP port for datagrams between agents, the same on every instance.
    pub agent_port: u16,
    /// Control addresses of some entries, from which the others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// Address of the backend server beside which an agent runs.
    pub backend: Option<SocketAddr>,
    /// Service of that backend server.
    pub service: Option<String>,
    /// Limits that hold over the whole fleet.
    pub bounds: Bounds,
    /// Address of the store.
    pub store: SocketAddr,
}

/// Addresses to listen on; `None` for those that the role of the process does not serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers' requests.
    pub callers: Option<SocketAddr>,
    /// Address for the readiness check of the external load balancer.
    pub ready: Option<SocketAddr>,
    /// Address for other processes of the fleet and for operators.
    pub control: Option<SocketAddr>,
}

/// Limits that hold over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time in milliseconds until a revoked API key is rejected by every entry.
    pub revoke_ms: u64,
    /// Time in milliseconds that a process has from the stop signal until it is killed.
    pub grace_ms: u64,
    /// Length of the sliding window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries allowed per request in the window, over the whole fleet.
    pub retry_ratio: f64,
    /// Retries allowed in the window in addition to the ratio, over the whole fleet.
    pub retry_slack: f64,
    /// Time in milliseconds for which all ranks of a group stall after one is lost.
    pub stall_ms: u64,
    /// Factor by which the requests that a cold backend server gets in one second may exceed the
    /// rate that it takes.
    pub cold_over: f64,
    /// Requests that a cold backend server may get in one second beyond that.
    pub cold_slack: f64,
    /// Bytes that one entry may buffer for callers and backend servers. A change needs a restart.
    pub buffer_bytes: usize,
    /// Time in milliseconds without progress after which a write to a caller fails.
    pub caller_stall_ms: u64,
    /// Whether backend servers refuse orders with an outdated fencing token.
    pub fences_orders: bool,
}

impl Bounds {
    /// Returns the retry budget of the whole fleet.
    pub(crate) const fn retry_budget(&self) -> FleetRetryBudget {
        FleetRetryBudget {
            window_ms: self.retry_window_ms,
            ratio: self.retry_ratio,
            slack: self.retry_slack,
        }
    }
}

/// Reads the settings again while a process runs.
pub trait SettingsSource {
    /// Reads the settings. Returns `None` if they have not changed since the last call.
    ///
    /// # Errors
    ///
    /// When the settings are not valid; the report lists every fault.
    fn reload(&mut self) -> miette::Result<Option<ProcessSettings>>;
}
