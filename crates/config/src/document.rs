//! The types of the document, as operators write it in JSON.
//!
//! Times are written as durations (`key_horizon_ms`), because a document has no point in time to
//! count from. The processes convert each duration to a deadline before they store it.
//!
//! The doc comments of types and fields are the descriptions in the JSON schema.

use crate::ids::{
    BackendServerId, FailureDomainId, ModelGroupId, RegionId, RouteId, TeamId, TierId,
};
use crate::{limits, syntax};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

/// The schema version that this release writes, and the highest that it accepts.
pub const SCHEMA_VERSION: u32 = 1;

/// Everything that defines the behaviour of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the document's own format; see [`SCHEMA_VERSION`].
    #[schemars(range(min = 1, max = SCHEMA_VERSION))]
    pub schema_version: u32,
    /// A title for people, shown in the console.
    #[schemars(length(min = 1, max = limits::MAX_TITLE_CHARS))]
    pub title: String,
    /// Failure domains with the region that each lies in.
    #[schemars(length(min = 1, max = limits::MAX_FAILURE_DOMAINS))]
    pub failure_domains: Vec<FailureDomain>,
    /// Priority tiers. Lower `rank` is answered first.
    #[schemars(length(min = 1, max = limits::MAX_TIERS))]
    pub tiers: Vec<Tier>,
    /// Teams of callers.
    #[schemars(length(min = 1, max = limits::MAX_TEAMS))]
    pub teams: Vec<Team>,
    /// Backend servers by name.
    #[schemars(length(min = 1, max = limits::MAX_BACKEND_SERVERS))]
    pub backend_servers: Vec<BackendServer>,
    /// Groups of ranks that run in lock-step.
    #[serde(default)]
    #[schemars(length(min = 0, max = limits::MAX_MODEL_GROUPS))]
    pub model_groups: Vec<ModelGroup>,
    /// Where requests go.
    #[schemars(length(min = 1, max = limits::MAX_ROUTES))]
    pub routes: Vec<Route>,
    /// How skew is weighed against the cost of rebalancing.
    pub balance: Balance,
}

/// One failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Its name, as instances carry it in their settings.
    pub id: FailureDomainId,
    /// The region that it lies in.
    pub region: RegionId,
}

/// One priority tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub id: TierId,
    /// Order under strain: 0 is answered first. Ranks are distinct.
    pub rank: u8,
    /// Time to the first chunk that callers of this tier are promised.
    #[schemars(range(min = 1, max = limits::MAX_FIRST_CHUNK_TARGET_MS))]
    pub first_chunk_target_ms: u32,
    /// Share of a backend server's starts, in thousandths, that this tier keeps while higher tiers
    /// would fill all of it. Zero allows starvation.
    #[serde(default)]
    #[schemars(range(min = 0, max = limits::MAX_FLOOR_PERMILLE))]
    pub floor_permille: u16,
}

/// One team of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// The tier that its requests belong to.
    pub tier: TierId,
    /// SHA-256 of each API key that identifies the team.
    #[schemars(length(min = 1, max = limits::MAX_KEYS_PER_TEAM))]
    pub key_hashes: Vec<KeyHash>,
    /// Bounds over the whole fleet.
    pub limit: TeamLimit,
}

/// SHA-256 of an API key, 64 hexadecimal digits in JSON. The key itself is never stored.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
#[schemars(extend(
    "pattern" = syntax::SHA256_PATTERN,
    "x-allowed" = syntax::SHA256_ALLOWED,
    "x-secret" = true
))]
pub struct KeyHash(
    #[serde_as(as = "serde_with::hex::Hex")]
    #[schemars(with = "String")]
    pub [u8; 32],
);

/// Number of hexadecimal digits of a key hash that messages show.
pub(crate) const SHORT_HASH_DIGITS: usize = 8;

