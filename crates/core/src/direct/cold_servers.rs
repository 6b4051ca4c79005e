//! Which backend servers count as cold, until when, and why.
//!
//! A server counts as cold only if the configuration limits the cold servers of its service. What
//! is heard of servers is kept regardless, since the list may arrive before the configuration.

use super::backend_row::Row;
use super::{BackendServer, BackendTable, BootMs, GrantRate, IncarnationDigest, WarmUp};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Time for which a server counts as cold after a request could not be sent to it.
///
/// It may have restarted under its name, and come back before the list tells. A new registration
/// arrives within about two seconds; a longer time would slow down servers that a network partition
/// has cut off and that did not restart.
const CONNECTION_LOST_MS: u64 = 3_000;

/// Largest difference between the clocks of instances that is allowed for when the age of a record
/// is judged by the start time in it.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 60_000;

/// Most removed incarnations whose state is kept: more than a large fleet has.
const MAX_REMOVED: usize = 1_024;

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record in the store says so.
    Listed,
    /// An answer of it says so.
    Announced,
    /// Another entry says so.
    Peer,
    /// It has appeared in the list without a remaining time.
    Started,
    /// It was marked, as it may have become cold while it got no requests.
    Marked,
    /// A request could not be sent, since no connection could be used.
    ConnectionLost,
}

impl ColdCause {
    /// Returns the value for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Announced => "announced",
            Self::Peer => "peer",
            Self::Started => "started",
            Self::Marked => "marked",
            Self::ConnectionLost => "connection-lost",
        }
    }
}

/// What the record of a server in the store says about it being cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedCold {
    /// How long the server stays cold from when it wrote the record; `None` if it does not say.
    pub remaining_ms: Option<u64>,
    /// Revision of the store at which the record was written; 0 if unknown.
    pub revision: u64,
}

/// How a record of a server was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingRead {
    /// Within the whole list. The record may be of any age; the server started this long ago, if
    /// that is known.
    Whole {
        /// Milliseconds since the start of the server.
        age_ms: Option<u64>,
    },
    /// As a change that was just made.
    Change,
}

/// How long a server stays cold, as exchanged between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The server.
    pub incarnation: IncarnationDigest,
    /// Time for which it stays cold, in milliseconds.
    pub left_ms: u64,
    /// Age of the information in milliseconds.
    pub age_ms: u64,
}

/// A server that started or stopped counting as cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The server.
    pub server: BackendServer,
    /// Why it counts as cold and for how many more milliseconds; `None` if it no longer does.
    pub cold: Option<(ColdCause, u64)>,
}

/// A cold server, with the rate at which permits for it are granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdServer {
    /// Its id.
    pub id: String,
    /// Its incarnation.
    pub incarnation: IncarnationDigest,
    /// The rate of one granting entry.
    pub rate: GrantRate,
    /// When it stops counting as cold.
    pub until: BootMs,
}

/// What was last heard of how long a server stays cold.
#[derive(Clone, Copy, Debug)]
struct Heard {
    until: BootMs,
    /// When this was true, by which newer information replaces older.
    at: BootMs,
    /// When this entry learned it, from which its duration is bounded.
    learned_at: BootMs,
    cause: ColdCause,
}

/// What this entry knows of a server being cold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coldness {
    heard: Option<Heard>,
    /// From when the server is assumed to be cold for the time after a start, and why.
    assumed: Option<(BootMs, ColdCause)>,
    connection_lost_at: Option<BootMs>,
    listed: Option<ListedCold>,
    is_reported: bool,
}

