//! What one entry has observed of a backend server: failures, pace and open requests.

use super::announcements::Announcements;
use super::backoff::Backoff;
use super::cold_servers::Coldness;
use super::outstanding_work::OutstandingWork;
use super::quiet_ranks::Streams;
use super::{BackendServer, BackendState, BootMs};
use std::sync::Arc;

/// First pause of a failing backend server; it doubles with each further consecutive failure.
const FIRST_PAUSE_MS: u64 = 400;

/// Longest pause of a backend server that keeps failing.
///
/// The shortest faults that end by themselves last 4 s. The pause is half of that, so that at most
/// 2 s of capacity are lost after such a fault.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// Consecutive failures before the first pause. A single broken connection does not mean a faulty
/// server.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Weight of the newest outcome in the moving average of failures, which covers about ten outcomes.
const FAILURE_WEIGHT: f64 = 0.1;

/// Pace of a backend server whose work takes the usual time.
pub(super) const USUAL_PACE_PERMILLE: u32 = 1_000;

/// Time for which a reported pace is valid. The agent repeats its report well within this time;
/// when the agent is gone, its last report must not divert work from the backend server for good.
const PACE_VALID_MS: u64 = 3_000;

/// Time for which a report that an agent is unreachable is valid. The leader of the group repeats
/// it well within this time; when the leader is gone, its last report must not divert work for
/// good.
const AGENT_UNREACHABLE_VALID_MS: u64 = 3_000;

/// Time by which a report of the same content must be newer than the last one to be passed on to other
/// entries. Copies of one report arrive over several of them, each a little later.
const REPEATED_AFTER_MS: u64 = 500;

/// Whether the store still lists a backend server of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listing {
    /// The store lists the backend server.
    Listed,
    /// It is missing since `since`, maybe because of an outage of the store, and stays usable until
    /// `until`.
    Lapsed { since: BootMs, until: BootMs },
    /// The store holds an unreadable value under its name. It gets no new work until the value is
    /// readable again.
    Unreadable,
}

/// A backend server with the state that this entry has observed.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) server: BackendServer,
    /// Name of the pool that it belongs to.
    pub(super) pool: Arc<str>,
    pub(super) listing: Listing,
    pub(super) outstanding: u32,
    pub(super) outstanding_work: OutstandingWork,
    /// The streams among the outstanding requests.
    pub(super) streams: Streams,
    failures_in_row: u32,
    pub(super) failure_share: f64,
    pub(super) paused_until: BootMs,
    pub(super) backoff: Backoff,
    pub(super) cold: Coldness,
    pace_permille: u32,
    pace_until: BootMs,
    agent_unreachable_until: BootMs,
    /// When the leader of its group last reported whether the agent beside it is reachable.
    agent_reported_at: Option<BootMs>,
}

impl Row {
    /// Creates a row without history, but for what the incarnation has announced.
    pub(super) fn new(mut server: BackendServer, announcements: &Announcements) -> Self {
        let announced = announcements.of(&server);
        if announced.is_leaving {
            server.state = BackendState::Leaving;
        }
        let pool = Arc::from(server.service.as_str());
        Self {
            server,
            pool,
            backoff: Backoff::new(announced.backoff_until),
            cold: Coldness::default(),
            listing: Listing::Listed,
            outstanding: 0,
            outstanding_work: OutstandingWork::default(),
            streams: Streams::default(),
            failures_in_row: 0,
            failure_share: 0.0,
            paused_until: BootMs(0),
            pace_permille: USUAL_PACE_PERMILLE,
            pace_until: BootMs(0),
            agent_unreachable_until: BootMs(0),
            agent_reported_at: None,
        }
    }

    /// Returns whether it belongs to the pool or service with a name.
    pub(super) fn belongs_to(&self, pool: &str) -> bool {
        *self.pool == *pool || self.server.service == pool
    }

    /// Returns how long its work takes, in thousandths of the usual time; the usual pace if
    /// unknown.
    pub(super) fn pace_permille(&self, now: BootMs) -> u32 {
        if self.pace_until > now { self.pace_permille } else { USUAL_PACE_PERMILLE }
    }

    /// Returns whether a valid report says that the agent beside it is unreachable.
    pub(super) fn is_agent_unreachable(&self, now: BootMs) -> bool {
        self.agent_unreachable_until > now
    }

    /// Returns whether it is listed readably and accepts new work.
    pub(super) fn accepts_work(&self) -> bool {
        self.server.state == BackendState::Ready && self.listing != Listing::Unreadable
    }

    /// Records how long its work took at `reported_at`, in thousandths of the usual time. Returns
    /// whether that was news. A report older than the last one changes nothing.
    pub(super) fn note_pace(&mut self, permille: u32, reported_at: BootMs) -> bool {
        let permille = permille.max(USUAL_PACE_PERMILLE);
        let until = reported_at.after(PACE_VALID_MS);
        if until < self.pace_until {
            return false;
        }
        let is_repeated = until.since(self.pace_until) >= REPEATED_AFTER_MS;
        let is_news = permille != self.pace_permille || is_repeated;
        self.pace_permille = permille;
        self.pace_until = until;
        is_news
    }

    /// Records whether the leader of its group could reach the agent beside it at `reported_at`.
    /// Returns whether that was news. A report older than the last one changes nothing.
    pub(super) fn note_agent_reachable(&mut self, is_reachable: bool, reported_at: BootMs) -> bool {
        let until =
            if is_reachable { reported_at } else { reported_at.after(AGENT_UNREACHABLE_VALID_MS) };
        let known_at = self.agent_reported_at;
        if known_at.is_some_and(|at| reported_at < at) {
            return false;
        }
        let was_reachable = known_at.is_some_and(|at| self.agent_unreachable_until <= at);
        let is_repeated = known_at.is_none_or(|at| reported_at.since(at) >= REPEATED_AFTER_MS);
        self.agent_reported_at = Some(reported_at);
        self.agent_unreachable_until = until;
        is_repeated || was_reachable != is_reachable
    }

    /// Records an answer, which ends a run of consecutive failures.
    pub(super) fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a failure. Returns until when the backend server is paused, if it is.
    pub(super) fn note_failure(&mut self, now: BootMs) -> Option<BootMs> {
        self.failures_in_row += 1;
        self.failure_share = self.failure_share * (1.0 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
        let beyond = self.failures_in_row.checked_sub(FAILURES_BEFORE_PAUSE)?;
        let pause_ms = (FIRST_PAUSE_MS << beyond.min(8)).min(LONGEST_PAUSE_MS);
        self.paused_until = now.after(pause_ms);
        Some(self.paused_until)
    }
}
