//! The operators' configuration: routes, the services that answer them, teams and limits.

use super::{ColdFigures, EngineFigures, Residency};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Increases with every version, not necessarily by one.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Teams with their API keys; empty when requests need no key.
    pub teams: Vec<Team>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Regions in which requests of the routes and teams may run; `None` if they are not known,
    /// because the catalog came from a process of a release without regions.
    ///
    /// Messages that contain a catalog are encoded by position, and this field would move those that
    /// follow. They carry it in a field of their own.
    #[serde(skip)]
    pub residency: Option<Residency>,
}

/// How requests for one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host name, without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated, and whether they are answered by a stream.
    pub kind: RequestKind,
    /// Longest time for a whole request.
    pub timeout_ms: u64,
    /// Target for the time until the answer, or until the first event of a stream.
    pub target_latency_ms: u64,
    /// Target for the gap between two events of a stream.
    pub target_gap_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer the route, with their weights.
    pub backends: Vec<BackendShare>,
    /// Most attempts for one request, each at another backend server.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendShare {
    /// Name of the service.
    pub service: String,
    /// Its weight relative to the route's other services.
    pub weight: u32,
}

/// Whether requests may be repeated, and whether they are answered by a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Answered by a stream of events; must run at most once.
    Stream,
    /// Answered by a stream of events; another backend server can continue after the last event.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that answers requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Dimensions of its model groups, if its backend servers are ranks of groups.
    pub group: Option<GroupDimensions>,
    /// Time that a group takes to form again after the loss of a rank, if its backend servers are
    /// ranks.
    pub forming_ms: u64,
    /// Limit on its cold servers. Not part of the encoding, which goes by position; the exchange
    /// between entries carries it apart.
    #[serde(skip)]
    pub cold: ColdFigures,
    /// Descriptions of figures for cold servers that cannot be used.
    #[serde(skip)]
    pub cold_faults: Vec<String>,
    /// Figures of its engine. Messages between processes are encoded by position and carry the
    /// figures in a field of their own, as those of earlier releases lack them.
    #[serde(skip)]
    pub engine: EngineFigures,
}

/// Dimensions of the model groups of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupDimensions {
    /// Number of layer sets, each with its own experts.
    pub layers: u16,
    /// Experts in a layer set.
    pub experts_per_layer: u16,
    /// Experts of one layer set that one rank can hold.
    pub expert_slots_per_rank: u16,
    /// Experts of one layer set that one map change may add to a rank.
    pub spare_slots_per_rank: u16,
}

/// A team and its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name, which is sent to backend servers.
    pub name: String,
    /// API keys of its callers.
    pub api_keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits on the size of requests and on the time that callers may take to send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub max_header_bytes: u64,
    /// Largest request body.
    pub max_body_bytes: u64,
    /// Longest time for receiving a request head.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Limits before any configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Catalog {
    /// Returns the route of a request: among those of the host, the one with the longest matching
    /// prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        of_host.filter(|route| path.starts_with(&route.prefix)).max_by_key(|it| it.prefix.len())
    }

    /// Returns the least urgent priority of any route or team, which is the highest number.
    #[must_use]
    pub fn lowest_priority(&self) -> u8 {
        let of_routes = self.routes.iter().map(|route| route.priority);
        of_routes.chain(self.teams.iter().filter_map(|team| team.priority)).max().unwrap_or(0)
    }

    /// Returns the figures of the engines of all services that have any, by service.
    #[must_use]
    pub fn engine_figures(&self) -> Vec<(String, EngineFigures)> {
        let known = self.services.iter();
        let known = known.filter(|(_, service)| service.engine != EngineFigures::default());
        known.map(|(name, service)| (name.clone(), service.engine)).collect()
    }

    /// Sets the figures of the engines of services by name.
    pub fn set_engine_figures(&mut self, figures: &[(String, EngineFigures)]) {
        for (name, figures) in figures {
            if let Some(service) = self.services.get_mut(name) {
                service.engine = figures.usable();
            }
        }
    }

    /// Returns the team that an API key belongs to.
    #[must_use]
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.api_keys.iter().any(|held| held == key))
    }
}
