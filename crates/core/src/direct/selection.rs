//! Selection of a backend server for a request.
//!
//! The least loaded backend server is chosen. Servers that recently failed, ranks that slow their
//! whole group down, and ranks whose instance seems frozen or cut off are avoided while others
//! remain.

use super::backend_row::{Row, USUAL_PACE_PERMILLE};
use super::{BackendServer, BackendTable, BootMs, ExpectedWork, LoadMeasure, RequestCount};
use indexmap::IndexSet;

/// Load, in requests, that a failure share of 1 adds to a backend server.
const FAILURE_PENALTY_REQUESTS: f64 = 12.0;

/// Load, in requests, that being in another failure domain adds. It is small enough to decide ties
/// only.
const OTHER_DOMAIN_PENALTY_REQUESTS: f64 = 0.3;

/// Largest load that the preference for the own failure domain may bring to a backend server, as a
/// multiple of what it gets if the entries of each domain send as much as the others and prefer their
/// own.
const OWN_DOMAIN_SHARES: f64 = 1.5;

/// Load, in requests, that a stream without an event adds beyond its own.
///
/// A rank begins only a few streams per pass, and callers lose queued streams if its instance
/// freezes.
const NOT_BEGUN_PENALTY_REQUESTS: f64 = 2.0;

/// Distance below the median load from which a backend server counts as underloaded.
const UNDERLOADED_REQUESTS: f64 = 0.9;

/// Share of an entry's requests that each underloaded backend server gets, as a multiple of an even
/// share.
const CATCH_UP_SHARES: f64 = 3.0;

/// Largest difference of two loads that count as equal.
const EQUAL_REQUESTS: f64 = 0.05;

/// Pace from which a rank counts as slow and is avoided, in thousandths of the usual time.
///
/// All ranks of a group run each pass together, so a slow rank with work of its own slows every
/// stream of the group; without work it delays nobody. A pass of a busy group takes half of the gap
/// that callers were promised, so passes of twice the usual time make all streams late.
const SLOW_PACE_PERMILLE: u32 = 1_500;

/// Largest fraction of ranks that are avoided at a time, as a divisor. The other ranks take over
/// their work, for which a group with nine tenths of its slots in use has just enough room.
const AVOIDED_DIVISOR: usize = 10;

/// What restricts the choice of a backend server for one request.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    service: &'a str,
    pool: Option<&'a str>,
    excluded: &'a [String],
    domains: Option<&'a IndexSet<String>>,
    work: ExpectedWork,
    load_measure: &'static dyn LoadMeasure,
    /// Prompt tokens that fit into the memory of a backend server, if that is known.
    kv_capacity_tokens: Option<f64>,
}

impl<'a> Selection<'a> {
    /// Allows all backend servers of `service` but those whose ids are in `excluded`.
    #[must_use]
    pub const fn new(service: &'a str, excluded: &'a [String]) -> Self {
        Self {
            service,
            pool: None,
            excluded,
            domains: None,
            work: ExpectedWork::USUAL,
            load_measure: &RequestCount,
            kv_capacity_tokens: None,
        }
    }

    /// Allows only the backend servers of one pool of the service.
    #[must_use]
    pub const fn in_pool(self, pool: &'a str) -> Self {
        Self { pool: Some(pool), ..self }
    }

    /// Allows only backend servers in the given failure domains, or in all for `None`.
    #[must_use]
    pub const fn in_domains(self, domains: Option<&'a IndexSet<String>>) -> Self {
        Self { domains, ..self }
    }

    /// Selects for a request with `work`, and compares backend servers by `load_measure`.
    #[must_use]
    pub const fn with_work(
        self,
        work: ExpectedWork,
        load_measure: &'static dyn LoadMeasure,
    ) -> Self {
        Self { work, load_measure, ..self }
    }

    /// Allows only backend servers whose memory, which holds `kv_capacity_tokens` prompt tokens,
    /// has room for the prompt.
    #[must_use]
    pub const fn within_memory(self, kv_capacity_tokens: Option<f64>) -> Self {
        Self { kv_capacity_tokens, ..self }
    }

    /// Returns the name of the pool, or of the service if all its pools are allowed.
    fn scope(&self) -> &'a str {
        self.pool.unwrap_or(self.service)
    }

    /// Returns whether the request may be sent to a backend server of its service.
    pub(super) fn allows(&self, server: &BackendServer) -> bool {
        let is_allowed_domain =
            self.domains.is_none_or(|domains| domains.contains(&server.failure_domain));
        is_allowed_domain && !self.excluded.contains(&server.id)
    }

    /// Returns the service of the request.
    pub(super) const fn service(&self) -> &'a str {
        self.service
    }

    fn fits(&self, row: &Row) -> bool {
        self.kv_capacity_tokens.is_none_or(|capacity| row.has_memory_for(&self.work, capacity))
    }
}

