//! Warnings about the effect of a change on callers and running work, for an operator to confirm.

use crate::diff::Entity;
use crate::document::{Document, ModelGroup, Route, Target, Team};
use crate::ids::{BackendServerId, FailureDomainId, ModelGroupId, RouteId, TeamId, TierId};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A limit of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitField {
    /// The rate of accepted requests, in requests per second.
    RequestsPerS,
    /// The number of requests that may arrive at once before the rate applies.
    BurstRequests,
}

impl fmt::Display for LimitField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RequestsPerS => "requests_per_s",
            Self::BurstRequests => "burst_requests",
        })
    }
}

/// One effect of a change that takes capacity or access from callers or stops running work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warning {
    /// A failure domain was removed.
    FailureDomainRemoved {
        /// The failure domain.
        failure_domain: FailureDomainId,
        /// Number of backend servers in it before the change.
        backend_servers: usize,
    },
    /// A team was removed; its callers are refused.
    TeamRemoved {
        /// The team.
        team: TeamId,
    },
    /// An API key was removed; callers that still use it are refused.
    KeyRemoved {
        /// The team.
        team: TeamId,
        /// First 8 digits of the key's hash.
        key_hash: String,
    },
    /// A limit of a team was lowered.
    LimitLowered {
        /// The team.
        team: TeamId,
        /// The limit that was lowered.
        limit: LimitField,
        /// The limit before.
        old: u32,
        /// The limit after.
        new: u32,
    },
    /// A team's tier now has a lower priority (a higher rank number), so its requests wait longer
    /// under load. The team has moved to another tier, or the rank of its tier has changed.
    TeamDemoted {
        /// The team.
        team: TeamId,
        /// Its tier before.
        old_tier: TierId,
        /// Its tier after.
        new_tier: TierId,
        /// The tier's rank before.
        old_rank: u8,
        /// The tier's rank after.
        new_rank: u8,
    },
    /// A backend server that a group or a route used was removed.
    BackendServerRemoved {
        /// The backend server.
        backend_server: BackendServerId,
        /// The groups and routes that used it.
        used_by: Vec<Entity>,
    },
    /// A model group was removed; requests for its models are refused.
    GroupRemoved {
        /// The group.
        group: ModelGroupId,
    },
    /// A model group has fewer ranks.
    RanksLowered {
        /// The group.
        group: ModelGroupId,
        /// Ranks before.
        old: u64,
        /// Ranks after.
        new: u64,
    },
    /// All backend servers of a model group were replaced; it runs no steps until the new ones have
    /// loaded the weights.
    GroupWithoutRunner {
        /// The group.
        group: ModelGroupId,
    },
    /// A route was removed; requests for it are refused.
    RouteRemoved {
        /// The route.
        route: RouteId,
    },
    /// A route became idempotent: its requests ran at most once and may now run more than once.
    BecomesIdempotent {
        /// The route.
        route: RouteId,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FailureDomainRemoved { failure_domain, backend_servers } => write!(
                f,
                "failure domain {failure_domain}: removed, {backend_servers} backend servers \
                 stood in it"
            ),
            Self::TeamRemoved { team } => {
                write!(f, "team {team}: removed, its callers will be refused")
            }
            Self::KeyRemoved { team, key_hash } => write!(
                f,
                "team {team}: key {key_hash} removed, callers that use it will be refused"
            ),
            Self::LimitLowered { team, limit, old, new } => {
                write!(f, "team {team}: limit.{limit} lowered from {old} to {new}")
            }
            Self::TeamDemoted { team, old_tier, new_tier, old_rank, new_rank } => write!(
                f,
                "team {team}: demoted from tier {old_tier}, rank {old_rank}, to tier {new_tier}, \
                 rank {new_rank}"
            ),
            Self::BackendServerRemoved { backend_server, used_by } => {
                let users: Vec<String> = used_by.iter().map(ToString::to_string).collect();
                let users = users.join(", ");
                write!(f, "backend server {backend_server}: removed, in use by {users}")
            }
            Self::GroupRemoved { group } => {
                write!(f, "model group {group}: removed, requests for its models will be refused")
            }
            Self::RanksLowered { group, old, new } => {
                write!(f, "model group {group}: ranks lowered from {old} to {new}")
            }
            Self::GroupWithoutRunner { group } => write!(
                f,
                "model group {group}: none of its backend servers stays, it will stop until the \
                 new ones have loaded"
            ),
            Self::RouteRemoved { route } => {
                write!(f, "route {route}: removed, requests for it will be refused")
            }
            Self::BecomesIdempotent { route } => {
                write!(f, "route {route}: becomes idempotent, its requests may run more than once")
            }
        }
    }
}

/// Returns the warnings about publishing `new` in place of `old`.
#[must_use]
pub fn warnings(old: &Document, new: &Document) -> Vec<Warning> {
    let mut warnings = Vec::new();
    warn_of_failure_domains(old, new, &mut warnings);
    warn_of_teams(old, new, &mut warnings);
    warn_of_backend_servers(old, new, &mut warnings);
    warn_of_groups(old, new, &mut warnings);
    warn_of_routes(old, new, &mut warnings);
    warnings
}

