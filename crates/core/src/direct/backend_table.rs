//! The backend servers that this entry reaches, and what it has seen of them.

use super::BootMs;
use super::quiet_ranks::Streams;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Time after the store's return for which an entry that lapsed meanwhile stays usable.
///
/// Entries of live backend servers are back within about two seconds of the store's return; dropping
/// them at once would leave requests without a backend server after every outage.
const LAPSE_GRACE_MS: u64 = 2_200;

/// First pause of a backend server that failed; doubles with each further failure in a row.
const FIRST_PAUSE_MS: u64 = 400;

/// Longest pause of a backend server that keeps failing.
///
/// Well under the shortest faults that were seen to end by themselves (4 s), so that capacity is
/// missed for at most half of that after the fault.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// Failures in a row before the first pause. One broken connection is no sign of a bad server.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Weight of the newest outcome in the running share of failures, for about the last ten outcomes.
const FAILURE_WEIGHT: f64 = 0.1;

/// Pace of a backend server whose work takes as long as usual.
pub(super) const USUAL_PACE_PERMILLE: u32 = 1_000;

/// Time for which a slow pace is believed. Its agent says it again well before; an agent that is
/// gone must not keep work away from its backend server for good.
const PACE_KEPT_MS: u64 = 3_000;

/// Time for which it is believed that the agent beside a backend server is not heard. The agent that leads
/// says it again well before; one that is gone must not keep work away for good.
const AGENT_UNREACHABLE_KEPT_MS: u64 = 3_000;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It finishes what runs and takes nothing new.
    Leaving,
}

/// One incarnation of a backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name. A backend server that starts again may have the name that it had.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock, which tells incarnations of one name
    /// apart; 0 when it does not say.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// The store's revision at which its entry appeared.
    pub listed_at_revision: u64,
}

impl BackendServer {
    /// Whether this is an earlier incarnation than `other` of the same name.
    ///
    /// One that does not say when it started is taken for the same.
    #[must_use]
    pub const fn is_before(&self, other: &Self) -> bool {
        self.born_ms != 0 && self.born_ms < other.born_ms
    }
}

/// Where a row of the table comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The store lists it.
    Listed,
    /// It vanished while the store was away, and is usable until then.
    LapsedUntil(BootMs),
    /// The store holds something under its name that cannot be read: it gets no new work until the
    /// store holds its entry again.
    Unreadable,
}

/// A backend server with what this entry saw of it.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) server: BackendServer,
    listing: Listing,
    pub(super) outstanding: u32,
    /// The streams among them.
    pub(super) streams: Streams,
    failures_in_row: u32,
    pub(super) failure_share: f64,
    pub(super) paused_until: BootMs,
    pace_permille: u32,
    pace_until: BootMs,
    agent_unreachable_until: BootMs,
}

/// All backend servers, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    pub(super) rows: IndexMap<String, Row>,
    /// Names of those whose address another one has got since.
    replaced: IndexSet<String>,
    pub(super) own_failure_domain: String,
    /// Passes of the group of a service that were seen to end.
    pub(super) passes: IndexMap<String, u64>,
}

impl BackendTable {
    /// An empty table of an entry in `own_failure_domain`.
    #[must_use]
    pub fn new(own_failure_domain: &str) -> Self {
        let own_failure_domain = own_failure_domain.to_owned();
        Self { own_failure_domain, ..Self::default() }
    }

    /// Takes over what the platform says of one backend server. Returns whether anything changed.
    ///
    /// A newer incarnation of the same name knows nothing of before: failures, pauses and open
    /// requests of the earlier one are forgotten, and so is that it was leaving. An earlier one, as a
    /// stale replica may show it, changes nothing.
    pub fn put(&mut self, server: BackendServer) -> bool {
        let changed = self.put_row(server);
        if changed {
            self.find_replaced();
        }
        changed
    }

    fn put_row(&mut self, mut server: BackendServer) -> bool {
        let Some(row) = self.rows.get_mut(&server.id) else {
            self.rows.insert(server.id.clone(), Row::new(server));
            return true;
        };
        if server.is_before(&row.server) {
            return false;
        }
        if row.server.is_before(&server) {
            *row = Row::new(server);
            return true;
        }
        server.born_ms = server.born_ms.max(row.server.born_ms);
        // A stale replica may show an older entry; who has said that it leaves never comes back as
        // the same incarnation.
        if row.server.state == BackendState::Leaving {
            server.state = BackendState::Leaving;
        }
        let changed = row.server != server || row.listing != Listing::Listed;
        row.listing = Listing::Listed;
        row.server = server;
        changed
    }