impl KeyHash {
    /// Returns the first 8 hexadecimal digits.
    ///
    /// These distinguish the keys of a fleet, but are too few to test a guessed key against.
    #[must_use]
    pub fn short(&self) -> String {
        hex::encode(&self.0[..SHORT_HASH_DIGITS / 2])
    }
}

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}…", self.short())
    }
}

/// Bounds on a team's use, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TeamLimit {
    /// Accepted requests a second.
    #[schemars(range(min = 1, max = limits::MAX_REQUESTS_PER_S))]
    pub requests_per_s: u32,
    /// Requests that may follow one another at once before the rate binds.
    #[schemars(range(min = 1, max = limits::MAX_BURST_REQUESTS))]
    pub burst_requests: u32,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Its name; the instance list binds it to an instance.
    pub id: BackendServerId,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// What it is.
    pub kind: BackendKind,
    /// Requests that it runs at once.
    #[schemars(range(min = 1, max = limits::MAX_SLOTS))]
    pub slots: u32,
    /// Requests that may wait beside it.
    #[schemars(range(min = 0, max = limits::MAX_QUEUE_SLOTS))]
    pub queue_slots: u32,
    /// Whether it refuses an order with an old fencing number by itself.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// The kinds of backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine that holds ranks of a model group.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// One group of ranks in lock-step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// Its name.
    pub id: ModelGroupId,
    /// Models that it serves, by the name that callers use.
    #[schemars(length(min = 1, max = limits::MAX_MODELS_PER_GROUP))]
    #[schemars(with = "Vec<syntax::ModelName>")]
    pub models: Vec<String>,
    /// Version of the weights that it should run.
    #[schemars(with = "syntax::ModelName")]
    pub weights_version: String,
    /// Backend servers that hold its ranks, in rank order; each holds `ranks_per_server`.
    #[schemars(length(min = 1, max = limits::MAX_RANKS_PER_GROUP))]
    pub backend_servers: Vec<BackendServerId>,
    /// Ranks on each backend server.
    #[schemars(range(min = 1, max = limits::MAX_RANKS_PER_GROUP))]
    pub ranks_per_server: u16,
    /// Layers with experts.
    #[schemars(range(min = 1, max = limits::MAX_LAYERS))]
    pub layers: u16,
    /// Experts a layer.
    #[schemars(range(min = 1, max = limits::MAX_EXPERTS_PER_LAYER))]
    pub experts_per_layer: u16,
    /// Bytes of one expert's weights in one layer.
    #[schemars(range(min = 1, max = limits::MAX_EXPERT_BYTES))]
    pub expert_bytes: u64,
    /// Experts of one layer that one rank can hold, replicas included.
    #[schemars(range(min = 1, max = limits::MAX_EXPERT_SLOTS_PER_RANK))]
    pub expert_slots_per_rank: u16,
}

impl ModelGroup {
    /// Returns the number of ranks on all backend servers of the group.
    #[must_use]
    pub fn ranks(&self) -> u64 {
        self.backend_servers.len() as u64 * u64::from(self.ranks_per_server)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// What it matches and where it leads.
    pub target: Target,
    /// Whether a request may run more than once. A caller's header can only say no.
    pub idempotent: bool,
    /// Deadline of a request that brings none, counted from its arrival.
    #[schemars(range(min = limits::MIN_DEADLINE_MS, max = limits::MAX_DEADLINE_MS))]
    pub default_deadline_ms: u32,
    /// Latest deadline that a caller may ask for, counted from arrival.
    #[schemars(range(min = limits::MIN_DEADLINE_MS, max = limits::MAX_DEADLINE_MS))]
    pub max_deadline_ms: u32,
    /// How long an idempotency key is remembered after its request ended.
    #[schemars(range(min = limits::MIN_KEY_HORIZON_MS, max = limits::MAX_KEY_HORIZON_MS))]
    pub key_horizon_ms: u32,
    /// Further tries, in thousandths of first tries.
    #[schemars(range(min = 0, max = limits::MAX_RETRY_BUDGET_PERMILLE))]
    pub retry_budget_permille: u16,
}

/// What a route matches and where it leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// The model API, for the models that the groups serve.
    Model {
        /// The groups that serve them, all with the same models. Groups in several failure
        /// domains keep a model served when one domain is lost.
        #[schemars(length(min = 1, max = limits::MAX_MODEL_GROUPS))]
        groups: Vec<ModelGroupId>,
    },
    /// A plain service behind a path prefix.
    Service {
        /// Prefix of the path, such as `/cases/`; kept on the way to the service.
        #[schemars(
            length(max = limits::MAX_PATH_PREFIX_CHARS),
            extend("pattern" = syntax::PATH_PREFIX_PATTERN, "x-allowed" = syntax::PATH_PREFIX_ALLOWED)
        )]
        path_prefix: String,
        /// Backend servers that serve it.
        #[schemars(length(min = 1, max = limits::MAX_BACKEND_SERVERS))]
        backend_servers: Vec<BackendServerId>,
    },
}

