//! The backend servers that this entry can send to, with the failures and load that it has
//! observed.

use super::announcements::Announcements;
use super::backend_row::{Listing, Row};
use super::cold_servers::Coldness;
use super::pools::{GroupAssignments, Pools};
use super::{
    BackendServer, BackendState, BootMs, DomainDrains, ExpectedWork, IncarnationDigest, WarmUp,
};
use indexmap::{IndexMap, IndexSet};
use std::net::SocketAddr;

/// Time after the store's recovery for which an unlisted backend server stays usable.
///
/// Live backend servers register again within about two seconds of the store's recovery. Dropping
/// them at once would leave requests without a backend server after every outage of the store.
const LAPSE_GRACE_MS: u64 = 2_200;

/// What became of a backend server whose registration is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Unlisted {
    /// It was removed.
    Removed,
    /// It stays usable until this moment, since its registration may have lapsed in an outage.
    KeptUntil(BootMs),
    /// Nothing: it was not known, or is kept already.
    Unchanged,
}

/// A backend server that was removed after it had been kept without a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredServer {
    /// Its name.
    pub id: String,
    /// Milliseconds from when its registration was first missing.
    pub unlisted_ms: u64,
}

/// All known backend servers, by name; each row holds the newest incarnation of its name.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    pub(super) rows: IndexMap<String, Row>,
    /// Names of servers whose address another server was registered with later.
    replaced: IndexSet<String>,
    pub(super) own_failure_domain: String,
    /// What backend servers announced about themselves, whether they are listed or not.
    pub(super) announcements: Announcements,
    /// Number of passes that were seen to end, by pool.
    pub(super) passes: IndexMap<String, u64>,
    /// The failure domains whose backend servers get no requests.
    pub(super) drains: DomainDrains,
    /// Failure domains whose drain has ended, until their backend servers are taken.
    pub(super) returned_domains: IndexSet<String>,
    /// The known groups of backend servers.
    pub(super) groups: GroupAssignments,
    pub(super) pools: Pools,
    /// Limits on cold servers, by service.
    pub(super) warm_ups: IndexMap<String, WarmUp>,
    /// When the last cold server stops counting as cold; a moment in the past if there is none.
    pub(super) cold_until: BootMs,
    /// What was known of removed incarnations being cold, in the order of their removal.
    pub(super) removed_cold: IndexMap<IncarnationDigest, Coldness>,
}

impl BackendTable {
    /// Creates an empty table for an entry in `own_failure_domain`.
    #[must_use]
    pub fn new(own_failure_domain: &str) -> Self {
        let own_failure_domain = own_failure_domain.to_owned();
        Self { own_failure_domain, ..Self::default() }
    }

    /// Inserts or updates one backend server as the platform lists it. Returns whether anything
    /// changed.
    ///
    /// A newer incarnation of the same name replaces the row: failures, pauses, open requests and
    /// the leaving state of the earlier one are dropped. An earlier incarnation, as a stale replica
    /// may return it, changes nothing.
    pub fn put(&mut self, server: BackendServer) -> bool {
        let changed = self.put_row(server);
        if changed {
            self.update_derived();
        }
        changed
    }

    fn put_row(&mut self, mut server: BackendServer) -> bool {
        let known = self.rows.get_mut(&server.id);
        let Some(row) = known.filter(|row| !row.server.is_before(&server)) else {
            let mut row = Row::new(server, &self.announcements);
            row.cold = self.take_removed_cold(&row.server);
            self.rows.insert(row.server.id.clone(), row);
            return true;
        };
        if server.is_before(&row.server) {
            return false;
        }
        server.born_ms = server.born_ms.max(row.server.born_ms);
        self.announcements.note_start(&server);
        // A stale replica may return an older state; an incarnation that is leaving never becomes
        // ready again.
        if row.server.state == BackendState::Leaving {
            server.state = BackendState::Leaving;
        }
        let changed = row.server != server || row.listing != Listing::Listed;
        row.listing = Listing::Listed;
        row.server = server;
        changed
    }

