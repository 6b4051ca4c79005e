//! Tracks which idempotency keys may have run at another agent or an earlier incarnation.
//!
//! The home of a key is the agent that remembers it. An agent that becomes the home of a key, by
//! starting or through a document change, does not know whether the key was used at its former
//! home. Running a non-idempotent request right away could run it twice. Such a key therefore
//! counts as unknown until the horizon of every use at a former home has passed, unless:
//!
//! - this agent was the home under every document in question and has not restarted since; or
//! - the key is unknown only because of this agent's start, and its creation time (see
//!   [`KeyDigest::created`]) lies after the last time at which a former home accepted requests.
//!   Every agent refuses keys from the future, so a run precedes the creation time of its key by at
//!   most [`CLOCK_SKEW_BOUND_MS`]. The proof does not depend on the caller's clock.

use super::constants::{ADOPTION_SPREAD_MS, CLOCK_SKEW_BOUND_MS};
use crate::key_home;
use crate::message::KeyDigest;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, Route, RouteId, Target};

/// Former homes of keys whose horizon has not passed yet.
#[derive(Debug)]
pub(crate) struct HomeHistory {
    own_id: BackendServerId,
    former: Vec<FormerHomes>,
}

/// The backend servers that were homes of a route's keys before a change.
#[derive(Clone, Debug)]
struct FormerHomes {
    route: RouteId,
    /// None when they are not known because the agent had not started yet.
    backends: Option<Vec<BackendServerId>>,
    /// The last time at which one of them may accept requests.
    active_until: UnixMs,
    /// When the horizon of their last request has passed.
    expires_at: UnixMs,
}

impl HomeHistory {
    pub(crate) fn new(own_id: BackendServerId) -> Self {
        Self { own_id, former: Vec::new() }
    }

    /// Records the first document: all keys used before it are unknown.
    pub(crate) fn on_start(&mut self, now: Now, document: &Document) {
        for route in &document.routes {
            self.add_former_homes(now, route, None, max_key_lifetime_ms(route, route));
        }
    }

    /// Records the former homes of the keys that a document change moves.
    pub(crate) fn on_change(&mut self, now: Now, before: &Document, after: &Document) {
        let routing_changed = !routes_match_same_requests(before, after);
        for route in &after.routes {
            for old in &before.routes {
                let same_route = old.id == route.id;
                let backends_changed =
                    before.backends_of(&old.target) != after.backends_of(&route.target);
                // When the matching rules change, a request may match a different route than
                // before.
                if routing_changed || (same_route && backends_changed) {
                    let backends = before.backends_of(&old.target).into_iter().cloned().collect();
                    self.add_former_homes(
                        now,
                        route,
                        Some(backends),
                        max_key_lifetime_ms(old, route),
                    );
                }
            }
        }
        self.copy_to_all_routes(before, after, routing_changed);
    }

    /// Returns whether a key may have run where this agent cannot know of it.
    ///
    /// A key with a recent creation time cannot have run before this agent's start. Against a
    /// former home it proves nothing: a network partition can keep that agent on an old document,
    /// under which it accepts new keys for as long as the partition lasts. A caller that repeats
    /// its key on the other side of the partition would have its request run twice. Such keys stay
    /// unknown for the whole key lifetime of the route, so that only a longer partition can cause
    /// this.
    pub(crate) fn is_unknown(&self, now: Now, route: &RouteId, key: KeyDigest) -> bool {
        let created_after = |time: UnixMs| {
            let earliest_provable = time.after(2 * CLOCK_SKEW_BOUND_MS);
            key.created().is_some_and(|created| created >= earliest_provable)
        };
        self.former.iter().any(|former| {
            let is_proven_unused = former.backends.is_none() && created_after(former.active_until);
            former.route == *route
                && !former.expires_at.is_past(now)
                && !is_proven_unused
                && !self.was_own_key(former, key)
        })
    }

    /// Returns when the last unknown key of a route becomes known; none if no key is unknown.
    pub(crate) fn unknown_until(&self, route: &RouteId) -> Option<UnixMs> {
        let of_route = self.former.iter().filter(|former| former.route == *route);
        of_route.map(|former| former.expires_at).max()
    }

    /// Drops expired entries.
    pub(crate) fn sweep(&mut self, now: Now) {
        self.former.retain(|former| !former.expires_at.is_past(now));
    }

    fn was_own_key(&self, former: &FormerHomes, key: KeyDigest) -> bool {
        let home = former.backends.as_ref().and_then(|backends| {
            let backends: Vec<_> = backends.iter().collect();
            key_home(&backends, key)
        });
        home == Some(&self.own_id)
    }

    fn add_former_homes(
        &mut self,
        now: Now,
        route: &Route,
        backends: Option<Vec<BackendServerId>>,
        lifetime_ms: u64,
    ) {
        if backends.as_ref().is_some_and(Vec::is_empty) {
            return;
        }
        let active_until = now.after(ADOPTION_SPREAD_MS);
        let expires_at = active_until.after(lifetime_ms);
        let route = route.id.clone();
        self.insert_or_extend(FormerHomes { route, backends, active_until, expires_at });
    }

    /// Adds former homes, or extends the existing ones if they are the same.
    fn insert_or_extend(&mut self, new: FormerHomes) {
        let same = |former: &&mut FormerHomes| {
            former.route == new.route && former.backends == new.backends
        };
        match self.former.iter_mut().find(same) {
            Some(former) => {
                former.active_until = former.active_until.max(new.active_until);
                former.expires_at = former.expires_at.max(new.expires_at);
            }
            None => self.former.push(new),
        }
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
                self.insert_or_extend(FormerHomes { route: route.id.clone(), ..former.clone() });
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

/// Returns whether every request matches the same route under both documents.
fn routes_match_same_requests(before: &Document, after: &Document) -> bool {
    before.routes.len() == after.routes.len()
        && before.routes.iter().zip(&after.routes).all(|(old, new)| {
            old.id == new.id && targets_match_same_requests(before, &old.target, after, &new.target)
        })
}

fn targets_match_same_requests(
    before: &Document,
    old: &Target,
    after: &Document,
    new: &Target,
) -> bool {
    match (old, new) {
        (Target::Model { .. }, Target::Model { .. }) => {
            before.models_of(old) == after.models_of(new)
        }
        (Target::Service { path_prefix: old, .. }, Target::Service { path_prefix: new, .. }) => {
            old == new
        }
        _ => false,
    }
}