/// How skew is weighed against the cost of rebalancing.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Balance {
    /// Weight of step-time skew, from 0 to 100.
    #[schemars(range(min = 0, max = limits::MAX_WEIGHT))]
    pub skew_weight: f64,
    /// Weight of bytes moved and stalls, from 0 to 100.
    #[schemars(range(min = 0, max = limits::MAX_WEIGHT))]
    pub rebalance_cost_weight: f64,
    /// Bytes a second that the weight store grants the whole fleet.
    #[schemars(range(min = 1, max = limits::MAX_WEIGHT_STORE_BYTES_PER_S))]
    pub weight_store_bytes_per_s: u64,
}

impl Document {
    /// Returns the document as indented JSON.
    ///
    /// Fields are in the order of the type definitions, and lists keep their order, so equal
    /// documents give equal texts.
    ///
    /// # Panics
    ///
    /// Never: serialisation fails only for keys that are not text, and a document has none.
    #[must_use]
    pub fn canonical_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(self).expect("a document has only text keys");
        text.push('\n');
        text
    }

    /// Returns the backend servers of a target, in the order that the document lists them.
    ///
    /// For a model target these are the backend servers of all its groups.
    #[must_use]
    pub fn backends_of<'a>(&'a self, target: &'a Target) -> Vec<&'a BackendServerId> {
        match target {
            Target::Model { groups } => {
                self.groups_of(groups).flat_map(|group| &group.backend_servers).collect()
            }
            Target::Service { backend_servers, .. } => backend_servers.iter().collect(),
        }
    }

    /// Returns the models that a target serves; empty for a service.
    ///
    /// All groups of a target serve the same models, so the first group's list is returned.
    #[must_use]
    pub fn models_of<'a>(&'a self, target: &'a Target) -> &'a [String] {
        match target {
            Target::Model { groups } => {
                self.groups_of(groups).next().map_or(&[], |group| &group.models)
            }
            Target::Service { .. } => &[],
        }
    }

    fn groups_of<'a>(&'a self, ids: &'a [ModelGroupId]) -> impl Iterator<Item = &'a ModelGroup> {
        ids.iter().filter_map(|id| self.group(id.as_str()))
    }

    /// Returns the model group with the given id.
    #[must_use]
    pub fn group(&self, id: &str) -> Option<&ModelGroup> {
        self.model_groups.iter().find(|group| group.id.as_str() == id)
    }

    /// Returns the backend server with the given id.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&BackendServer> {
        self.backend_servers.iter().find(|server| server.id.as_str() == id)
    }

    /// Returns the route with the given id.
    #[must_use]
    pub fn route(&self, id: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.id.as_str() == id)
    }

    /// Returns the tier with the given id.
    #[must_use]
    pub fn tier(&self, id: &str) -> Option<&Tier> {
        self.tiers.iter().find(|tier| tier.id.as_str() == id)
    }

    /// Returns the team that lists the given API key hash.
    #[must_use]
    pub fn team_by_key(&self, hash: &KeyHash) -> Option<&Team> {
        self.teams.iter().find(|team| team.key_hashes.contains(hash))
    }
}