    /// Notes that the store holds something unreadable under a name. Returns whether that changed
    /// anything.
    ///
    /// Whoever wrote it, the backend server's own entry is no longer there to say that it takes work.
    pub fn note_unreadable(&mut self, id: &str) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        let changed = row.listing != Listing::Unreadable;
        row.listing = Listing::Unreadable;
        self.find_replaced();
        changed
    }

    /// Drops an incarnation that the platform no longer lists. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let was_known = self.rows.swap_remove(id).is_some();
        self.find_replaced();
        was_known
    }

    /// Takes over a whole listing made at `now`, `returned_at` being when the store came back.
    ///
    /// Returns the incarnations that were dropped.
    pub fn replace_all(
        &mut self,
        servers: Vec<BackendServer>,
        now: BootMs,
        returned_at: Option<BootMs>,
    ) -> Vec<String> {
        let listed: Vec<String> = servers.iter().map(|server| server.id.clone()).collect();
        for server in servers {
            self.put_row(server);
        }
        self.find_replaced();
        let missing = self.rows.keys().filter(|id| !listed.contains(id)).cloned();
        let missing: Vec<String> = missing.collect();
        missing.into_iter().filter(|id| self.lapse(id, now, returned_at)).collect()
    }

    /// An incarnation is no longer listed. Returns whether it was dropped at once.
    ///
    /// Entries may lapse only because the store was away; they stay usable for a short time after
    /// its return. At any other time a missing entry means that the backend server is gone.
    pub fn lapse(&mut self, id: &str, now: BootMs, returned_at: Option<BootMs>) -> bool {
        let until = returned_at.map(|at| at.after(LAPSE_GRACE_MS)).filter(|until| *until > now);
        match (until, self.rows.get_mut(id)) {
            (Some(until), Some(row)) => {
                if row.listing == Listing::Listed {
                    row.listing = Listing::LapsedUntil(until);
                }
                false
            }
            (None, Some(_)) => self.remove(id),
            (_, None) => false,
        }
    }

    /// Drops lapsed incarnations whose time is over; returns them.
    pub fn expire(&mut self, now: BootMs) -> Vec<String> {
        let is_over = |row: &Row| matches!(row.listing, Listing::LapsedUntil(at) if at <= now);
        let over = self.rows.values().filter(|row| is_over(row)).map(|row| row.server.id.clone());
        let over: Vec<String> = over.collect();
        self.rows.retain(|_, row| !is_over(row));
        over
    }

    /// Whether a newer incarnation has taken the name of this one.
    #[must_use]
    pub fn is_superseded(&self, server: &BackendServer) -> bool {
        self.rows.get(&server.id).is_some_and(|row| server.is_before(&row.server))
    }

    /// The row of a name, whichever incarnation it has now.
    pub(super) fn row(&self, server: &BackendServer) -> Option<&Row> {
        self.rows.get(&server.id)
    }

    pub(super) fn row_of(&mut self, server: &BackendServer) -> Option<&mut Row> {
        self.rows.get_mut(&server.id).filter(|row| !server.is_before(&row.server))
    }

    /// Notes that a backend server itself says that it leaves.
    pub fn note_leaving(&mut self, server: &BackendServer) -> bool {
        let Some(row) = self.row_of(server) else { return false };
        let was_ready = row.server.state == BackendState::Ready;
        row.server.state = BackendState::Leaving;
        self.find_replaced();
        was_ready
    }

    /// Whether an incarnation is known and takes new work.
    #[must_use]
    pub fn takes_work(&self, id: &str, born_ms: u64) -> bool {
        let is_it = |row: &&Row| row.server.born_ms == born_ms && row.takes_work();
        self.rows.get(id).filter(is_it).is_some()
    }

    /// Notes how long the work of the backend server at `address` takes, in thousandths of the
    /// usual time.
    pub fn note_pace(&mut self, address: SocketAddr, permille: u32, now: BootMs) {
        for row in self.rows.values_mut().filter(|row| row.server.address == address) {
            row.pace_permille = permille.max(USUAL_PACE_PERMILLE);
            row.pace_until = now.after(PACE_KEPT_MS);
        }
    }

    /// Notes whether the agent beside the backend server at `address` is heard by the one that leads their
    /// group.
    pub fn note_agent_reachable(&mut self, address: SocketAddr, is_reachable: bool, now: BootMs) {
        let until = if is_reachable { now } else { now.after(AGENT_UNREACHABLE_KEPT_MS) };
        for row in self.rows.values_mut().filter(|row| row.server.address == address) {
            row.agent_unreachable_until = until;
        }
    }

    pub(super) fn open(&self, service: &str) -> impl Iterator<Item = &Row> {
        let is_open = move |row: &&Row| row.server.service == service && row.takes_work();
        self.rows.values().filter(is_open).filter(|row| !self.replaced.contains(&row.server.id))
    }

    /// Finds those whose address another backend server that takes work has got since.
    ///
    /// The entry of one that crashed stays for some heartbeats. After all machines have lost power every
    /// address is listed twice, and half of all requests would reach a backend server that is another.
    fn find_replaced(&mut self) {
        let mut latest: IndexMap<SocketAddr, u64> = IndexMap::new();
        for row in self.rows.values().filter(|row| row.takes_work()) {
            let revision = latest.entry(row.server.address).or_default();
            *revision = row.server.listed_at_revision.max(*revision);
        }
        let is_replaced = |row: &&Row| {
            latest.get(&row.server.address).is_some_and(|it| *it > row.server.listed_at_revision)
        };
        let replaced = self.rows.values().filter(is_replaced).map(|row| row.server.id.clone());
        self.replaced = replaced.collect();
    }

    /// Counts a request sent to a backend server.
    pub fn note_sent(&mut self, server: &BackendServer) {
        if let Some(row) = self.row_of(server) {
            row.outstanding += 1;
        }
    }

    /// Counts the end of a request at a backend server.
    pub fn note_ended(&mut self, server: &BackendServer) {
        if let Some(row) = self.row_of(server) {
            row.outstanding = row.outstanding.saturating_sub(1);
        }
    }

    /// Notes an answer of a backend server.
    pub fn note_success(&mut self, server: &BackendServer) {
        if let Some(row) = self.row_of(server) {
            row.failures_in_row = 0;
            row.failure_share *= 1.0 - FAILURE_WEIGHT;
        }
    }

    /// Notes a failure that a backend server is blamed for. Returns until when it is paused.
    pub fn note_failure(&mut self, server: &BackendServer, now: BootMs) -> Option<BootMs> {
        let row = self.row_of(server)?;
        row.failures_in_row += 1;
        row.failure_share = row.failure_share * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        let beyond = row.failures_in_row.checked_sub(FAILURES_BEFORE_PAUSE)?;
        let pause_ms = (FIRST_PAUSE_MS << beyond.min(8)).min(LONGEST_PAUSE_MS);
        row.paused_until = now.after(pause_ms);
        Some(row.paused_until)
    }

    /// Backend servers of a service that take new work.
    #[must_use]
    pub fn ready_count(&self, service: &str) -> usize {
        self.open(service).count()
    }

    /// This entry's open requests at all backend servers of a service.
    #[must_use]
    pub fn outstanding(&self, service: &str) -> u32 {
        let of_service = self.rows.values().filter(|row| row.server.service == service);
        of_service.map(|row| row.outstanding).sum()
    }

    /// Requests that the ready backend servers of a service run at once.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        self.open(service).map(|row| row.server.slots).sum()
    }

    /// The newest incarnation of a name.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<BackendServer> {
        self.rows.get(id).map(|row| row.server.clone())
    }

    /// All backend servers, in no order that means anything.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.rows.values().map(|row| &row.server)
    }
}

impl Row {
    /// How long its work takes, as far as is known, in thousandths of the usual time.
    pub(super) fn pace_permille(&self, now: BootMs) -> u32 {
        if self.pace_until > now { self.pace_permille } else { USUAL_PACE_PERMILLE }
    }

    /// Whether the agent beside it is not heard, as far as is known.
    pub(super) fn is_agent_unreachable(&self, now: BootMs) -> bool {
        self.agent_unreachable_until > now
    }

    fn takes_work(&self) -> bool {
        self.server.state == BackendState::Ready && self.listing != Listing::Unreadable
    }

    fn new(server: BackendServer) -> Self {
        Self {
            server,
            listing: Listing::Listed,
            outstanding: 0,
            streams: Streams::default(),
            failures_in_row: 0,
            failure_share: 0.0,
            paused_until: BootMs(0),
            pace_permille: USUAL_PACE_PERMILLE,
            pace_until: BootMs(0),
            agent_unreachable_until: BootMs(0),
        }
    }
}
