//! A fleet on loopback for the demo and for tests: stand-ins of the platform and of every backend
//! server of a document, and the settings of the processes around them.
//!
//! Each instance has a loopback address of its own, so that fixed ports never meet.

use crate::settings::Settings as EntrySettings;
use hickorycross_agent::Settings as AgentSettings;
use hickorycross_config::{BackendKind, BackendServer, Document, FailureDomainId, ModelGroup};
use hickorycross_core::{Instance, InstanceId, InstanceState, Role};
use hickorycross_runtime::security::LinkSecurity;
use hickorycross_standins::{
    EngineOptions, EngineStandIn, GroupClock, GroupOptions, Knobs, PlatformStandIn, RankOptions,
    ServiceStandIn,
};
use indexmap::IndexMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port of links on every instance.
const LINK_PORT: u16 = 7400;
/// Port of operators on every instance.
const OPERATOR_PORT: u16 = 7401;
/// Port of the guard on every agent's instance.
const GUARD_PORT: u16 = 7402;
/// Port of callers on every entry's instance.
const CALLER_PORT: u16 = 7480;
/// Instances are numbered within two bytes of a loopback address.
const FIRST_ENTRY: u8 = 200;

/// The stand-in of one backend server.
#[derive(Debug)]
pub enum BackendStandIn {
    /// A model engine.
    Engine(EngineStandIn),
    /// A plain service.
    Service(ServiceStandIn),
}

impl BackendStandIn {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        }
    }
}

/// What is set about a stage.
#[derive(Clone, Debug)]
pub struct StageOptions {
    /// The document as published.
    pub document: String,
    /// Entries to make settings for, one failure domain after the other.
    pub entries: u8,
    /// Second and third byte of the loopback addresses, so that stages side by side do not meet.
    pub network: [u8; 2],
    /// Knobs of every stand-in at the start; slots follow the document.
    pub knobs: Knobs,
    /// How engines step; without it they answer without waiting for one another.
    pub lock_step: Option<LockStep>,
    /// Log levels of the processes.
    pub log_filter: String,
}

/// How the groups of a stage step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LockStep {
    /// Time of a step in which every rank has the same work.
    pub even_step_us: u64,
    /// Steps over which load is reported.
    pub window_steps: u64,
    /// Time to load one expert of one layer.
    pub expert_load_us: u64,
}

/// Stand-ins that run, and settings of the processes that belong to them.
#[derive(Debug)]
pub struct Stage {
    /// The platform.
    pub platform: PlatformStandIn,
    /// Clocks of the model groups, by name; empty without lock-step.
    pub groups: IndexMap<String, GroupClock>,
    /// Stand-ins by the name of their backend server.
    pub backends: IndexMap<String, BackendStandIn>,
    /// Settings of the agents, in document order.
    pub agents: Vec<AgentSettings>,
    /// Settings of the entries.
    pub entries: Vec<EntrySettings>,
    /// The instance list, as published.
    pub instances: Vec<Instance>,
}

/// Why a stage cannot be set up.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StageError {
    /// The document does not validate.
    #[error("the document has faults: {0}")]
    Document(String),
    /// A stand-in does not start.
    #[error("a stand-in does not start: {0}")]
    StandIn(#[from] std::io::Error),
}

impl Stage {
    /// Starts the stand-ins and publishes the document and the instance list.
    ///
    /// # Errors
    ///
    /// When the document has faults or a stand-in does not start.
    pub async fn set_up(options: &StageOptions) -> Result<Self, StageError> {
        let document = parse(&options.document)?;
        let platform = PlatformStandIn::start().await?;
        let platform_url = format!("http://{}", platform.address());
        let groups = start_groups(&document, options.lock_step);
        let mut backends = IndexMap::new();
        let mut agents = Vec::new();
        for (number, server) in (1..).zip(&document.backend_servers) {
            let stand_in = start_backend(&document, server, options, &groups).await?;
            let place = Place { network: options.network, number };
            agents.push(agent_settings(server, &stand_in, &platform_url, place, options));
            backends.insert(server.id.as_str().to_owned(), stand_in);
        }
        let entries = (0..options.entries)
            .map(|index| entry_settings(&document, &platform_url, index, options))
            .collect::<Vec<_>>();
        let instances = instances(&agents, &entries);
        platform
            .publish(&options.document)
            .map_err(|error| StageError::Document(error.to_string()))?;
        platform.set_instances(instances.clone());
        Ok(Self { platform, groups, backends, agents, entries, instances })
    }
}

fn parse(document: &str) -> Result<Document, StageError> {
    hickorycross_config::parse(document.as_bytes()).map_err(|faults| {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        StageError::Document(faults.join("; "))
    })
}

