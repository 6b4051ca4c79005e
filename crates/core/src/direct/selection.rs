//! The choice among backend servers.

use super::BootMs;
use super::backend_table::{BackendServer, BackendTable, Row, USUAL_PACE_PERMILLE};

/// Requests that a share of failures of 1 is worth when loads are compared.
const FAILURE_PENALTY_REQUESTS: f64 = 12.0;

/// Requests that being in another failure domain is worth: it only settles ties.
const OTHER_DOMAIN_PENALTY_REQUESTS: f64 = 0.3;

/// Requests that a stream without an event is worth beyond itself when loads are compared.
///
/// A rank begins a few streams in a pass; what lies there unrun is lost to its callers if the machine freezes.
const UNBEGUN_PENALTY_REQUESTS: f64 = 2.0;

/// Requests by which a load lies below the middle one from which it is far less.
const FAR_LESS_REQUESTS: f64 = 0.9;

/// Part of all requests that a backend server with far less than others gets, as a multiple of an even part.
const CATCH_UP_PARTS: f64 = 3.0;

/// Difference of two loads that counts as none.
const EQUAL_REQUESTS: f64 = 0.05;

/// Pace from which a rank is left, in thousandths of the usual time.
///
/// The ranks of a group make each pass together, so one that is slow makes every stream of the group
/// slow for as long as it has work of its own; without any it holds up nobody. A pass of a busy group
/// takes half of the pause that callers were promised: from twice as long on all of them are late.
const LEFT_PACE_PERMILLE: u32 = 1_500;

/// Part of the ranks that are left at most, as a divisor. The others take their work over, for which a
/// group that is nine tenths full has just room. Other figures were not measured.
const LEFT_DIVISOR: usize = 10;

/// A chosen backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The backend server.
    pub server: BackendServer,
    /// Its load as compared, in requests.
    pub load_requests: f64,
    /// How many others were open to choice.
    pub others: usize,
}

impl BackendTable {
    /// Chooses a backend server of a service, passing over those in `tried`.
    ///
    /// The least loaded goes first, counted by this entry's own open requests, recent failures, and
    /// how long its work takes; among equals `draw`, from 0 up to 1, decides. Paused ones are used only
    /// when no other is left: all may be paused by a fault that was not theirs.
    #[must_use]
    pub fn choose(
        &self,
        service: &str,
        tried: &[String],
        now: BootMs,
        draw: f64,
    ) -> Option<Choice> {
        let open: Vec<&Row> =
            self.open(service).filter(|row| !tried.contains(&row.server.id)).collect();
        let leaves = self.leaves_few(service, now);
        let is_awake = |row: &&Row| {
            row.paused_until <= now && !(leaves && row.is_avoided(now)) && !self.is_quiet(row, now)
        };
        let awake: Vec<&Row> = open.iter().copied().filter(is_awake).collect();
        let rows = if awake.is_empty() { open } else { awake };
        let others = rows.len().saturating_sub(1);
        let (rows, draw) = self.offered(rows, now, draw)?;
        let load_requests = rows.iter().map(|row| self.load(row, now)).min_by(f64::total_cmp)?;
        // Entries do not see each other's requests: if each took the first one among equals, the first
        // ones of the list would get the requests of all.
        let is_least = |row: &&&Row| self.load(row, now) <= load_requests + EQUAL_REQUESTS;
        let equals: Vec<&&Row> = rows.iter().filter(is_least).collect();
        let drawn = ((draw * equals.len() as f64) as usize).min(equals.len() - 1);
        let server = equals[drawn].server.clone();
        Some(Choice { server, load_requests, others })
    }

    /// Among which of `rows` a request chooses, and what is left of its draw.
    ///
    /// Entries do not see each other's requests. A rank that is back from a cut has nothing open at any of them, and
    /// if it were the least loaded one for all it would get every request of all entries until each has sent it as
    /// much as it has elsewhere. So those with far less than the others, at which nothing has run lately, get some
    /// multiple of an even part of each entry's requests, which is that of all entries' together, however many there
    /// are. Where something runs the least loaded one is chosen as ever: evenness is worth most under high load.
    fn offered<'a>(
        &self,
        rows: Vec<&'a Row>,
        now: BootMs,
        draw: f64,
    ) -> Option<(Vec<&'a Row>, f64)> {
        let all = rows.len() as f64;
        let mut loads: Vec<f64> = rows.iter().map(|row| self.load(row, now)).collect();
        loads.sort_by(f64::total_cmp);
        let middle = *loads.get(loads.len() / 2)?;
        let is_back = |row: &&Row| {
            self.load(row, now) + FAR_LESS_REQUESTS < middle && !row.has_run_lately(now)
        };
        let (back, rest): (Vec<&Row>, Vec<&Row>) = rows.into_iter().partition(is_back);
        let part = (back.len() as f64 * CATCH_UP_PARTS / all).min(1.0);
        if draw < part {
            return Some((back, draw / part));
        }
        Some((rest, (draw - part) / (1.0 - part)))
    }

    /// Whether streams at a backend server should go on elsewhere, because it holds its group up.
    #[must_use]
    pub fn should_move_streams(&self, server: &BackendServer, now: BootMs) -> bool {
        let row = self.row(server);
        row.is_some_and(|row| row.holds_up_its_group(now)) && self.leaves_few(&server.service, now)
    }

    /// Whether a backend server that says nothing should be given up soon, because nothing is heard of its
    /// machine either, or none of its streams goes on.
    #[must_use]
    pub fn should_time_out_early(&self, server: &BackendServer, now: BootMs) -> bool {
        let Some(row) = self.row(server) else { return false };
        let is_told = row.is_agent_unreachable(now) && self.leaves_few(&server.service, now);
        is_told || self.is_quiet(row, now)
    }

    /// Whether ranks of a service that are slow or not heard are left: when they are few enough for the
    /// others to take their work over.
    fn leaves_few(&self, service: &str, now: BootMs) -> bool {
        let avoided = self.open(service).filter(|row| row.is_avoided(now)).count();
        avoided <= max_avoided_ranks(self.open(service).count())
    }

    fn load(&self, row: &Row, now: BootMs) -> f64 {
        let is_near = row.server.failure_domain == self.own_failure_domain;
        let distance = if is_near { 0.0 } else { OTHER_DOMAIN_PENALTY_REQUESTS };
        let requests = f64::from(row.outstanding)
            + f64::from(row.streams.unbegun) * UNBEGUN_PENALTY_REQUESTS
            + distance
            + row.failure_share * FAILURE_PENALTY_REQUESTS;
        let pace_permille = row.pace_permille(now);
        // The next request counts as well, so that a slow server is no choice even when it is idle.
        (requests + 1.0) * f64::from(pace_permille) / f64::from(USUAL_PACE_PERMILLE) - 1.0
    }
}

/// How many of so many ranks may be left at a time; one of a small group.
pub(crate) fn max_avoided_ranks(ranks: usize) -> usize {
    (ranks / LEFT_DIVISOR).max(1)
}

impl Row {
    fn is_avoided(&self, now: BootMs) -> bool {
        self.holds_up_its_group(now) || self.is_agent_unreachable(now)
    }

    fn holds_up_its_group(&self, now: BootMs) -> bool {
        self.pace_permille(now) >= LEFT_PACE_PERMILLE
    }
}
