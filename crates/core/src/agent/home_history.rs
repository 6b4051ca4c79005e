//! Tracks which idempotency keys may have run at another agent or an earlier incarnation.
//!
//! The home of a key is the agent that remembers it. An agent that becomes the home of a key, by
//! starting or through a document change, does not know whether the key was used at its former
//! home. Running a non-idempotent request right away could run it twice. Such a key therefore
//! counts as unknown:
//!
//! - until the former home is known to have given it up, which is when its agent holds a later
//!   document. Time alone does not show that: a network partition can keep an agent and its entries
//!   on an old document for longer than any time limit;
//! - and after that until the horizon of every use at the former home has passed, unless the
//!   creation time of the key (see [`KeyDigest::created`]) shows that it was not used there.
//!
//! A former home, in turn, keeps the keys for as long as it knows of no later document. So both
//! sides of a partition serve the keys that no document has moved, and a moved key is served by
//! its former home only.

use super::constants::{ADOPTION_SPREAD_MS, CLOCK_SKEW_BOUND_MS};
use super::former_homes::{FormerHomes, Homes, UnknownDocument};
use crate::homes::routes_match_same_requests;
use crate::message::{HeldStamp, HolderQuery, HolderReport, KeyDigest};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, Route, RouteId, Stamp};
use indexmap::IndexSet;

/// Documents that were in force here of which the stamps are kept, the latest ones. A peer that
/// holds an earlier one still counts as one that has not given its keys up.
const MAX_HELD: usize = 64;
/// Interval between two searches for expired records, of which each names all servers of a route.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Backend servers that one query names, which keeps it below one kilobyte.
const MAX_QUERIED: usize = 16;
/// Documents whose former homes are recorded separately for each route. With more, a partition
/// during which homes move again and again would fill the memory.
const MAX_RECORDS_PER_ROUTE: usize = 16;

/// Former homes of keys that may still run there, or whose horizon has not passed yet.
#[derive(Debug)]
pub(super) struct HomeHistory {
    own_id: BackendServerId,
    /// Whether former homes count as such until they are known to have given their keys up.
    awaits_release: bool,
    former: Vec<FormerHomes>,
    /// Stamps of the documents that were in force here, the latest last.
    held: IndexSet<Stamp>,
    sweep_at: UnixMs,
}

/// A document with its stamp.
#[derive(Clone, Copy, Debug)]
pub(super) struct StampedDocument<'a> {
    pub(super) stamp: Stamp,
    pub(super) document: &'a Document,
}

impl HomeHistory {
    pub(super) fn new(own_id: BackendServerId, awaits_release: bool) -> Self {
        let (former, held) = (Vec::new(), IndexSet::new());
        Self { own_id, awaits_release, former, held, sweep_at: UnixMs::default() }
    }

    /// Records the stamp of a document that comes into force.
    pub(super) fn hold(&mut self, stamp: Stamp) {
        self.held.insert(stamp);
        if self.held.len() > MAX_HELD {
            self.held.shift_remove_index(0);
        }
    }

    /// Records the first document: all keys used before it are unknown.
    pub(super) fn on_start(&mut self, now: Now, first: StampedDocument<'_>) {
        let settles_at = now.after(ADOPTION_SPREAD_MS);
        for route in &first.document.routes {
            let cause = UnknownDocument::Earlier { settles_at };
            let homes = Homes::Any { cause, released_at: None };
            self.add(now, route, homes, first.stamp.revision, max_key_lifetime_ms(route, route));
        }
    }

    /// Records the former homes of the keys that a document change moves.
    pub(super) fn on_change(&mut self, now: Now, before: &Document, after: StampedDocument<'_>) {
        let routing_changed = !routes_match_same_requests(before, after.document);
        for route in &after.document.routes {
            for old in &before.routes {
                let same_route = old.id == route.id;
                let backends_changed =
                    before.backends_of(&old.target) != after.document.backends_of(&route.target);
                // When the matching rules change, a request may match a different route than
                // before.
                if routing_changed || (same_route && backends_changed) {
                    let homes = self.listed_homes(&before.backends_of(&old.target));
                    let lifetime_ms = max_key_lifetime_ms(old, route);
                    self.add(now, route, homes, after.stamp.revision, lifetime_ms);
                }
            }
        }
        self.copy_to_all_routes(before, after.document, routing_changed);
    }