fn start_groups(document: &Document, lock_step: Option<LockStep>) -> IndexMap<String, GroupClock> {
    let Some(lock_step) = lock_step else {
        return IndexMap::new();
    };
    let start = |group: &ModelGroup| {
        let clock = GroupClock::start(GroupOptions {
            ranks: ranks(group, group.backend_servers.len()),
            layers: group.layers,
            experts: group.experts_per_layer,
            even_step_us: lock_step.even_step_us,
            window_steps: lock_step.window_steps,
            ..GroupOptions::default()
        });
        (group.id.as_str().to_owned(), clock)
    };
    document.model_groups.iter().map(start).collect()
}

/// Ranks on the first so many backend servers of a group.
fn ranks(group: &ModelGroup, servers: usize) -> u16 {
    u16::try_from(servers).unwrap_or(u16::MAX).saturating_mul(group.ranks_per_server)
}

async fn start_backend(
    document: &Document,
    server: &BackendServer,
    options: &StageOptions,
    groups: &IndexMap<String, GroupClock>,
) -> std::io::Result<BackendStandIn> {
    let knobs = Knobs { slots: server.slots, ..options.knobs };
    if server.kind == BackendKind::Service {
        return ServiceStandIn::start(knobs).await.map(BackendStandIn::Service);
    }
    let group = document.model_groups.iter().find(|one| one.backend_servers.contains(&server.id));
    let models = group.map(|group| group.models.clone()).unwrap_or_default();
    let ranks = group.and_then(|group| rank_options(group, server, options.lock_step, groups));
    EngineStandIn::start(EngineOptions { models, knobs, ranks }).await.map(BackendStandIn::Engine)
}

fn rank_options(
    group: &ModelGroup,
    server: &BackendServer,
    lock_step: Option<LockStep>,
    groups: &IndexMap<String, GroupClock>,
) -> Option<RankOptions> {
    let place = group.backend_servers.iter().position(|id| *id == server.id)?;
    Some(RankOptions {
        group: groups.get(group.id.as_str())?.clone(),
        first_rank: ranks(group, place),
        rank_count: group.ranks_per_server,
        checks_fencing: server.checks_fencing,
        expert_load_us: lock_step?.expert_load_us,
    })
}

/// Where an instance stands on the loopback network.
#[derive(Clone, Copy)]
struct Place {
    network: [u8; 2],
    number: u8,
}

impl Place {
    fn address(self, port: u16) -> SocketAddr {
        let [second, third] = self.network;
        let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, self.number));
        SocketAddr::new(ip, port)
    }
}

fn agent_settings(
    server: &BackendServer,
    stand_in: &BackendStandIn,
    platform_url: &str,
    place: Place,
    options: &StageOptions,
) -> AgentSettings {
    AgentSettings {
        instance: InstanceId::new(&format!("agent-of-{}", server.id)),
        failure_domain: server.failure_domain.clone(),
        backend_server: server.id.clone(),
        link_address: place.address(LINK_PORT),
        operator_address: place.address(OPERATOR_PORT),
        guard_address: place.address(GUARD_PORT),
        backend_url: format!("http://{}", stand_in.address()),
        health_path: "/health".to_owned(),
        platform_url: platform_url.to_owned(),
        link_security: LinkSecurity::DevelopmentUnauthenticated,
        log_filter: options.log_filter.clone(),
    }
}

fn entry_settings(
    document: &Document,
    platform_url: &str,
    index: u8,
    options: &StageOptions,
) -> EntrySettings {
    let place = Place { network: options.network, number: FIRST_ENTRY + index };
    let domains = &document.failure_domains;
    let failure_domain = domains
        .get(usize::from(index) % domains.len().max(1))
        .map_or_else(|| FailureDomainId::new("none"), |domain| domain.id.clone());
    EntrySettings {
        instance: InstanceId::new(&format!("entry-{}", index + 1)),
        failure_domain,
        caller_address: place.address(CALLER_PORT),
        operator_address: place.address(OPERATOR_PORT),
        platform_url: platform_url.to_owned(),
        link_security: LinkSecurity::DevelopmentUnauthenticated,
        caller_tls: None,
        body_limit_bytes: 1024 * 1024,
        body_timeout_ms: 20_000,
        balancer_notice_ms: 3_000,
        open_requests: 8192,
        operators: Vec::new(),
        log_filter: options.log_filter.clone(),
    }
}

fn instances(agents: &[AgentSettings], entries: &[EntrySettings]) -> Vec<Instance> {
    let agents = agents.iter().map(|agent| Instance {
        id: agent.instance.clone(),
        role: Role::Agent { backend_server: agent.backend_server.clone() },
        link_address: agent.link_address,
        failure_domain: agent.failure_domain.clone(),
        state: InstanceState::Live,
    });
    let entries = entries.iter().map(|entry| Instance {
        id: entry.instance.clone(),
        role: Role::Entry,
        link_address: entry.caller_address,
        failure_domain: entry.failure_domain.clone(),
        state: InstanceState::Live,
    });
    agents.chain(entries).collect()
}
