//! Documents and instance lists of fleets of any size.

use hickorycross_config::{
    BackendKind, BackendServer, BackendServerId, Balance, Document, FailureDomain, FailureDomainId,
    ModelGroup, ModelGroupId, RegionId, Route, RouteId, SCHEMA_VERSION, Target, Team, TeamId,
    TeamLimit, Tier, TierId, hash_api_key,
};
use hickorycross_core::{Instance, InstanceId, InstanceState, Role};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Seven failure domains in three regions.
const REGION_OF_DOMAIN: [u32; 7] = [0, 0, 0, 1, 1, 2, 2];
const TIERS: u32 = 3;
const LINK_PORT: u16 = 7400;
/// Slots enough that no limit but the one under study binds.
const SLOTS: u32 = 1_024;
const REQUESTS_PER_S: u32 = 1_000_000;

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// Backend servers, all engines.
    pub backends: u32,
    /// Teams.
    pub teams: u32,
    /// Model groups; the backend servers are dealt out to them in turn.
    pub groups: u32,
    /// Requests that may wait beside a backend server.
    pub queue_slots: u32,
}

impl FleetShape {
    /// The model of a group, as callers name it.
    #[must_use]
    pub fn model(group: u32) -> String {
        format!("model-{group:02}")
    }

    /// The name of a backend server.
    #[must_use]
    pub fn backend(number: u32) -> BackendServerId {
        BackendServerId::new(&format!("runner-{number:03}"))
    }

    /// The API key of a team.
    #[must_use]
    pub fn key(team: u32) -> String {
        format!("example-key-{team}")
    }
}

/// The failure domain of a numbered instance.
fn domain(number: u32) -> FailureDomainId {
    FailureDomainId::new(&format!("domain-{}", number as usize % REGION_OF_DOMAIN.len()))
}

/// A valid document.
#[must_use]
pub fn document(shape: FleetShape) -> Document {
    let domains = REGION_OF_DOMAIN.iter().zip(0..).map(|(region, number)| FailureDomain {
        id: domain(number),
        region: RegionId::new(&format!("region-{region}")),
    });
    Document {
        schema_version: SCHEMA_VERSION,
        title: "Capacity".to_owned(),
        failure_domains: domains.collect(),
        tiers: (0..TIERS).map(tier).collect(),
        teams: (0..shape.teams).map(team).collect(),
        backend_servers: (0..shape.backends).map(|number| backend(shape, number)).collect(),
        model_groups: (0..shape.groups).map(|group| model_group(shape, group)).collect(),
        routes: (0..shape.groups).map(route).collect(),
        balance: Balance {
            skew_weight: 1.0,
            rebalance_cost_weight: 1.0,
            weight_store_bytes_per_s: 10_000_000_000,
        },
    }
}

fn tier_id(rank: u32) -> TierId {
    TierId::new(&format!("tier-{rank}"))
}

fn tier(rank: u32) -> Tier {
    Tier {
        id: tier_id(rank),
        rank: u8::try_from(rank).unwrap_or(u8::MAX),
        first_chunk_target_ms: 1_900,
        floor_permille: 0,
    }
}

fn team(number: u32) -> Team {
    Team {
        id: TeamId::new(&format!("team-{number:03}")),
        tier: tier_id(number % TIERS),
        key_hashes: vec![hash_api_key(&FleetShape::key(number))],
        limit: TeamLimit { requests_per_s: REQUESTS_PER_S, burst_requests: REQUESTS_PER_S },
    }
}

fn backend(shape: FleetShape, number: u32) -> BackendServer {
    BackendServer {
        id: FleetShape::backend(number),
        failure_domain: domain(number),
        kind: BackendKind::Engine,
        slots: SLOTS,
        queue_slots: shape.queue_slots,
        checks_fencing: true,
    }
}

/// At the design size 31 backend servers with 8 accelerators each, of one rank each.
fn model_group(shape: FleetShape, group: u32) -> ModelGroup {
    let members = (group..shape.backends).step_by(shape.groups as usize);
    ModelGroup {
        id: ModelGroupId::new(&format!("group-{group:02}")),
        models: vec![FleetShape::model(group)],
        weights_version: "w1".to_owned(),
        backend_servers: members.map(FleetShape::backend).collect(),
        ranks_per_server: 1,
        layers: 60,
        experts_per_layer: 256,
        expert_bytes: 40_000_000,
        expert_slots_per_rank: 256,
    }
}

fn route(group: u32) -> Route {
    Route {
        id: RouteId::new(&format!("route-{group:02}")),
        target: Target::Model { groups: vec![ModelGroupId::new(&format!("group-{group:02}"))] },
        idempotent: true,
        default_deadline_ms: 60_000,
        max_deadline_ms: 600_000,
        key_horizon_ms: 60_000,
        retry_budget_permille: 100,
    }
}

/// The instance list of a fleet, agents first.
#[must_use]
pub fn instances(shape: FleetShape, entries: u32) -> Vec<Instance> {
    let agents = (0..shape.backends).map(|number| {
        let role = Role::Agent { backend_server: FleetShape::backend(number) };
        instance(&format!("agent-{number:03}"), role, number)
    });
    let entries = (0..entries).map(|number| {
        instance(&format!("entry-{number:03}"), Role::Entry, shape.backends + number)
    });
    agents.chain(entries).collect()
}

fn instance(id: &str, role: Role, number: u32) -> Instance {
    let [.., third, fourth] = number.to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, third, fourth));
    Instance {
        id: InstanceId::new(id),
        role,
        link_address: SocketAddr::new(ip, LINK_PORT),
        failure_domain: domain(number),
        state: InstanceState::Live,
    }
}