/// Result of [`BackendTable::choose`].
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The chosen backend server.
    pub server: BackendServer,
    /// Its load in usual requests, penalties included.
    pub load_requests: f64,
    /// Number of other backend servers that could have been chosen.
    pub others: usize,
}

impl BackendTable {
    /// Chooses a backend server for a request.
    ///
    /// Chooses the one with the least load, computed from this entry's own open requests or their
    /// expected work, recent failures, failure domain and pace. `draw`, a random number from 0 up to
    /// 1, decides among equals. Paused and avoided servers are used only when no other is left, since a fault
    /// elsewhere may have caused all of them to be paused. Servers in backoff are never used.
    #[must_use]
    pub fn choose(&self, selection: &Selection<'_>, now: BootMs, draw: f64) -> Option<Choice> {
        let taking = self.taking_requests(selection.scope(), now);
        let taking: Vec<&Row> =
            taking.filter(|row| selection.allows(&row.server) && selection.fits(row)).collect();
        let avoids_ranks = self.avoids_ranks(selection.scope(), now);
        let is_usable = |row: &&Row| self.is_usable(row, avoids_ranks, now);
        let usable: Vec<&Row> = taking.iter().copied().filter(is_usable).collect();
        let rows = if usable.is_empty() { taking } else { usable };
        let unavoided: Vec<&Row> =
            rows.iter().copied().filter(|row| !row.backoff.is_avoided(now)).collect();
        let rows = if unavoided.is_empty() { rows } else { unavoided };
        let others = rows.len().saturating_sub(1);
        let (rows, draw) = self.candidates(rows, selection, now, draw)?;
        let (prefers_own_domain, draw) = self.prefers_own_domain(&rows, draw);
        let load = |row: &Row| match prefers_own_domain {
            true => self.load(row, selection, now),
            false => self.load_in_any_domain(row, selection, now),
        };
        let load_requests = rows.iter().map(|row| load(row)).min_by(f64::total_cmp)?;
        // Entries do not see each other's requests. If each took the first of several equals, the
        // first servers of the list would get the requests of all entries.
        let is_least = |row: &&&Row| load(row) <= load_requests + EQUAL_REQUESTS;
        let equals: Vec<&&Row> = rows.iter().filter(is_least).collect();
        let index = ((draw * equals.len() as f64) as usize).min(equals.len() - 1);
        let server = equals[index].server.clone();
        Some(Choice { server, load_requests, others })
    }

    /// Returns whether a backend server that the selection allows accepts new work, which may be in
    /// backoff at present.
    #[must_use]
    pub fn has_available(&self, selection: &Selection<'_>) -> bool {
        self.available(selection.service).any(|row| selection.allows(&row.server))
    }