    /// Records that revisions between the last document in force and a new one were skipped.
    ///
    /// Under a skipped document, other agents may have become homes, and may still hold it behind a
    /// partition. The agents that were homes before it gave their keys up to them.
    pub(super) fn on_skip(&mut self, now: Now, last_held: u64, after: StampedDocument<'_>) {
        if !self.awaits_release {
            return;
        }
        for route in &after.document.routes {
            let cause = UnknownDocument::Skipped { last_held };
            let homes = Homes::Any { cause, released_at: None };
            self.add(now, route, homes, after.stamp.revision, max_key_lifetime_ms(route, route));
        }
    }

    /// Returns whether a key may have run where this agent cannot know of it.
    pub(super) fn is_unknown(&self, now: Now, route: &RouteId, key: KeyDigest) -> bool {
        self.of_route(route).any(|former| former.may_have_run(now, &self.own_id, key))
    }

    /// Returns when the last unknown key of a route becomes known, [`UnixMs::NEVER`] while former
    /// homes may still run keys; none if no key is unknown.
    pub(super) fn unknown_until(&self, route: &RouteId) -> Option<UnixMs> {
        self.of_route(route).map(FormerHomes::expires_at).max()
    }

    /// Whether former homes of a route's keys may still run them.
    pub(super) fn awaits_any(&self, route: &RouteId) -> bool {
        self.of_route(route).any(FormerHomes::is_awaited)
    }

    /// Returns the backend servers whose agents may still run a route's keys as former homes.
    pub(super) fn awaited(&self, route: &RouteId) -> impl Iterator<Item = &BackendServerId> {
        self.of_route(route).flat_map(FormerHomes::awaited)
    }

    /// Drops expired records.
    pub(super) fn sweep(&mut self, now: Now) {
        if !self.sweep_at.is_past(now) {
            return;
        }
        self.sweep_at = now.after(SWEEP_INTERVAL_MS);
        self.former.retain(|former| !former.expires_at().is_past(now));
    }

    /// Returns what to ask an entry, so that former homes of the non-idempotent routes need not be
    /// awaited any longer; none if nothing is awaited.
    ///
    /// `round` counts the queries: each one names other backend servers if too many are awaited.
    pub(super) fn query(&self, held: StampedDocument<'_>, round: usize) -> Option<HolderQuery> {
        let matters = |former: &&FormerHomes| {
            held.document.route(former.route.as_str()).is_some_and(|route| !route.idempotent)
        };
        let rows: Vec<_> = self.former.iter().filter(matters).collect();
        let awaited: IndexSet<_> = rows.iter().flat_map(|former| former.awaited()).collect();
        let every_agent = rows.iter().any(|former| former.awaits_every_agent());
        let first = round.wrapping_mul(MAX_QUERIED) % awaited.len().max(1);
        let chosen = awaited.iter().cycle().skip(first).take(MAX_QUERIED.min(awaited.len()));
        let backend_servers: Vec<_> = chosen.map(|home| (*home).clone()).collect();
        let is_needed = every_agent || !backend_servers.is_empty();
        let skipped_after = rows.iter().filter_map(|former| former.awaits_skipped_after()).min();
        let stamp = held.stamp;
        is_needed.then_some(HolderQuery { stamp, backend_servers, every_agent, skipped_after })
    }

    /// Takes an entry's answer to a query. `stamp` is that of the document in force here.
    pub(super) fn take_report(&mut self, now: Now, stamp: Stamp, report: &HolderReport) {
        for holder in &report.holders {
            for former in &mut self.former {
                let is_later = |held: &HeldStamp| {
                    held.stamp.revision >= former.replaced_by && self.held.contains(&held.stamp)
                };
                if holder.held.iter().all(is_later) {
                    former.release(&holder.backend_server, released_at(now, &holder.held));
                }
            }
        }
        // The entry compares with its own document. With another one it knows less or more.
        if report.stamp != stamp {
            return;
        }
        self.former.retain(|former| !former.is_skip_without_change(report.homes_since));
        if let Some(every_agent) = report.every_agent {
            self.former.iter_mut().for_each(|former| former.release_every_agent(every_agent));
        }
    }