impl Coldness {
    /// Returns until when the server counts as cold, why, and when that became known.
    fn until(&self, warm_up: &WarmUp) -> Option<(BootMs, ColdCause, BootMs)> {
        let heard = self.heard.map(|heard| {
            let bound = heard.learned_at.after(warm_up.bound_ms());
            (heard.until.min(bound), heard.cause, heard.at)
        });
        let heard_at = self.heard.map(|heard| heard.at);
        let newer = self.assumed.filter(|(from, _)| heard_at.is_none_or(|at| at <= *from));
        let assumed = newer.map(|(from, cause)| (from.after(warm_up.cold_start_ms()), cause, from));
        let lost = self.connection_lost_at.map(|at| {
            let span_ms = warm_up.cold_start_ms().min(CONNECTION_LOST_MS);
            (at.after(span_ms), ColdCause::ConnectionLost, at)
        });
        [heard, assumed, lost].into_iter().flatten().max_by_key(|(until, ..)| *until)
    }

    /// Replaces what was heard before by information that is newer.
    fn hear(&mut self, heard: Heard) {
        if self.heard.is_none_or(|known| known.at < heard.at) {
            self.heard = Some(heard);
        }
    }
}

impl BackendTable {
    /// Replaces the limits on cold servers, by service. Services without one have none.
    pub fn set_warm_ups(&mut self, warm_ups: IndexMap<String, WarmUp>) {
        self.warm_ups = warm_ups;
        self.update_cold_until();
    }

    /// Returns the limit on the cold servers of a service.
    #[must_use]
    pub fn warm_up(&self, service: &str) -> Option<&WarmUp> {
        self.warm_ups.get(service)
    }

    /// Returns whether any server may be cold. False at once where no service limits cold servers.
    #[must_use]
    pub fn has_cold(&self, now: BootMs) -> bool {
        now < self.cold_until
    }

    /// Returns whether a server counts as cold.
    #[must_use]
    pub fn is_cold(&self, server: &BackendServer, now: BootMs) -> bool {
        self.has_cold(now) && self.row(server).is_some_and(|row| self.row_cold_until(row) > now)
    }

    /// Returns the cold servers of a service.
    #[must_use]
    pub fn cold_servers(&self, service: &str, now: BootMs) -> Vec<ColdServer> {
        let Some(warm_up) = self.warm_ups.get(service).filter(|_| self.has_cold(now)) else {
            return Vec::new();
        };
        let of_service = self.rows.values().filter(|row| row.server.service == service);
        let cold = of_service.filter_map(|row| {
            let until = self.row_cold_until(row);
            (until > now).then(|| ColdServer {
                id: row.server.id.clone(),
                incarnation: IncarnationDigest::of(&row.server),
                rate: warm_up.rate(),
                until,
            })
        });
        cold.collect()
    }

