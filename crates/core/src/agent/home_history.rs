//! Which keys may have run at another agent, or in an earlier life of this one.
//!
//! An agent that becomes the home of a key, by its own start or by a change of the document, does
//! not know whether the key was used at its former home. If it ran the request at once, a
//! non-idempotent request could run twice; one would see two cases lodged under one key. So such
//! a key counts as unknown until every use at a former home has left its horizon, unless:
//!
//! - this agent was the home under every document in question, and has lived since; or
//! - the key says when it was made (see [`KeyDigest::created`]) and that was after the last moment
//!   at which a former home took requests. Every agent refuses a key from the future, so a run
//!   never precedes the key's moment by more than [`CLOCK_SKEW_BOUND_MS`], whatever the clock of
//!   the caller says: the proof does not rest on that clock.

use super::constants::{ADOPTION_SPREAD_MS, CLOCK_SKEW_BOUND_MS};
use crate::key_home;
use crate::message::KeyDigest;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, Route, RouteId, Target};

/// Former homes of keys, as long as they matter.
#[derive(Debug)]
pub(crate) struct HomeHistory {
    own: BackendServerId,
    past: Vec<PastHomes>,
}

/// The backend servers among which a route's keys had their homes before a change.
#[derive(Clone, Debug)]
struct PastHomes {
    route: RouteId,
    /// None when the agent does not know them, because it had not started yet.
    backends: Option<Vec<BackendServerId>>,
    /// The last moment at which one of them took requests.
    others_until: UnixMs,
    /// When the horizon of their last request is over.
    expires_at: UnixMs,
}

impl HomeHistory {
    pub(crate) fn new(own: BackendServerId) -> Self {
        Self { own, past: Vec::new() }
    }

    /// Notes what the first document leaves unknown: everything before it.
    pub(crate) fn begin(&mut self, now: Now, document: &Document) {
        for route in &document.routes {
            self.note(now, route, None, longest_memory_ms(route, route));
        }
    }

    /// Notes what a change of the document moves.
    pub(crate) fn change(&mut self, now: Now, before: &Document, after: &Document) {
        let matching_changed = !same_matching(before, after);
        for route in &after.routes {
            for old in &before.routes {
                let same_route = old.id == route.id;
                let moved = before.backends_of(&old.target) != after.backends_of(&route.target);
                // Once matching changes, a request may reach a route by another way than before.
                if matching_changed || (same_route && moved) {
                    let backends = before.backends_of(&old.target).into_iter().cloned().collect();
                    self.note(now, route, Some(backends), longest_memory_ms(old, route));
                }
            }
        }
        self.carry_over(before, after, matching_changed);
    }

    /// Whether a key of a route may have run where this agent cannot know of it.
    ///
    /// A key that tells its moment of creation proves that nothing before this agent's start has
    /// seen it. It proves nothing against a former home: one that a cut keeps on an old document
    /// takes new keys as well, for as long as the cut lasts. Were such keys taken at once after a
    /// document moved the home, a caller who repeats one on the other side would have its request
    /// run twice; one would see two lodgings under one key. They wait for the whole memory of the
    /// route instead, so that only a cut longer than that can do it.
    pub(crate) fn is_unknown(&self, now: Now, route: &RouteId, key: KeyDigest) -> bool {
        let made_after = |moment: UnixMs| {
            let proved_from = moment.after(2 * CLOCK_SKEW_BOUND_MS);
            key.created().is_some_and(|created| created >= proved_from)
        };
        self.past.iter().any(|past| {
            let is_proved = past.backends.is_none() && made_after(past.others_until);
            past.route == *route
                && !past.expires_at.is_past(now)
                && !is_proved
                && !self.was_home(past, key)
        })
    }

    /// When the last key of a route stops being unknown.
    pub(crate) fn unknown_until(&self, route: &RouteId) -> Option<UnixMs> {
        let of_route = self.past.iter().filter(|past| past.route == *route);
        of_route.map(|past| past.expires_at).max()
    }

    /// Drops what no longer matters.
    pub(crate) fn sweep(&mut self, now: Now) {
        self.past.retain(|past| !past.expires_at.is_past(now));
    }

    fn was_home(&self, past: &PastHomes, key: KeyDigest) -> bool {
        let home = past.backends.as_ref().and_then(|backends| {
            let backends: Vec<_> = backends.iter().collect();
            key_home(&backends, key)
        });
        home == Some(&self.own)
    }

    fn note(
        &mut self,
        now: Now,
        route: &Route,
        backends: Option<Vec<BackendServerId>>,
        memory_ms: u64,
    ) {
        if backends.as_ref().is_some_and(Vec::is_empty) {
            return;
        }
        let others_until = now.after(ADOPTION_SPREAD_MS);
        let expires_at = others_until.after(memory_ms);
        let route = route.id.clone();
        self.put(PastHomes { route, backends, others_until, expires_at });
    }

    /// Adds a row, or prolongs the row of the same homes.
    fn put(&mut self, new: PastHomes) {
        let same = |past: &&mut PastHomes| past.route == new.route && past.backends == new.backends;
        match self.past.iter_mut().find(same) {
            Some(past) => {
                past.others_until = past.others_until.max(new.others_until);
                past.expires_at = past.expires_at.max(new.expires_at);
            }
            None => self.past.push(new),
        }
    }

    /// What is unknown of a route stays unknown when its requests reach another one.
    fn carry_over(&mut self, before: &Document, after: &Document, matching_changed: bool) {
        if !matching_changed {
            return;
        }
        let known: Vec<PastHomes> = self.past.clone();
        let of_before = |past: &&PastHomes| before.route(past.route.as_str()).is_some();
        for past in known.iter().filter(of_before) {
            for route in &after.routes {
                self.put(PastHomes { route: route.id.clone(), ..past.clone() });
            }
        }
    }
}

/// How long after its submission a request can matter to a repeat of its key.
fn longest_memory_ms(old: &Route, new: &Route) -> u64 {
    let max_deadline_ms = old.max_deadline_ms.max(new.max_deadline_ms);
    let key_horizon_ms = old.key_horizon_ms.max(new.key_horizon_ms);
    u64::from(max_deadline_ms) + u64::from(key_horizon_ms)
}

/// Whether every request matches the same route under both documents.
fn same_matching(before: &Document, after: &Document) -> bool {
    before.routes.len() == after.routes.len()
        && before.routes.iter().zip(&after.routes).all(|(old, new)| {
            old.id == new.id && same_match(before, &old.target, after, &new.target)
        })
}

fn same_match(before: &Document, old: &Target, after: &Document, new: &Target) -> bool {
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