    /// Returns which of `rows` a request chooses among, and the rest of its draw rescaled to 0 up
    /// to 1.
    ///
    /// Entries do not see each other's requests. A rank that returns after a network partition has
    /// no open requests at any entry. If all entries chose it as the least loaded one, it would get
    /// every request until each entry has sent it as many as it has elsewhere. So ranks that are
    /// underloaded and have not run a stream recently get a fixed multiple of an even share of each
    /// entry's requests, which limits their share of all requests whatever the number of entries.
    /// Ranks that run streams are always chosen by least load, since an even load matters most when
    /// it is high.
    fn candidates<'a>(
        &self,
        rows: Vec<&'a Row>,
        selection: &Selection<'_>,
        now: BootMs,
        draw: f64,
    ) -> Option<(Vec<&'a Row>, f64)> {
        let count = rows.len() as f64;
        let mut loads: Vec<f64> = rows.iter().map(|row| self.load(row, selection, now)).collect();
        loads.sort_by(f64::total_cmp);
        let median = *loads.get(loads.len() / 2)?;
        let is_underloaded = |row: &&Row| {
            self.load(row, selection, now) + UNDERLOADED_REQUESTS < median
                && !row.has_run_recently(now)
        };
        let (underloaded, rest): (Vec<&Row>, Vec<&Row>) =
            rows.into_iter().partition(is_underloaded);
        let share = (underloaded.len() as f64 * CATCH_UP_SHARES / count).min(1.0);
        if draw < share {
            return Some((underloaded, draw / share));
        }
        Some((rest, (draw - share) / (1.0 - share)))
    }

    /// Returns whether a request prefers the backend servers of the own failure domain among `rows`, and
    /// the rest of its draw rescaled to 0 up to 1.
    ///
    /// An entry of a large fleet has no open requests at most backend servers, so that the preference
    /// decides nearly always. Where few of the servers are in its domain, as when a group has one rank
    /// there and all others elsewhere, these would get the requests of all entries of the domain.
    fn prefers_own_domain(&self, rows: &[&Row], draw: f64) -> (bool, f64) {
        let domains: IndexSet<&str> =
            rows.iter().map(|row| row.server.failure_domain.as_str()).collect();
        let own = rows.iter().filter(|row| self.is_in_own_domain(row)).count();
        let even_share = own as f64 / rows.len() as f64;
        let share = even_share * domains.len() as f64 * OWN_DOMAIN_SHARES;
        if own == 0 || share >= 1.0 {
            return (true, draw);
        }
        if draw < share {
            return (true, draw / share);
        }
        (false, (draw - share) / (1.0 - share))
    }

    fn is_in_own_domain(&self, row: &Row) -> bool {
        row.server.failure_domain == self.own_failure_domain
    }

    /// Returns whether any backend server takes a request.
    #[must_use]
    pub fn has_choice(&self, selection: &Selection<'_>, now: BootMs) -> bool {
        let mut taking = self.taking_requests(selection.scope(), now);
        taking.any(|row| selection.allows(&row.server))
    }

    /// Returns the total slots of the backend servers of a pool or service that get new work.
    #[must_use]
    pub fn usable_slots(&self, pool: &str, now: BootMs) -> u32 {
        let avoids_ranks = self.avoids_ranks(pool, now);
        let rows = self.taking_requests(pool, now);
        let rows = rows.filter(|row| self.is_usable(row, avoids_ranks, now)).collect();
        self.without_cold(rows, now).iter().map(|row| row.server.slots).sum()
    }

    /// Returns whether a backend server that takes requests gets any while others do.
    fn is_usable(&self, row: &Row, avoids_ranks: bool, now: BootMs) -> bool {
        row.paused_until <= now
            && !(avoids_ranks && row.is_avoided(now))
            && !self.is_quiet(row, now)
    }

    /// Returns whether streams at a backend server should continue elsewhere because it slows its
    /// group.
    #[must_use]
    pub fn should_move_streams(&self, server: &BackendServer, now: BootMs) -> bool {
        let row = self.row(server);
        row.is_some_and(|row| row.slows_its_group(now) && self.avoids_ranks(&row.pool, now))
    }

    /// Returns whether requests at a backend server should time out early.
    ///
    /// That is so when its agent is unreachable too and few ranks are avoided, or when none of its
    /// streams makes progress.
    #[must_use]
    pub fn should_time_out_early(&self, server: &BackendServer, now: BootMs) -> bool {
        let Some(row) = self.row(server) else { return false };
        let is_reported = row.is_agent_unreachable(now) && self.avoids_ranks(&row.pool, now);
        is_reported || self.is_quiet(row, now)
    }

    /// Returns whether slow and unreachable ranks of a pool or service are avoided, which requires
    /// that they are few enough for the others to take over their work.
    fn avoids_ranks(&self, pool: &str, now: BootMs) -> bool {
        let avoided = self.taking_requests(pool, now).filter(|row| row.is_avoided(now)).count();
        avoided <= max_avoided_ranks(self.taking_requests(pool, now).count())
    }

    /// Returns the load of a backend server in usual requests, penalties included.
    fn load(&self, row: &Row, selection: &Selection<'_>, now: BootMs) -> f64 {
        let is_elsewhere = !self.is_in_own_domain(row);
        let penalty = if is_elsewhere { OTHER_DOMAIN_PENALTY_REQUESTS } else { 0.0 };
        self.load_with_penalty(row, selection, now, penalty)
    }

    /// Returns the load of a backend server without the penalty for another failure domain.
    fn load_in_any_domain(&self, row: &Row, selection: &Selection<'_>, now: BootMs) -> f64 {
        self.load_with_penalty(row, selection, now, 0.0)
    }

    fn load_with_penalty(
        &self,
        row: &Row,
        selection: &Selection<'_>,
        now: BootMs,
        domain_penalty: f64,
    ) -> f64 {
        let measure = selection.load_measure;
        let requests = measure.open_load(row.open_requests())
            + f64::from(row.streams.not_begun) * NOT_BEGUN_PENALTY_REQUESTS
            + domain_penalty
            + row.failure_share * FAILURE_PENALTY_REQUESTS;
        let pace_permille = row.pace_permille(now);
        // The next request is counted too, so that a slow server is not preferred even when it is
        // idle.
        let added = measure.added_load(selection.work.units());
        (requests + added) * f64::from(pace_permille) / f64::from(USUAL_PACE_PERMILLE) - added
    }
}

/// Returns how many of `ranks` may be avoided at a time; at least one.
pub(crate) fn max_avoided_ranks(ranks: usize) -> usize {
    (ranks / AVOIDED_DIVISOR).max(1)
}

impl Row {
    fn is_avoided(&self, now: BootMs) -> bool {
        self.slows_its_group(now) || self.is_agent_unreachable(now)
    }

    fn slows_its_group(&self, now: BootMs) -> bool {
        self.pace_permille(now) >= SLOW_PACE_PERMILLE
    }
}