    /// Records what a server's record in the store says, once for each time it was written.
    ///
    /// The record of a new incarnation that does not say how long it stays cold starts the time
    /// after a start. In a whole list that time counts from the start of the server; without a start
    /// time nothing is assumed, since all servers would count as cold after each start of an entry.
    pub fn note_listed_cold(
        &mut self,
        server: &BackendServer,
        listed: ListedCold,
        read: ListingRead,
        now: BootMs,
    ) {
        let Some(row) = self.current_row_mut(server) else { return };
        let known = row.cold.listed.replace(listed);
        if known == Some(listed) {
            return;
        }
        match (listed.remaining_ms, read) {
            (Some(remaining_ms), ListingRead::Whole { age_ms: Some(age_ms) })
                if known.is_none()
                    && listed.revision != 0
                    && listed.revision == server.listed_at_revision
                    && age_ms >= remaining_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS) =>
            {
                // Written once, when the server started, so the time has passed.
            }
            (Some(remaining_ms), _) => {
                // A record of unknown age must not replace what others have heard since.
                let is_first_read = known.is_none() && matches!(read, ListingRead::Whole { .. });
                let at = if is_first_read { BootMs(0) } else { now };
                let (until, learned_at) = (now.after(remaining_ms), now);
                row.cold.hear(Heard { until, at, learned_at, cause: ColdCause::Listed });
            }
            (None, ListingRead::Change) if known.is_none() => {
                row.cold.assumed = Some((now, ColdCause::Started));
            }
            (None, ListingRead::Whole { age_ms: Some(age_ms) }) if known.is_none() => {
                row.cold.assumed = Some((now.before(age_ms), ColdCause::Started));
            }
            (None, _) => {}
        }
        self.extend_cold_until(&server.id);
    }

    /// Records how long a server stays cold by the head of an answer to a request that was sent at
    /// `sent_at`.
    ///
    /// If the server was marked as cold after the request was sent, the answer cannot end that.
    pub fn note_announced_cold(
        &mut self,
        server: &BackendServer,
        remaining_ms: u64,
        sent_at: BootMs,
        now: BootMs,
    ) {
        let Some(row) = self.current_row_mut(server) else { return };
        let (until, cause) = (now.after(remaining_ms), ColdCause::Announced);
        let is_older = row.cold.assumed.is_some_and(|(from, _)| from > sent_at);
        let at = if is_older { sent_at } else { now };
        if row.cold.connection_lost_at.is_some_and(|lost_at| lost_at <= sent_at) {
            row.cold.connection_lost_at = None;
        }
        row.cold.hear(Heard { until, at, learned_at: now, cause });
        self.extend_cold_until(&server.id);
    }

    /// Records what another entry reports about cold servers in its response to a request that was
    /// sent at `sent_at`.
    ///
    /// Times count from `sent_at`, so what an entry hears again of its own reports never lasts
    /// longer than before.
    pub fn note_cold_reports(&mut self, reports: &[ColdReport], sent_at: BootMs) {
        if reports.is_empty() {
            return;
        }
        let by_incarnation: IndexMap<IncarnationDigest, &ColdReport> =
            reports.iter().map(|report| (report.incarnation, report)).collect();
        for row in self.rows.values_mut() {
            let Some(report) = by_incarnation.get(&IncarnationDigest::of(&row.server)) else {
                continue;
            };
            let (until, cause) = (sent_at.after(report.left_ms), ColdCause::Peer);
            let at = sent_at.before(report.age_ms);
            row.cold.hear(Heard { until, at, learned_at: sent_at, cause });
        }
        self.update_cold_until();
    }

    /// Marks the servers with these ids as cold from `now` for the time after a start, because they
    /// may have become cold while no requests were sent to them. Unknown ids are ignored.
    ///
    /// Servers whose service has no limit while cold are not affected.
    pub fn mark_cold<'a>(&mut self, ids: impl IntoIterator<Item = &'a str>, now: BootMs) {
        for id in ids {
            if let Some(row) = self.rows.get_mut(id) {
                row.cold.assumed = Some((now, ColdCause::Marked));
                self.extend_cold_until(id);
            }
        }
    }

    /// Records that nothing of a request could be sent to a server, which may come back cold. A
    /// connection that breaks later does not count.
    pub fn note_connection_lost(&mut self, server: &BackendServer, now: BootMs) {
        if let Some(row) = self.current_row_mut(server) {
            row.cold.connection_lost_at = Some(now);
            self.extend_cold_until(&server.id);
        }
    }

    /// Returns how long cold servers stay cold, for at most `max` of them.
    #[must_use]
    pub fn cold_reports(&self, max: usize, now: BootMs) -> Vec<ColdReport> {
        if !self.has_cold(now) {
            return Vec::new();
        }
        let reports = self.all_cold_reports(now).into_iter();
        reports.filter(|report| report.left_ms > 0).take(max).collect()
    }

    /// Returns how long all servers that have been cold stay cold; 0 for those that no longer are.
    ///
    /// An entry that has just started needs it: the record of a server in the store may still hold
    /// the time that the server was cold at its start.
    #[must_use]
    pub fn all_cold_reports(&self, now: BootMs) -> Vec<ColdReport> {
        let reports = self.rows.values().filter_map(|row| {
            let (until, cause, at) = self.row_cold(row)?;
            (cause != ColdCause::ConnectionLost).then(|| ColdReport {
                incarnation: IncarnationDigest::of(&row.server),
                left_ms: until.since(now),
                age_ms: now.since(at),
            })
        });
        reports.collect()
    }

    /// Returns how long a server stays cold, or nothing if it is not cold.
    #[must_use]
    pub fn cold_report(&self, id: &str, now: BootMs) -> Option<ColdReport> {
        let row = self.rows.get(id)?;
        let (until, _, at) = self.row_cold(row).filter(|(until, ..)| *until > now)?;
        let incarnation = IncarnationDigest::of(&row.server);
        Some(ColdReport { incarnation, left_ms: until.since(now), age_ms: now.since(at) })
    }

    /// Returns the rate at which one entry grants permits for a server while it is cold, if the
    /// server is known and its service limits cold servers.
    #[must_use]
    pub fn rate_of(&self, incarnation: IncarnationDigest) -> Option<GrantRate> {
        let mut rows = self.rows.values();
        let row = rows.find(|row| IncarnationDigest::of(&row.server) == incarnation)?;
        self.warm_ups.get(&row.server.service).map(WarmUp::rate)
    }

    /// Returns the servers that started or stopped counting as cold since the last call, and how
    /// many count as cold now.
    #[must_use]
    pub fn take_cold_changes(&mut self, now: BootMs) -> (Vec<ColdChange>, usize) {
        let (mut changes, mut count) = (Vec::new(), 0);
        for row in self.rows.values_mut() {
            let until = self.warm_ups.get(&row.server.service).and_then(|it| row.cold.until(it));
            let cold = until.filter(|(until, ..)| *until > now);
            count += usize::from(cold.is_some());
            if std::mem::replace(&mut row.cold.is_reported, cold.is_some()) != cold.is_some() {
                let cold = cold.map(|(until, cause, _)| (cause, until.since(now)));
                changes.push(ColdChange { server: row.server.clone(), cold });
            }
        }
        (changes, count)
    }

    /// Returns the rows without the cold ones, or all if all are cold.
    ///
    /// A cold server cannot use most of its slots. If they counted, the warm ones would get the
    /// requests for them.
    pub(super) fn without_cold<'a>(&self, rows: Vec<&'a Row>, now: BootMs) -> Vec<&'a Row> {
        if !self.has_cold(now) {
            return rows;
        }
        let is_warm = |row: &&Row| self.row_cold_until(row) <= now;
        let warm: Vec<&Row> = rows.iter().copied().filter(is_warm).collect();
        if warm.is_empty() { rows } else { warm }
    }

    /// Keeps what is known of a removed incarnation.
    ///
    /// Registrations expire in an outage of the store. When they are back, the same incarnations
    /// would count as started, and all servers as cold. Without a start time they cannot be told
    /// from new ones.
    pub(super) fn keep_removed_cold(&mut self, row: &Row) {
        if self.warm_ups.is_empty() || row.server.born_ms == 0 {
            return;
        }
        if self.removed_cold.len() >= MAX_REMOVED {
            self.removed_cold.shift_remove_index(0);
        }
        self.removed_cold.insert(IncarnationDigest::of(&row.server), row.cold);
    }

    /// Returns what was known of an incarnation when it was removed, if it was.
    pub(super) fn take_removed_cold(&mut self, server: &BackendServer) -> Coldness {
        if self.removed_cold.is_empty() {
            return Coldness::default();
        }
        let known = self.removed_cold.shift_remove(&IncarnationDigest::of(server));
        // The new row has not been reported as cold.
        known.map(|cold| Coldness { is_reported: false, ..cold }).unwrap_or_default()
    }

    fn row_cold(&self, row: &Row) -> Option<(BootMs, ColdCause, BootMs)> {
        row.cold.until(self.warm_ups.get(&row.server.service)?)
    }

    fn row_cold_until(&self, row: &Row) -> BootMs {
        self.row_cold(row).map_or(BootMs(0), |(until, ..)| until)
    }

    fn extend_cold_until(&mut self, id: &str) {
        let until = self.rows.get(id).map(|row| self.row_cold_until(row));
        self.cold_until = self.cold_until.max(until.unwrap_or_default());
    }

    fn update_cold_until(&mut self) {
        let until = self.rows.values().map(|row| self.row_cold_until(row)).max();
        self.cold_until = until.unwrap_or_default();
    }
}
