//! Bounds of the document's fields.
//!
//! They are above the largest planned fleet (900 backend servers, 260 teams, 29 models, groups of
//! 32 ranks and 256 experts per layer) and reject values that can only be typing errors.
//!
//! Processes of different releases must accept the same documents: a process that rejects a
//! document that the others adopt stays on the old configuration. Changing a bound therefore
//! requires a new schema version.

/// Largest published document, in bytes: the size limit of one value in the configuration service.
pub(crate) const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Longest title, in characters.
pub(crate) const MAX_TITLE_CHARS: u32 = 200;
/// Most failure domains.
pub(crate) const MAX_FAILURE_DOMAINS: u32 = 64;
/// Most tiers.
pub(crate) const MAX_TIERS: u32 = 16;
/// Most teams.
pub(crate) const MAX_TEAMS: u32 = 2_000;
/// Most API keys of one team. Several keys allow a key to be rotated without an interruption.
pub(crate) const MAX_KEYS_PER_TEAM: u32 = 16;
/// Most backend servers.
pub(crate) const MAX_BACKEND_SERVERS: u32 = 4_096;
/// Most model groups.
pub(crate) const MAX_MODEL_GROUPS: u32 = 512;
/// Most model names of one group.
pub(crate) const MAX_MODELS_PER_GROUP: u32 = 64;
/// Most routes.
pub(crate) const MAX_ROUTES: u32 = 1_024;

/// Longest target time to the first chunk, in milliseconds: ten minutes.
pub(crate) const MAX_FIRST_CHUNK_TARGET_MS: u32 = 600_000;
/// Largest floor of one tier, in thousandths. The sum of all floors must be below
/// [`FULL_PERMILLE`].
pub(crate) const MAX_FLOOR_PERMILLE: u32 = 999;
/// All of a backend server's starts, in thousandths.
pub(crate) const FULL_PERMILLE: u32 = 1_000;

/// Highest rate of one team, in requests per second.
pub(crate) const MAX_REQUESTS_PER_S: u32 = 1_000_000;
/// Largest burst of one team, in requests.
pub(crate) const MAX_BURST_REQUESTS: u32 = 1_000_000;

/// Most requests that one backend server runs at once.
pub(crate) const MAX_SLOTS: u32 = 65_536;
/// Most requests that may be queued at one backend server. Zero means no queue.
pub(crate) const MAX_QUEUE_SLOTS: u32 = 65_536;

/// Most ranks of one group, over all its backend servers.
pub(crate) const MAX_RANKS_PER_GROUP: u32 = 32;
/// Most layers with experts.
pub(crate) const MAX_LAYERS: u32 = 256;
/// Most experts per layer.
pub(crate) const MAX_EXPERTS_PER_LAYER: u32 = 1_024;
/// Largest weights of one expert in one layer, in bytes: 64 GiB.
pub(crate) const MAX_EXPERT_BYTES: u64 = 64 << 30;
/// Most experts of one layer on one rank.
pub(crate) const MAX_EXPERT_SLOTS_PER_RANK: u32 = 1_024;

/// Shortest deadline, in milliseconds from arrival. A shorter one would pass before a round trip
/// across a region ends.
pub(crate) const MIN_DEADLINE_MS: u32 = 10;
/// Longest deadline, in milliseconds from arrival: one hour.
pub(crate) const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Shortest retention of an idempotency key, in milliseconds.
pub(crate) const MIN_KEY_HORIZON_MS: u32 = 100;
/// Longest retention of an idempotency key, in milliseconds: one day.
pub(crate) const MAX_KEY_HORIZON_MS: u32 = 86_400_000;
/// Largest retry budget, in thousandths of first attempts. A larger one could double the load while
/// the fleet is overloaded.
pub(crate) const MAX_RETRY_BUDGET_PERMILLE: u32 = 500;
/// Longest path prefix, in characters.
pub(crate) const MAX_PATH_PREFIX_CHARS: u32 = 256;

/// Largest weight of skew and of rebalancing cost.
pub(crate) const MAX_WEIGHT: u32 = 100;
/// Highest rate of the weight store, in bytes per second.
pub(crate) const MAX_WEIGHT_STORE_BYTES_PER_S: u64 = 10_000_000_000_000;