    fn of_route(&self, route: &RouteId) -> impl Iterator<Item = &FormerHomes> {
        self.former.iter().filter(move |former| former.route == *route)
    }

    fn listed_homes(&self, backends: &[&BackendServerId]) -> Homes {
        let released_at = |home| (home == &self.own_id).then_some(UnixMs::default());
        let homes = backends.iter().map(|home| ((*home).clone(), released_at(*home)));
        Homes::Listed(homes.collect())
    }

    fn add(
        &mut self,
        now: Now,
        route: &Route,
        homes: Homes,
        replaced_by: u64,
        key_lifetime_ms: u64,
    ) {
        if matches!(&homes, Homes::Listed(homes) if homes.is_empty()) {
            return;
        }
        let route = route.id.clone();
        let mut new = FormerHomes { route, homes, replaced_by, key_lifetime_ms };
        if !self.awaits_release {
            new.release_by_time(now);
        }
        self.insert_or_merge(new);
    }

    /// Adds a record, or merges it into the one about the same former homes.
    fn insert_or_merge(&mut self, new: FormerHomes) {
        match self.former.iter_mut().find(|former| former.concerns_same_homes(&new)) {
            Some(former) => former.merge(new),
            None => {
                let route = new.route.clone();
                self.former.push(new);
                self.limit_records(&route);
            }
        }
    }

    /// Replaces the records of a route by one about all agents if there are too many.
    fn limit_records(&mut self, route: &RouteId) {
        let of_route = |former: &FormerHomes| former.route == *route;
        if self.former.iter().filter(|former| of_route(former)).count() <= MAX_RECORDS_PER_ROUTE {
            return;
        }
        let rows = self.former.extract_if(.., |former| of_route(former));
        let widest = rows.reduce(|mut widest, other| {
            widest.replaced_by = widest.replaced_by.max(other.replaced_by);
            widest.key_lifetime_ms = widest.key_lifetime_ms.max(other.key_lifetime_ms);
            widest
        });
        self.former.extend(widest.map(|widest| {
            let cause = UnknownDocument::Earlier { settles_at: UnixMs::default() };
            FormerHomes { homes: Homes::Any { cause, released_at: None }, ..widest }
        }));
    }

    /// Applies all former homes to every route of the new document if the matching rules changed,
    /// since a request with an unknown key may then match a different route.
    fn copy_to_all_routes(&mut self, before: &Document, after: &Document, routing_changed: bool) {
        if !routing_changed {
            return;
        }
        let known: Vec<FormerHomes> = self.former.clone();
        let of_before = |former: &&FormerHomes| before.route(former.route.as_str()).is_some();
        for former in known.iter().filter(of_before) {
            for route in &after.routes {
                self.insert_or_merge(FormerHomes { route: route.id.clone(), ..former.clone() });
            }
        }
    }
}

/// Returns how long after its submission a request can still affect a repeat of its key.
fn max_key_lifetime_ms(old: &Route, new: &Route) -> u64 {
    let max_deadline_ms = old.max_deadline_ms.max(new.max_deadline_ms);
    let key_horizon_ms = old.key_horizon_ms.max(new.key_horizon_ms);
    u64::from(max_deadline_ms) + u64::from(key_horizon_ms)
}

/// Returns when the agents of a backend server have given up their keys, from the later documents
/// that its listed instances hold.
///
/// An instance that is not on the list has ended, but the list lags.
fn released_at(now: Now, held: &[HeldStamp]) -> UnixMs {
    let latest = held.iter().map(|held| held.adopted_at).max();
    latest.map_or(now.after(ADOPTION_SPREAD_MS), |at| at.after(CLOCK_SKEW_BOUND_MS))
}
