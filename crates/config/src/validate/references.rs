//! The rule that references between entities have an existing target.

use super::Rule;
use super::describe_value::describe_text;
use crate::document::{BackendKind, BackendServer, Document, Target};
use crate::fault::Fault;
use crate::ids::BackendServerId;
use indexmap::{IndexMap, IndexSet};

/// Requires that every id that refers to an entity belongs to one of the right kind.
pub(crate) struct References;

impl Rule for References {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        check_tiers(document, faults);
        check_failure_domains(document, faults);
        check_groups(document, faults);
        check_routes(document, faults);
    }
}

fn check_tiers(document: &Document, faults: &mut Vec<Fault>) {
    let tiers: IndexSet<&str> = document.tiers.iter().map(|tier| tier.id.as_str()).collect();
    for (index, team) in document.teams.iter().enumerate() {
        let path = format!("teams[{index}].tier");
        check_reference(&tiers, team.tier.as_str(), path, "an id of tiers", faults);
    }
}

fn check_failure_domains(document: &Document, faults: &mut Vec<Fault>) {
    let ids = document.failure_domains.iter().map(|domain| domain.id.as_str());
    let domains: IndexSet<&str> = ids.collect();
    for (index, server) in document.backend_servers.iter().enumerate() {
        let path = format!("backend_servers[{index}].failure_domain");
        let id = server.failure_domain.as_str();
        check_reference(&domains, id, path, "an id of failure_domains", faults);
    }
}

fn check_reference(
    known: &IndexSet<&str>,
    id: &str,
    path: String,
    allowed: &str,
    faults: &mut Vec<Fault>,
) {
    if !known.contains(id) {
        faults.push(Fault::new(&path, describe_text(id), allowed));
    }
}

fn check_groups(document: &Document, faults: &mut Vec<Fault>) {
    let servers = servers_by_id(document);
    for (index, group) in document.model_groups.iter().enumerate() {
        let path = format!("model_groups[{index}].backend_servers");
        check_kind(&servers, &group.backend_servers, BackendKind::Engine, &path, faults);
    }
}

fn check_routes(document: &Document, faults: &mut Vec<Fault>) {
    let servers = servers_by_id(document);
    let ids = document.model_groups.iter().map(|group| group.id.as_str());
    let groups: IndexSet<&str> = ids.collect();
    for (index, route) in document.routes.iter().enumerate() {
        match &route.target {
            Target::Model { groups: named } => {
                for (position, group) in named.iter().enumerate() {
                    let path = format!("routes[{index}].target.model.groups[{position}]");
                    check_reference(&groups, group.as_str(), path, "an id of model_groups", faults);
                }
            }
            Target::Service { backend_servers, .. } => {
                let path = format!("routes[{index}].target.service.backend_servers");
                check_kind(&servers, backend_servers, BackendKind::Service, &path, faults);
            }
        }
    }
}

fn servers_by_id(document: &Document) -> IndexMap<&str, &BackendServer> {
    document.backend_servers.iter().map(|server| (server.id.as_str(), server)).collect()
}

fn check_kind(
    servers: &IndexMap<&str, &BackendServer>,
    ids: &[BackendServerId],
    kind: BackendKind,
    list: &str,
    faults: &mut Vec<Fault>,
) {
    let allowed = match kind {
        BackendKind::Engine => "an id of backend_servers of kind engine",
        BackendKind::Service => "an id of backend_servers of kind service",
    };
    for (position, id) in ids.iter().enumerate() {
        let server = servers.get(id.as_str());
        if server.is_none_or(|server| server.kind != kind) {
            let path = format!("{list}[{position}]");
            faults.push(Fault::new(&path, describe_text(id.as_str()), allowed));
        }
    }
}