fn warn_of_failure_domains(old: &Document, new: &Document, warnings: &mut Vec<Warning>) {
    let kept: IndexSet<&FailureDomainId> =
        new.failure_domains.iter().map(|domain| &domain.id).collect();
    for domain in old.failure_domains.iter().filter(|domain| !kept.contains(&domain.id)) {
        let is_in_domain = |failure_domain: &FailureDomainId| *failure_domain == domain.id;
        let servers =
            old.backend_servers.iter().filter(|server| is_in_domain(&server.failure_domain));
        let failure_domain = domain.id.clone();
        let backend_servers = servers.count();
        warnings.push(Warning::FailureDomainRemoved { failure_domain, backend_servers });
    }
}

fn warn_of_teams(old: &Document, new: &Document, warnings: &mut Vec<Warning>) {
    let kept: IndexMap<&TeamId, &Team> = new.teams.iter().map(|team| (&team.id, team)).collect();
    for team in &old.teams {
        let Some(new_team) = kept.get(&team.id) else {
            warnings.push(Warning::TeamRemoved { team: team.id.clone() });
            continue;
        };
        warn_of_keys(team, new_team, warnings);
        warn_of_limits(team, new_team, warnings);
        warnings.extend(demotion_warning(old, team, new, new_team));
    }
}

fn warn_of_keys(old: &Team, new: &Team, warnings: &mut Vec<Warning>) {
    for hash in old.key_hashes.iter().filter(|hash| !new.key_hashes.contains(hash)) {
        warnings.push(Warning::KeyRemoved { team: old.id.clone(), key_hash: hash.short() });
    }
}

fn warn_of_limits(old: &Team, new: &Team, warnings: &mut Vec<Warning>) {
    let limits = [
        (LimitField::RequestsPerS, old.limit.requests_per_s, new.limit.requests_per_s),
        (LimitField::BurstRequests, old.limit.burst_requests, new.limit.burst_requests),
    ];
    for (limit, old_limit, new_limit) in limits {
        if new_limit < old_limit {
            let team = old.id.clone();
            warnings.push(Warning::LimitLowered { team, limit, old: old_limit, new: new_limit });
        }
    }
}

fn demotion_warning(
    old: &Document,
    team: &Team,
    new: &Document,
    new_team: &Team,
) -> Option<Warning> {
    let old_rank = old.tier(team.tier.as_str())?.rank;
    let new_rank = new.tier(new_team.tier.as_str())?.rank;
    (new_rank > old_rank).then(|| Warning::TeamDemoted {
        team: team.id.clone(),
        old_tier: team.tier.clone(),
        new_tier: new_team.tier.clone(),
        old_rank,
        new_rank,
    })
}

fn warn_of_backend_servers(old: &Document, new: &Document, warnings: &mut Vec<Warning>) {
    let kept: IndexSet<&BackendServerId> =
        new.backend_servers.iter().map(|server| &server.id).collect();
    for server in old.backend_servers.iter().filter(|server| !kept.contains(&server.id)) {
        let used_by = users_of(old, &server.id);
        if !used_by.is_empty() {
            let backend_server = server.id.clone();
            warnings.push(Warning::BackendServerRemoved { backend_server, used_by });
        }
    }
}

fn users_of(document: &Document, server: &BackendServerId) -> Vec<Entity> {
    let groups = document.model_groups.iter();
    let groups = groups.filter(|group| group.backend_servers.contains(server));
    let groups = groups.map(|group| Entity::ModelGroup(group.id.clone()));
    let routes = document.routes.iter().filter(|route| names_backend_server(route, server));
    groups.chain(routes.map(|route| Entity::Route(route.id.clone()))).collect()
}

/// Returns whether a route lists a backend server directly, not through a model group.
fn names_backend_server(route: &Route, server: &BackendServerId) -> bool {
    match &route.target {
        Target::Service { backend_servers, .. } => backend_servers.contains(server),
        Target::Model { .. } => false,
    }
}

fn warn_of_groups(old: &Document, new: &Document, warnings: &mut Vec<Warning>) {
    for group in &old.model_groups {
        match new.group(group.id.as_str()) {
            Some(new_group) => warn_of_group_servers(group, new_group, warnings),
            None => warnings.push(Warning::GroupRemoved { group: group.id.clone() }),
        }
    }
}

fn warn_of_group_servers(old: &ModelGroup, new: &ModelGroup, warnings: &mut Vec<Warning>) {
    if new.ranks() < old.ranks() {
        let group = old.id.clone();
        warnings.push(Warning::RanksLowered { group, old: old.ranks(), new: new.ranks() });
    }
    if !old.backend_servers.iter().any(|server| new.backend_servers.contains(server)) {
        warnings.push(Warning::GroupWithoutRunner { group: old.id.clone() });
    }
}

fn warn_of_routes(old: &Document, new: &Document, warnings: &mut Vec<Warning>) {
    for route in &old.routes {
        match new.route(route.id.as_str()) {
            None => warnings.push(Warning::RouteRemoved { route: route.id.clone() }),
            Some(new_route) if new_route.idempotent && !route.idempotent => {
                warnings.push(Warning::BecomesIdempotent { route: route.id.clone() });
            }
            Some(_) => {}
        }
    }
}