    /// Records that the store holds an unreadable value under a name. Returns whether that is a
    /// change.
    ///
    /// Without a readable registration nothing shows that the backend server still accepts work.
    pub fn note_unreadable(&mut self, id: &str) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        let changed = row.listing != Listing::Unreadable;
        row.listing = Listing::Unreadable;
        self.update_derived();
        changed
    }

    /// Removes a backend server that the platform no longer lists. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let removed = self.rows.swap_remove(id);
        self.update_derived();
        let was_known = removed.is_some();
        if let Some(row) = removed {
            self.keep_removed_cold(&row);
        }
        was_known
    }

    /// Replaces the table by a complete listing made at `now`.
    ///
    /// `returned_at` is when the store last recovered from an outage; servers missing from the
    /// listing stay usable for a short time after that. Returns those that are missing, by name, with
    /// what became of each.
    pub fn replace_all(
        &mut self,
        servers: Vec<BackendServer>,
        now: BootMs,
        returned_at: Option<BootMs>,
    ) -> Vec<(String, Unlisted)> {
        let listed: Vec<String> = servers.iter().map(|server| server.id.clone()).collect();
        for server in servers {
            self.put_row(server);
        }
        self.update_derived();
        let missing = self.rows.keys().filter(|id| !listed.contains(id)).cloned();
        let missing: Vec<String> = missing.collect();
        let mut outcomes = Vec::with_capacity(missing.len());
        for id in missing {
            let outcome = self.lapse(&id, now, returned_at);
            outcomes.push((id, outcome));
        }
        outcomes
    }

    /// Handles a backend server that is no longer listed.
    ///
    /// Registrations may expire only because the store was down, so they stay usable for a short
    /// time after its recovery. At any other time a missing registration means that the server is
    /// gone.
    pub fn lapse(&mut self, id: &str, now: BootMs, returned_at: Option<BootMs>) -> Unlisted {
        let Some(row) = self.rows.get_mut(id) else { return Unlisted::Unchanged };
        let until = returned_at.map(|at| at.after(LAPSE_GRACE_MS)).filter(|until| *until > now);
        match (row.listing, until) {
            (Listing::Listed, Some(until)) => {
                row.listing = Listing::Lapsed { since: now, until };
                Unlisted::KeptUntil(until)
            }
            (Listing::Lapsed { .. }, Some(_)) => Unlisted::Unchanged,
            // An unreadable registration was in use for no request.
            (Listing::Unreadable, _) | (_, None) => {
                self.remove(id);
                Unlisted::Removed
            }
        }
    }

    /// Records that the store's last outage ended at `returned_at`, and not when it was believed to:
    /// servers that are kept for it are kept no longer than that allows.
    pub fn limit_lapses(&mut self, returned_at: BootMs) {
        for row in self.rows.values_mut() {
            if let Listing::Lapsed { until, .. } = &mut row.listing {
                *until = (*until).min(returned_at.after(LAPSE_GRACE_MS));
            }
        }
    }

    /// Returns when the next unlisted backend server is to be removed, if one is kept.
    #[must_use]
    pub fn next_lapse_end(&self) -> Option<BootMs> {
        let ends = self.rows.values().filter_map(|row| match row.listing {
            Listing::Lapsed { until, .. } => Some(until),
            Listing::Listed | Listing::Unreadable => None,
        });
        ends.min()
    }

    /// Removes unlisted backend servers whose grace period is over, and returns them.
    pub fn expire(&mut self, now: BootMs) -> Vec<ExpiredServer> {
        let expired = |row: &Row| match row.listing {
            Listing::Lapsed { since, until } if until <= now => {
                Some(ExpiredServer { id: row.server.id.clone(), unlisted_ms: now.since(since) })
            }
            _ => None,
        };
        let over: Vec<ExpiredServer> = self.rows.values().filter_map(expired).collect();
        for server in &over {
            if let Some(row) = self.rows.shift_remove(&server.id) {
                self.keep_removed_cold(&row);
            }
        }
        if !over.is_empty() {
            self.update_pools();
        }
        over
    }

    /// Returns whether a newer incarnation with the same name is known.
    #[must_use]
    pub fn is_superseded(&self, server: &BackendServer) -> bool {
        self.rows.get(&server.id).is_some_and(|row| server.is_before(&row.server))
    }

    /// Returns the row with the name of `server`, whichever incarnation it holds.
    pub(super) fn row(&self, server: &BackendServer) -> Option<&Row> {
        self.rows.get(&server.id)
    }

    /// Returns the row of `server`, unless it holds a newer incarnation.
    pub(super) fn current_row_mut(&mut self, server: &BackendServer) -> Option<&mut Row> {
        self.rows.get_mut(&server.id).filter(|row| !server.is_before(&row.server))
    }

    /// Records that a backend server itself announced that it is leaving. Returns whether it was
    /// ready.
    pub fn note_leaving(&mut self, server: &BackendServer) -> bool {
        let Some(row) = self.current_row_mut(server) else { return false };
        let was_ready = row.server.state == BackendState::Ready;
        row.server.state = BackendState::Leaving;
        self.update_derived();
        was_ready
    }

    /// Returns whether an incarnation is known, accepts new work and is not in a drained failure
    /// domain.
    ///
    /// Like one that is leaving, a backend server of a drained domain may be stopped while streams
    /// still run there, which says nothing against their requests.
    #[must_use]
    pub fn takes_work(&self, id: &str, born_ms: u64) -> bool {
        let is_available = |row: &&Row| row.server.born_ms == born_ms && self.may_get_requests(row);
        self.rows.get(id).filter(is_available).is_some()
    }

    /// Returns whether the table holds this incarnation, or one of an unknown start, and it accepts new
    /// work.
    pub(super) fn accepts_work(&self, server: &BackendServer) -> bool {
        self.row(server).is_some_and(|row| !server.is_before(&row.server) && row.accepts_work())
    }

    /// Returns whether a backend server accepts new work and is not in a drained failure domain.
    fn may_get_requests(&self, row: &Row) -> bool {
        row.accepts_work() && !self.drains.is_drained(&row.server.failure_domain)
    }

    /// Records how long the work of the backend server at `address` took at `reported_at`, in
    /// thousandths of the usual time. Returns whether that was news, which other entries should get.
    pub fn note_pace(&mut self, address: SocketAddr, permille: u32, reported_at: BootMs) -> bool {
        let rows = self.rows.values_mut().filter(|row| row.server.address == address);
        rows.fold(false, |is_news, row| row.note_pace(permille, reported_at) | is_news)
    }

    /// Records whether the leader of the group could reach the agent beside the backend server at
    /// `address` at `reported_at`. Returns whether that was news, which other entries should get.
    pub fn note_agent_reachable(
        &mut self,
        address: SocketAddr,
        is_reachable: bool,
        reported_at: BootMs,
    ) -> bool {
        let rows = self.rows.values_mut().filter(|row| row.server.address == address);
        rows.fold(false, |is_news, row| {
            row.note_agent_reachable(is_reachable, reported_at) | is_news
        })
    }

    /// Returns the backend servers of a pool or service that accept new work and are not in a
    /// drained failure domain.
    pub(super) fn available(&self, pool: &str) -> impl Iterator<Item = &Row> {
        let is_available = move |row: &&Row| row.belongs_to(pool) && self.may_get_requests(row);
        self.rows
            .values()
            .filter(is_available)
            .filter(|row| !self.replaced.contains(&row.server.id))
    }

    /// Updates what follows from the rows.
    fn update_derived(&mut self) {
        self.update_replaced();
        self.update_pools();
    }

    /// Finds servers whose address was registered later by another server that accepts work.
    ///
    /// The registration of a crashed server lasts for some heartbeats. After a power loss of all
    /// instances every address is listed twice, and half of all requests would reach a different
    /// incarnation than the chosen one.
    fn update_replaced(&mut self) {
        let mut latest: IndexMap<SocketAddr, u64> = IndexMap::new();
        for row in self.rows.values().filter(|row| row.accepts_work()) {
            let revision = latest.entry(row.server.address).or_default();
            *revision = row.server.listed_at_revision.max(*revision);
        }
        let is_replaced = |row: &&Row| {
            latest.get(&row.server.address).is_some_and(|it| *it > row.server.listed_at_revision)
        };
        let replaced = self.rows.values().filter(is_replaced).map(|row| row.server.id.clone());
        self.replaced = replaced.collect();
    }

    /// Records that a usual request was sent to a backend server.
    pub fn note_sent(&mut self, server: &BackendServer) {
        self.note_work_sent(server, &ExpectedWork::USUAL);
    }

    /// Records that a usual request ended at a backend server.
    pub fn note_ended(&mut self, server: &BackendServer) {
        self.note_work_ended(server, &ExpectedWork::USUAL, 0);
    }

    /// Records an answer of a backend server, which ends its run of consecutive failures.
    pub fn note_success(&mut self, server: &BackendServer) {
        if let Some(row) = self.current_row_mut(server) {
            row.note_success();
        }
    }

    /// Records a failure of a backend server. Returns until when it is paused, if it is.
    pub fn note_failure(&mut self, server: &BackendServer, now: BootMs) -> Option<BootMs> {
        self.current_row_mut(server)?.note_failure(now)
    }

    /// Returns the number of backend servers of a pool or service that take requests from this
    /// entry.
    #[must_use]
    pub fn ready_count(&self, pool: &str, now: BootMs) -> usize {
        self.taking_requests(pool, now).count()
    }

    /// Returns the number of this entry's open requests at all backend servers of a pool or service.
    #[must_use]
    pub fn outstanding(&self, pool: &str) -> u32 {
        let of_pool = self.rows.values().filter(|row| row.belongs_to(pool));
        of_pool.map(|row| row.outstanding).sum()
    }

    /// Returns the total slots of the backend servers of a pool or service that take requests from
    /// this entry.
    #[must_use]
    pub fn slots(&self, pool: &str, now: BootMs) -> u32 {
        let rows = self.taking_requests(pool, now).collect();
        self.without_cold(rows, now).iter().map(|row| row.server.slots).sum()
    }

    /// Returns the newest known incarnation with a name.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<BackendServer> {
        self.rows.get(id).map(|row| row.server.clone())
    }

    /// Returns the backend servers that the store lists, in no particular order.
    ///
    /// Those that it has ceased to list, and which stay usable for a short time, are left out.
    pub fn listed_servers(&self) -> impl Iterator<Item = &BackendServer> {
        let is_listed = |row: &&Row| !matches!(row.listing, Listing::Lapsed { .. });
        self.rows.values().filter(is_listed).map(|row| &row.server)
    }

    /// Returns for how long a backend server has been kept without a registration, in milliseconds;
    /// `None` if it is listed.
    #[must_use]
    pub fn unlisted_ms(&self, id: &str, now: BootMs) -> Option<u64> {
        match self.rows.get(id)?.listing {
            Listing::Lapsed { since, .. } => Some(now.since(since)),
            Listing::Listed | Listing::Unreadable => None,
        }
    }

    /// Returns all backend servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.rows.values().map(|row| &row.server)
    }
}
