//! The rule that ids, tier ranks, key hashes, models, path prefixes and references are unique.

use super::Rule;
use super::describe_value::describe_text;
use crate::document::{Document, KeyHash, ModelGroup, Target};
use crate::fault::Fault;
use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use std::hash::Hash;

/// Requires that each id and each other identifying value occurs once.
pub(crate) struct Duplicates;

impl Rule for Duplicates {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        check_ids(document, faults);
        check_tier_ranks(document, faults);
        check_key_hashes(document, faults);
        check_models(document, faults);
        check_backend_servers(document, faults);
        check_path_prefixes(document, faults);
        check_group_routes(document, faults);
    }
}

/// The values found so far, each with the path of its first occurrence.
struct UniqueValues<'a, K> {
    paths: IndexMap<K, String>,
    faults: &'a mut Vec<Fault>,
}

impl<'a, K: Hash + Eq> UniqueValues<'a, K> {
    fn new(faults: &'a mut Vec<Fault>) -> Self {
        Self { paths: IndexMap::new(), faults }
    }

    /// Records a value, or adds a fault if it was recorded before.
    fn insert(&mut self, key: K, path: String, value: impl Into<String>) {
        match self.paths.entry(key) {
            Entry::Occupied(first) => {
                let allowed = format!("a value other than that of {}", first.get());
                self.faults.push(Fault::new(&path, value, allowed));
            }
            Entry::Vacant(vacant) => {
                vacant.insert(path);
            }
        }
    }
}

fn check_ids(document: &Document, faults: &mut Vec<Fault>) {
    let ids = document.failure_domains.iter().map(|domain| domain.id.as_str());
    check_ids_of_list("failure_domains", ids, faults);
    check_ids_of_list("tiers", document.tiers.iter().map(|tier| tier.id.as_str()), faults);
    check_ids_of_list("teams", document.teams.iter().map(|team| team.id.as_str()), faults);
    let ids = document.backend_servers.iter().map(|server| server.id.as_str());
    check_ids_of_list("backend_servers", ids, faults);
    check_ids_of_list(
        "model_groups",
        document.model_groups.iter().map(|group| group.id.as_str()),
        faults,
    );
    check_ids_of_list("routes", document.routes.iter().map(|route| route.id.as_str()), faults);
}

fn check_ids_of_list<'a>(list: &str, ids: impl Iterator<Item = &'a str>, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, id) in ids.enumerate() {
        unique.insert(id, format!("{list}[{index}].id"), describe_text(id));
    }
}

fn check_tier_ranks(document: &Document, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, tier) in document.tiers.iter().enumerate() {
        unique.insert(tier.rank, format!("tiers[{index}].rank"), tier.rank.to_string());
    }
}

fn check_key_hashes(document: &Document, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, team) in document.teams.iter().enumerate() {
        for (position, hash) in team.key_hashes.iter().enumerate() {
            unique.insert(
                hash,
                format!("teams[{index}].key_hashes[{position}]"),
                describe_hash(hash),
            );
        }
    }
}

fn describe_hash(hash: &KeyHash) -> String {
    format!("{}…", hash.short())
}

/// Requires that a model is served by the groups of one route only, because no other route would
/// receive its requests.
///
/// The groups of one route share their models. Of these groups only the first is compared with
/// other routes' groups; the later ones are checked for repeats within their own list.
fn check_models(document: &Document, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, group) in document.model_groups.iter().enumerate() {
        let mut models_of_group = IndexSet::new();
        for (position, model) in group.models.iter().enumerate() {
            let is_repeated = !models_of_group.insert(model.as_str());
            if is_repeated || !is_later_group_of_route(document, group) {
                let path = format!("model_groups[{index}].models[{position}]");
                unique.insert(model.as_str(), path, describe_text(model));
            }
        }
    }
}

/// Returns whether a route lists the group after another one, with which it shares its models.
fn is_later_group_of_route(document: &Document, group: &ModelGroup) -> bool {
    document.routes.iter().any(|route| match &route.target {
        Target::Model { groups } => groups.iter().skip(1).any(|id| *id == group.id),
        Target::Service { .. } => false,
    })
}

/// Requires that a backend server is listed once over all model groups, and once within a route.
fn check_backend_servers(document: &Document, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, group) in document.model_groups.iter().enumerate() {
        for (position, id) in group.backend_servers.iter().enumerate() {
            let path = format!("model_groups[{index}].backend_servers[{position}]");
            unique.insert(id.as_str(), path, describe_text(id.as_str()));
        }
    }
    for (index, route) in document.routes.iter().enumerate() {
        let Target::Service { backend_servers, .. } = &route.target else { continue };
        let mut unique = UniqueValues::new(faults);
        for (position, id) in backend_servers.iter().enumerate() {
            let path = format!("routes[{index}].target.service.backend_servers[{position}]");
            unique.insert(id.as_str(), path, describe_text(id.as_str()));
        }
    }
}

fn check_path_prefixes(document: &Document, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, route) in document.routes.iter().enumerate() {
        let Target::Service { path_prefix, .. } = &route.target else { continue };
        let path = format!("routes[{index}].target.service.path_prefix");
        unique.insert(path_prefix.as_str(), path, describe_text(path_prefix));
    }
}

/// Requires that a group is listed by one route only. A request carries a model name, which selects
/// the group, so two routes to the same group could not be distinguished.
fn check_group_routes(document: &Document, faults: &mut Vec<Fault>) {
    let mut unique = UniqueValues::new(faults);
    for (index, route) in document.routes.iter().enumerate() {
        let Target::Model { groups } = &route.target else { continue };
        for (position, group) in groups.iter().enumerate() {
            let path = format!("routes[{index}].target.model.groups[{position}]");
            unique.insert(group.as_str(), path, describe_text(group.as_str()));
        }
    }
}
