//! What callers may ask for, and which services answer it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Grows with every version, in uneven steps.
    pub version: u64,
    /// Routes in the order of the operators.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Teams that hold API keys; none when requests need no key.
    pub teams: Vec<Team>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
}

/// Requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host, without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer, or its first event, is on time.
    pub target_latency_ms: u64,
    /// Longest pause between events of an answer that is on time.
    pub target_gap_ms: Option<u64>,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Services that answer, with their weights.
    pub backends: Vec<BackendShare>,
    /// Most backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendShare {
    /// Name of the service.
    pub service: String,
    /// Its weight against the route's other services.
    pub weight: u32,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answered by events; may run once at most.
    Stream,
    /// Answered by events; may be continued at another backend server after the last event.
    ResumableStream,
}

impl RequestKind {
    /// Whether another run does no harm.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
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
    /// Time that a group takes to form anew after a rank was lost, if its backend servers are ranks.
    pub forming_ms: u64,
}

/// What the operators say of the groups of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupDimensions {
    /// Sets of layers, each with experts of its own.
    pub layers: u16,
    /// Experts of a set.
    pub experts_per_layer: u16,
    /// Experts of one set that one rank can hold.
    pub expert_slots_per_rank: u16,
    /// Experts of one set that one change may add to a rank.
    pub spare_slots_per_rank: u16,
}

/// A team and its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name, which backend servers are told.
    pub name: String,
    /// Keys that its callers may use.
    pub api_keys: Vec<String>,
    /// Urgency that goes before the route's, 0 first.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Size of a request's head.
    pub max_header_bytes: u64,
    /// Size of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head.
    pub header_timeout_ms: u64,
    /// Time for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Bounds before any configuration is known: the usual ones of HTTP servers.
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
    /// Finds the route of a request: of those of the host, the one with the longest prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(host));
        of_host.filter(|route| path.starts_with(&route.prefix)).max_by_key(|it| it.prefix.len())
    }

    /// The lowest priority of any route or team, the highest number.
    #[must_use]
    pub fn lowest_priority(&self) -> u8 {
        let of_routes = self.routes.iter().map(|route| route.priority);
        of_routes.chain(self.teams.iter().filter_map(|team| team.priority)).max().unwrap_or(0)
    }

    /// Finds the team that holds a key.
    #[must_use]
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.api_keys.iter().any(|held| held == key))
    }
}
