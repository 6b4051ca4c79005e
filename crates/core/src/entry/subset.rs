//! The stable subset of a route's backend servers that one entry uses.
//!
//! A full mesh of 400 entries and 900 agents would spend the control budget on heartbeats alone.
//! Rendezvous hashing over the entry's incarnation gives each entry its own subset, so that all
//! agents get about the same number of entries, and moves only one member when one goes away.

use crate::entry::constants::SUBSET_SIZE;
use crate::ids::Incarnation;
use hickorycross_config::{BackendServerId, FailureDomainId, RegionId};
use indexmap::IndexMap;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One backend server that may be a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligible<'a> {
    pub(super) backend_server: &'a BackendServerId,
    pub(super) failure_domain: &'a FailureDomainId,
    pub(super) region: Option<&'a RegionId>,
}

/// Where the entry stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place<'a> {
    pub(super) incarnation: Incarnation,
    pub(super) failure_domain: &'a FailureDomainId,
    pub(super) region: Option<&'a RegionId>,
}

/// Picks the members: round robin over failure domains, the entry's own first, then those of its
/// region, and by rendezvous hash within each.
pub(super) fn subset(place: Place<'_>, eligible: &[Eligible<'_>]) -> Vec<BackendServerId> {
    let mut domains = by_domain(place, eligible);
    domains.sort_by_cached_key(|domain| distance(place, domain));
    let deepest = domains.iter().map(Vec::len).max().unwrap_or(0);
    let rounds = (0..deepest).flat_map(|round| domains.iter().filter_map(move |d| d.get(round)));
    rounds.take(SUBSET_SIZE).map(|one| one.backend_server.clone()).collect()
}

/// Groups by failure domain, best score first.
fn by_domain<'a>(place: Place<'_>, eligible: &[Eligible<'a>]) -> Vec<Vec<Eligible<'a>>> {
    let mut domains: IndexMap<&FailureDomainId, Vec<Eligible<'a>>> = IndexMap::new();
    for one in eligible {
        domains.entry(one.failure_domain).or_default().push(*one);
    }
    let mut domains: Vec<_> = domains.into_values().collect();
    for domain in &mut domains {
        domain.sort_by_cached_key(|one| {
            (Reverse(score(place.incarnation, one.backend_server.as_str())), one.backend_server)
        });
    }
    domains
}

/// Order of failure domains: own, own region, others; ties by hash, so that entries differ.
fn distance(place: Place<'_>, domain: &[Eligible<'_>]) -> (u8, u64) {
    let Some(one) = domain.first() else { return (u8::MAX, 0) };
    let tie = score(place.incarnation, one.failure_domain.as_str());
    if one.failure_domain == place.failure_domain {
        return (0, tie);
    }
    let near = one.region.is_some() && one.region == place.region;
    (if near { 1 } else { 2 }, tie)
}

fn score(incarnation: Incarnation, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation.0)
}
