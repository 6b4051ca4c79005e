//! Asks entries which documents other agents hold, while former homes of keys are awaited.

use super::core::AgentCore;
use super::home_history::StampedDocument;
use super::interface::AgentAction;
use super::snapshot::DrainState;
use crate::audit::{Change, MAX_FORMER_HOMES};
use crate::ids::LinkId;
use crate::message::{HolderQuery, HolderReport, ToEntry};
use crate::time::{Now, UnixMs};
use hickorycross_config::RouteId;
use indexmap::IndexSet;

/// Pause after the first round of queries, which doubles with each further one up to
/// [`MAX_PAUSE_MS`]. An entry that has links to the agents needs less to ask them.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause between two rounds of queries.
const MAX_PAUSE_MS: u64 = 2_000;
/// Doublings that reach it.
const PAUSE_DOUBLINGS: u32 = 5;
/// Rounds in which the same entry is asked, so that it has the time to ask many agents. Another
/// one, in turn, is asked beside it: the first may be cut off from what that one can reach.
const ROUNDS_PER_ENTRY: usize = 32;

/// When and whom to ask next.
#[derive(Debug, Default)]
pub(super) struct HolderQueries {
    due: UnixMs,
    /// Rounds since something new was to be asked.
    rounds: u32,
    /// Number of queries so far.
    asked: usize,
    /// The routes of which the audit trail says that former homes are awaited.
    awaiting: IndexSet<RouteId>,
}

impl HolderQueries {
    /// Makes a round due, because there is something new to be asked, or somebody new to ask.
    pub(super) fn ask_soon(&mut self) {
        self.due = UnixMs::default();
        self.rounds = 0;
    }
}

impl AgentCore {
    /// Tells all entries which document has been adopted.
    pub(super) fn announce_adoption(&self, actions: &mut Vec<AgentAction>) {
        actions.extend(self.links.keys().filter_map(|link| self.adoption_message(*link)));
    }

    /// Returns the message that tells one entry so; none before the first document.
    pub(super) fn adoption_message(&self, link: LinkId) -> Option<AgentAction> {
        let message = ToEntry::Adopted(self.adoption?);
        Some(AgentAction::Send { link, message })
    }

    /// Asks the next entries in turn if a round is due.
    pub(super) fn ask_for_holders_if_due(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        if !self.holder_queries.due.is_past(now) {
            return;
        }
        let pause_ms = FIRST_PAUSE_MS << self.holder_queries.rounds.min(PAUSE_DOUBLINGS);
        self.holder_queries.due = now.after(pause_ms.min(MAX_PAUSE_MS));
        self.holder_queries.rounds += 1;
        let round = self.holder_queries.rounds as usize;
        let chosen = [round / ROUNDS_PER_ENTRY, round].map(|turn| turn % self.links.len().max(1));
        let links: IndexSet<LinkId> = chosen
            .iter()
            .filter_map(|index| self.links.get_index(*index))
            .map(|(link, _)| *link)
            .collect();
        for link in links {
            self.ask_for_holders(link, actions);
        }
    }

    /// Asks one entry, if former homes are awaited.
    pub(super) fn ask_for_holders(&mut self, link: LinkId, actions: &mut Vec<AgentAction>) {
        let Some(query) = self.holder_query() else { return };
        self.holder_queries.asked = self.holder_queries.asked.wrapping_add(1);
        self.counters.holder_queries += 1;
        actions.push(AgentAction::Send { link, message: ToEntry::HolderQuery(query) });
    }

    fn holder_query(&self) -> Option<HolderQuery> {
        let document = self.document.as_ref()?;
        let is_serving = self.drain == DrainState::Serving;
        let held = StampedDocument { stamp: self.stamp, document };
        self.homes.query(held, self.holder_queries.asked).filter(|_| is_serving)
    }

    /// Takes an entry's answer to a query.
    pub(super) fn handle_holder_report(
        &mut self,
        now: Now,
        report: &HolderReport,
        actions: &mut Vec<AgentAction>,
    ) {
        self.homes.take_report(now, self.stamp, report);
        self.audit_former_homes(now, actions);
    }

    /// Records for which non-idempotent routes former homes are awaited, where that has changed.
    pub(super) fn audit_former_homes(&mut self, now: Now, actions: &mut Vec<AgentAction>) {
        let Some(document) = self.document.clone() else { return };
        for route in document.routes.iter().filter(|route| !route.idempotent) {
            let is_awaited = self.homes.awaits_any(&route.id);
            let is_new = match is_awaited {
                true => self.holder_queries.awaiting.insert(route.id.clone()),
                false => self.holder_queries.awaiting.swap_remove(&route.id),
            };
            if is_new {
                let change = self.former_homes_change(now, &route.id, is_awaited);
                self.audit(now, change, actions);
            }
        }
    }

    fn former_homes_change(&self, now: Now, route: &RouteId, is_awaited: bool) -> Change {
        let route = route.clone();
        if is_awaited {
            let backend_servers = self.homes.awaited(&route).take(MAX_FORMER_HOMES).cloned();
            return Change::FormerHomesAwaited {
                backend_servers: backend_servers.collect(),
                route,
            };
        }
        let keys_known_at = self.homes.unknown_until(&route).unwrap_or(now.unix_ms);
        Change::FormerHomesReleased { route, keys_known_at }
    }
}
