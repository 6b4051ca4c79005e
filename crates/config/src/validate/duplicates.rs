//! What must be distinct: names, tier ranks, key hashes, models and path prefixes.

use super::Rule;
use super::found::found_text;
use crate::document::{Document, KeyHash, ModelGroup, Target};
use crate::fault::Fault;
use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use std::hash::Hash;

/// Names and other identities occur once.
pub(crate) struct Duplicates;

impl Rule for Duplicates {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        check_ids(document, faults);
        check_tier_ranks(document, faults);
        check_key_hashes(document, faults);
        check_models(document, faults);
        check_members(document, faults);
        check_path_prefixes(document, faults);
        check_group_routes(document, faults);
    }
}

/// Identities met so far, each with the path where it stands.
struct Seen<'a, K> {
    paths: IndexMap<K, String>,
    faults: &'a mut Vec<Fault>,
}

impl<'a, K: Hash + Eq> Seen<'a, K> {
    fn new(faults: &'a mut Vec<Fault>) -> Self {
        Self { paths: IndexMap::new(), faults }
    }

    fn meet(&mut self, key: K, path: String, value: impl Into<String>) {
        match self.paths.entry(key) {
            Entry::Occupied(first) => {
                let allowed = format!("a value other than that of {}", first.get());
                self.faults.push(Fault::new(&path, value, allowed));
            }
            Entry::Vacant(place) => {
                place.insert(path);
            }
        }
    }
}

fn check_ids(document: &Document, faults: &mut Vec<Fault>) {
    let ids = document.failure_domains.iter().map(|domain| domain.id.as_str());
    check_list("failure_domains", ids, faults);
    check_list("tiers", document.tiers.iter().map(|tier| tier.id.as_str()), faults);
    check_list("teams", document.teams.iter().map(|team| team.id.as_str()), faults);
    let ids = document.backend_servers.iter().map(|server| server.id.as_str());
    check_list("backend_servers", ids, faults);
    check_list("model_groups", document.model_groups.iter().map(|group| group.id.as_str()), faults);
    check_list("routes", document.routes.iter().map(|route| route.id.as_str()), faults);
}

fn check_list<'a>(list: &str, ids: impl Iterator<Item = &'a str>, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, id) in ids.enumerate() {
        seen.meet(id, format!("{list}[{index}].id"), found_text(id));
    }
}

fn check_tier_ranks(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, tier) in document.tiers.iter().enumerate() {
        seen.meet(tier.rank, format!("tiers[{index}].rank"), tier.rank.to_string());
    }
}

fn check_key_hashes(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, team) in document.teams.iter().enumerate() {
        for (position, hash) in team.key_hashes.iter().enumerate() {
            seen.meet(hash, format!("teams[{index}].key_hashes[{position}]"), short(hash));
        }
    }
}

fn short(hash: &KeyHash) -> String {
    format!("{}…", hash.short())
}

/// A model belongs to the groups of one route: the others would never get its requests.
fn check_models(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, group) in document.model_groups.iter().enumerate() {
        let mut own = IndexSet::new();
        for (position, model) in group.models.iter().enumerate() {
            let is_repeated = !own.insert(model.as_str());
            if is_repeated || !follows_another(document, group) {
                let path = format!("model_groups[{index}].models[{position}]");
                seen.meet(model.as_str(), path, found_text(model));
            }
        }
    }
}

/// Whether a route names the group after another one, whose models it then shares.
fn follows_another(document: &Document, group: &ModelGroup) -> bool {
    document.routes.iter().any(|route| match &route.target {
        Target::Model { groups } => groups.iter().skip(1).any(|id| *id == group.id),
        Target::Service { .. } => false,
    })
}

/// A backend server holds ranks of one group at most, and each only once; a route names a backend
/// server once.
fn check_members(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, group) in document.model_groups.iter().enumerate() {
        for (position, id) in group.backend_servers.iter().enumerate() {
            let path = format!("model_groups[{index}].backend_servers[{position}]");
            seen.meet(id.as_str(), path, found_text(id.as_str()));
        }
    }
    for (index, route) in document.routes.iter().enumerate() {
        let Target::Service { backend_servers, .. } = &route.target else { continue };
        let mut seen = Seen::new(faults);
        for (position, id) in backend_servers.iter().enumerate() {
            let path = format!("routes[{index}].target.service.backend_servers[{position}]");
            seen.meet(id.as_str(), path, found_text(id.as_str()));
        }
    }
}

fn check_path_prefixes(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, route) in document.routes.iter().enumerate() {
        let Target::Service { path_prefix, .. } = &route.target else { continue };
        let path = format!("routes[{index}].target.service.path_prefix");
        seen.meet(path_prefix.as_str(), path, found_text(path_prefix));
    }
}

/// A request names its model, and the model its group: two routes to one group could not be told
/// apart.
fn check_group_routes(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen = Seen::new(faults);
    for (index, route) in document.routes.iter().enumerate() {
        let Target::Model { groups } = &route.target else { continue };
        for (position, group) in groups.iter().enumerate() {
            let path = format!("routes[{index}].target.model.groups[{position}]");
            seen.meet(group.as_str(), path, found_text(group.as_str()));
        }
    }
}
