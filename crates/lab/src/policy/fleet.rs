//! The small fleet that the measurements run on.

use hickorycross_config::{
    BackendKind, BackendServer, BackendServerId, Balance, Document, FailureDomain, FailureDomainId,
    RegionId, Route, RouteId, SCHEMA_VERSION, Target, Team, TeamId, TeamLimit, Tier, TierId,
};

/// Moment at which every run begins.
pub(crate) const START_MS: u64 = 1_000_000;

/// Failure domains.
pub(crate) const DOMAINS: usize = 3;

/// Backend servers, spread evenly over the failure domains.
pub(crate) const BACKENDS: usize = 12;

/// Requests that one backend server runs at once.
pub(crate) const SLOTS: u32 = 8;

/// Requests that may wait beside it.
pub(crate) const QUEUE_SLOTS: u32 = 32;

/// Mean time that one request occupies a slot.
pub(crate) const SERVICE_MS: f64 = 400.0;

/// Entries of the ordinary runs.
pub(crate) const ENTRIES: usize = 6;

/// The only route.
pub(crate) const ROUTE: &str = "case-service";

/// Further tries that the route allows, in thousandths of first ones.
const RETRY_BUDGET_PERMILLE: u16 = 50;

/// One tier of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TierPlan {
    /// Its name.
    pub(crate) name: &'static str,
    /// Time from arrival to the deadline of its requests.
    pub(crate) allowed_ms: u64,
    /// Share of starts that it keeps under strain.
    pub(crate) floor_permille: u16,
}

/// Tiers by rank.
pub(crate) const TIERS: [TierPlan; 3] = [
    TierPlan { name: "first", allowed_ms: 2_000, floor_permille: 0 },
    TierPlan { name: "second", allowed_ms: 4_000, floor_permille: 0 },
    TierPlan { name: "third", allowed_ms: 10_000, floor_permille: 50 },
];

/// One team of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamPlan {
    /// Its name.
    pub(crate) name: &'static str,
    /// Rank of its tier.
    pub(crate) rank: u8,
    /// Its part of all requests, in thousandths.
    pub(crate) permille: u32,
}

/// Ten teams, a few of them large; a quarter of the work is of the first tier.
pub(crate) const TEAMS: [TeamPlan; 10] = [
    TeamPlan { name: "teachers", rank: 0, permille: 100 },
    TeamPlan { name: "engineers", rank: 0, permille: 110 },
    TeamPlan { name: "wardens", rank: 0, permille: 40 },
    TeamPlan { name: "clerks", rank: 1, permille: 220 },
    TeamPlan { name: "reviewers", rank: 1, permille: 80 },
    TeamPlan { name: "surveyors", rank: 1, permille: 50 },
    TeamPlan { name: "applicants", rank: 2, permille: 280 },
    TeamPlan { name: "readers", rank: 2, permille: 70 },
    TeamPlan { name: "archive", rank: 2, permille: 30 },
    TeamPlan { name: "trial", rank: 2, permille: 20 },
];

/// Requests a second that all backend servers together can serve.
#[must_use]
pub(crate) fn capacity_per_s() -> f64 {
    BACKENDS as f64 * f64::from(SLOTS) * 1000.0 / SERVICE_MS
}

/// Requests a second of a team when offered load equals capacity.
pub(crate) fn team_rate_per_s(team: usize) -> f64 {
    capacity_per_s() * f64::from(TEAMS[team].permille) / 1000.0
}

/// Failure domain of the backend server or entry with this index.
pub(crate) const fn domain_of(index: usize) -> usize {
    index % DOMAINS
}

/// Name of a failure domain.
pub(crate) fn domain_id(domain: usize) -> FailureDomainId {
    FailureDomainId::new(&format!("domain-{domain}"))
}

/// Name of a backend server.
pub(crate) fn backend_id(backend: usize) -> BackendServerId {
    BackendServerId::new(&format!("runner-{backend:02}"))
}

/// Name of a team.
pub(crate) fn team_id(team: usize) -> TeamId {
    TeamId::new(TEAMS[team].name)
}

/// Builds the document; each team's limit is `limit_factor` times its rate at full load.
pub(crate) fn document(limit_factors: &[f64; TEAMS.len()]) -> Document {
    Document {
        schema_version: SCHEMA_VERSION,
        title: "policy measurement".to_owned(),
        failure_domains: (0..DOMAINS).map(failure_domain).collect(),
        tiers: TIERS.iter().enumerate().map(|(rank, plan)| tier(rank, plan)).collect(),
        teams: (0..TEAMS.len()).map(|team| team_of(team, limit_factors[team])).collect(),
        backend_servers: (0..BACKENDS).map(backend_server).collect(),
        model_groups: Vec::new(),
        routes: vec![route()],
        balance: Balance {
            skew_weight: 1.0,
            rebalance_cost_weight: 1.0,
            weight_store_bytes_per_s: 1,
        },
    }
}

fn failure_domain(domain: usize) -> FailureDomain {
    FailureDomain { id: domain_id(domain), region: RegionId::new("region") }
}

fn tier(rank: usize, plan: &TierPlan) -> Tier {
    Tier {
        id: TierId::new(plan.name),
        rank: rank as u8,
        first_chunk_target_ms: plan.allowed_ms as u32,
        floor_permille: plan.floor_permille,
    }
}

fn team_of(team: usize, limit_factor: f64) -> Team {
    let requests_per_s = (team_rate_per_s(team) * limit_factor).round().max(1.0) as u32;
    Team {
        id: team_id(team),
        tier: TierId::new(TIERS[TEAMS[team].rank as usize].name),
        key_hashes: Vec::new(),
        limit: TeamLimit { requests_per_s, burst_requests: requests_per_s },
    }
}

fn backend_server(backend: usize) -> BackendServer {
    BackendServer {
        id: backend_id(backend),
        failure_domain: domain_id(domain_of(backend)),
        kind: BackendKind::Service,
        slots: SLOTS,
        queue_slots: QUEUE_SLOTS,
        checks_fencing: false,
    }
}

fn route() -> Route {
    Route {
        id: RouteId::new(ROUTE),
        target: Target::Service {
            path_prefix: "/cases/".to_owned(),
            backend_servers: (0..BACKENDS).map(backend_id).collect(),
        },
        idempotent: true,
        default_deadline_ms: 10_000,
        max_deadline_ms: 10_000,
        key_horizon_ms: 0,
        retry_budget_permille: RETRY_BUDGET_PERMILLE,
    }
}
