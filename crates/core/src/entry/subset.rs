//! Choice of the stable subset of a route's backend servers that one entry uses.
//!
//! A full mesh of 400 entries and 900 agents would spend the budget for control traffic on
//! heartbeats alone. Rendezvous hashing over the entry's incarnation gives each entry its own
//! subset, so that all agents get about the same number of entries, and replaces only one member
//! when one is removed.

use crate::entry::constants::SUBSET_SIZE;
use crate::ids::Incarnation;
use hickorycross_config::{BackendServerId, FailureDomainId, RegionId};
use indexmap::IndexMap;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A backend server that may be a member of the subset.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligible<'a> {
    pub(super) backend_server: &'a BackendServerId,
    pub(super) failure_domain: &'a FailureDomainId,
    pub(super) region: Option<&'a RegionId>,
}

/// Identity and location of the entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct EntryLocation<'a> {
    pub(super) incarnation: Incarnation,
    pub(super) failure_domain: &'a FailureDomainId,
    pub(super) region: Option<&'a RegionId>,
}

/// Selects the members in round robin order over the failure domains: the entry's own first, then
/// those of its region, then the others. Within a failure domain the order is by rendezvous hash.
pub(super) fn select_subset(
    location: EntryLocation<'_>,
    eligible: &[Eligible<'_>],
) -> Vec<BackendServerId> {
    let mut domains = by_domain(location, eligible);
    domains.sort_by_cached_key(|domain| distance(location, domain));
    let deepest = domains.iter().map(Vec::len).max().unwrap_or(0);
    let rounds = (0..deepest).flat_map(|round| domains.iter().filter_map(move |d| d.get(round)));
    rounds.take(SUBSET_SIZE).map(|one| one.backend_server.clone()).collect()
}

/// Groups backend servers by failure domain, each group by descending rendezvous score.
fn by_domain<'a>(location: EntryLocation<'_>, eligible: &[Eligible<'a>]) -> Vec<Vec<Eligible<'a>>> {
    let mut domains: IndexMap<&FailureDomainId, Vec<Eligible<'a>>> = IndexMap::new();
    for one in eligible {
        domains.entry(one.failure_domain).or_default().push(*one);
    }
    let mut domains: Vec<_> = domains.into_values().collect();
    for domain in &mut domains {
        domain.sort_by_cached_key(|one| {
            (Reverse(score(location.incarnation, one.backend_server.as_str())), one.backend_server)
        });
    }
    domains
}

/// Returns the sort key of a failure domain: the entry's own, its own region, others. Ties are
/// broken by hash, so that the order differs between entries.
fn distance(location: EntryLocation<'_>, domain: &[Eligible<'_>]) -> (u8, u64) {
    let Some(one) = domain.first() else { return (u8::MAX, 0) };
    let tie = score(location.incarnation, one.failure_domain.as_str());
    if one.failure_domain == location.failure_domain {
        return (0, tie);
    }
    let near = one.region.is_some() && one.region == location.region;
    (if near { 1 } else { 2 }, tie)
}

fn score(incarnation: Incarnation, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation.0)
}
