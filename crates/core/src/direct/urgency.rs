//! How urgent a request is at a backend server and in the queue of its entry.
//!
//! Requests are ordered by the priority of their team or route, then those that can still be on time
//! go before those that cannot. [`UrgencyScale`] also tells the priorities of a service's routes apart.

use super::{Catalog, Route};
use std::collections::BTreeSet;

/// The least urgent value that backend servers distinguish.
const LEAST_URGENT: u8 = 9;

/// Largest priority number of a catalog for which each priority has two urgencies.
const MAX_SPLIT_PRIORITY: u8 = LEAST_URGENT / 2;

/// Fraction of its caller's patience after which a late request is as urgent as one that can be on
/// time.
const ESCALATION_SHARE: f64 = 0.5;

/// Returns the urgency of a request at a backend server; 0 is the most urgent.
///
/// Late requests come after those that can still be on time: after an outage hundreds of requests are late in any case. New
/// requests queued behind them would be late as well, for seconds after the recovery.
/// `lowest_priority` is the least urgent one of the whole catalog: with too many priorities for two
/// urgencies each, only the priority counts.
#[must_use]
pub fn urgency(
    priority: u8,
    lowest_priority: u8,
    used_ms: u64,
    route: &Route,
    is_resumed: bool,
) -> u8 {
    if lowest_priority > MAX_SPLIT_PRIORITY {
        return priority.min(LEAST_URGENT);
    }
    let is_late = is_resumed || (route.kind.is_stream() && used_ms >= route.target_latency_ms);
    priority * 2 + u8::from(is_late)
}

/// Returns the urgency of a request, raised to that of one on time if its caller is about to give
/// up.
///
/// It is raised when the caller has used up enough of its patience (`patience_used`), or when the
/// request was `sent` before and has no attempt left. While a group is busy, late requests may
/// otherwise never begin. A late answer is worth about half of one on time, and a caller that gives
/// up gets none. If the request was queued at a frozen instance, a caller that gives up also leaves
/// work there that nobody waits for.
#[must_use]
pub fn escalated_urgency(urgency: u8, lowest_priority: u8, patience_used: f64, sent: bool) -> u8 {
    let is_split = lowest_priority <= MAX_SPLIT_PRIORITY;
    let is_last_chance = sent || patience_used >= ESCALATION_SHARE;
    if is_split && is_last_chance { urgency - urgency % 2 } else { urgency }
}

/// Returns the urgency of a request that was moved before it began, so that it begins before new
/// requests of the same priority.
///
/// Its caller has used up much of its patience at another backend server. Behind new requests it
/// would wait as long again, and a caller that gives up leaves its work at the first backend server,
/// which may be out of reach.
#[must_use]
pub fn moved_urgency(priority: u8, lowest_priority: u8) -> u8 {
    let is_split = lowest_priority <= MAX_SPLIT_PRIORITY;
    if is_split { (priority * 2).saturating_sub(1) } else { priority.min(LEAST_URGENT) }
}

/// The order of urgency of the requests of one service.
///
/// Among requests of the same priority of their team, those that can still be on time go before
/// those that cannot, and the priority of the route decides between the former. A service whose
/// routes all have the same priority uses [`urgency`], [`escalated_urgency`] and [`moved_urgency`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UrgencyScale {
    /// Priorities of the teams, and of the routes if requests may have no other, in order.
    priorities: Vec<u8>,
    /// Different priorities of the routes of the service, in order.
    route_priorities: Vec<u8>,
}

/// How one request is placed on an [`UrgencyScale`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Priority of the team, or of the route if the team has none; 0 is the most urgent.
    pub priority: u8,
    /// Priority of the route.
    pub route_priority: u8,
    /// Whether the target latency has passed, or the request continues a stream.
    pub is_late: bool,
    /// Share of its patience that the caller has used up.
    pub patience_used: f64,
    /// Whether it was sent before.
    pub was_sent: bool,
    /// Whether a backend server had the request but did not begin it, so that it was moved.
    pub is_moved: bool,
}

impl UrgencyScale {
    /// Returns the scale of a service.
    #[must_use]
    pub fn of(catalog: &Catalog, service: &str) -> Self {
        let is_of_service =
            |route: &&Route| route.backends.iter().any(|share| share.service == service);
        let routes: Vec<&Route> = catalog.routes.iter().filter(is_of_service).collect();
        let route_priorities = sorted(routes.iter().map(|route| route.priority));
        let has_team_priority = !catalog.teams.is_empty()
            && catalog.teams.iter().all(|team| team.priority.is_some())
            && routes.iter().all(|route| !route.public);
        let of_teams = catalog.teams.iter().filter_map(|team| team.priority);
        let of_routes = route_priorities.iter().copied().filter(|_| !has_team_priority);
        Self { priorities: sorted(of_teams.chain(of_routes)), route_priorities }
    }

    /// Returns whether the routes of the service have different priorities.
    #[must_use]
    pub const fn has_levels(&self) -> bool {
        self.route_priorities.len() > 1
    }

    /// Returns the urgency of a request, from 0 for the most urgent to 9; none if the scale has no
    /// levels of routes, or more of them than backend servers distinguish.
    #[must_use]
    pub fn urgency(&self, standing: &Standing) -> Option<u8> {
        let levels = self.levels()?;
        let route_levels = self.route_priorities.len() as u8;
        let first = rank(&self.priorities, standing.priority) * levels;
        if standing.is_moved {
            return Some(first.saturating_sub(1));
        }
        let is_last_chance = standing.was_sent || standing.patience_used >= ESCALATION_SHARE;
        let level = if standing.is_late && !is_last_chance {
            levels - 1
        } else {
            rank(&self.route_priorities, standing.route_priority).min(route_levels - 1)
        };
        Some(first + level)
    }

    /// Returns the number of levels of each priority: one for each priority of a route, and one for
    /// late requests if there are enough. Without it, late requests share the last one.
    fn levels(&self) -> Option<u8> {
        let (priorities, routes) = (self.priorities.len(), self.route_priorities.len());
        let is_distinct = |levels: &usize| priorities * levels <= usize::from(LEAST_URGENT) + 1;
        let levels = [routes + 1, routes].into_iter().find(is_distinct);
        levels.filter(|_| self.has_levels()).map(|levels| levels as u8)
    }
}

fn sorted(priorities: impl Iterator<Item = u8>) -> Vec<u8> {
    let distinct: BTreeSet<u8> = priorities.collect();
    distinct.into_iter().collect()
}

/// Returns the position of a priority among others, which it need not be one of.
fn rank(priorities: &[u8], priority: u8) -> u8 {
    let more_urgent = priorities.iter().filter(|other| **other < priority).count();
    more_urgent.min(priorities.len().saturating_sub(1)) as u8
}
