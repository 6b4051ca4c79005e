//! Detects quiet ranks: none of their running streams gets events while those of other ranks do.
//!
//! All ranks of a group run each pass together, and each pass gives every running stream an event.
//! So a rank without events is on an instance that is frozen or partitioned. Requests queued there
//! start only when the instance resumes, after their callers have given up. The leader of the group
//! reports agents that it cannot reach, but it cannot tell many frozen instances from a broken link
//! of its own.

use super::backend_row::Row;
use super::{BackendServer, BackendTable, BootMs};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Fewest running streams for a rank to count as quiet: a single one may have been preempted.
const QUIET_STREAMS: u32 = 2;

/// Fewest passes seen at other ranks since its last event. Network delays can make the events of
/// one pass look like those of two.
const QUIET_PASSES: u64 = 3;

/// Shortest time since its last event: several passes.
const QUIET_MS: u64 = 250;

/// Time for which a rank counts as quiet after a stream timed out there: about as long as instances
/// freeze.
const QUIET_KEPT_MS: u64 = 2_000;

/// Time since its last event up to which a rank counts as responding: several slow passes.
const SIGN_MS: u64 = 500;

/// Time since its last event up to which a rank has recently run a stream: several slow passes.
const RECENT_MS: u64 = 1_000;

/// A report of one entry to the others that it found a rank quiet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuietReport {
    /// Address of the rank.
    pub address: SocketAddr,
    /// Time since it was found quiet, in milliseconds.
    pub age_ms: u64,
}

/// This entry's streams at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Streams {
    /// Streams that have not got an event.
    pub(super) not_begun: u32,
    /// Streams that have got an event.
    begun: u32,
    /// When any of them last got an event.
    event_at: BootMs,
    /// Number of passes of the group that were seen to end by then.
    event_pass: u64,
    /// Until when the backend server counts as quiet because a stream timed out there, at this
    /// entry or another.
    quiet_until: BootMs,
}

impl Streams {
    /// Counts passes anew, of which `ended` have ended, as the backend server belongs to another
    /// pool now.
    pub(super) const fn restart_passes(&mut self, ended: u64) {
        self.event_pass = ended;
    }
}

impl Row {
    /// Returns whether a stream of this entry recently got an event there.
    pub(super) fn has_run_recently(&self, now: BootMs) -> bool {
        now.since(self.streams.event_at) <= RECENT_MS
    }
}

impl BackendTable {
    /// Records that a request sent to a backend server is a stream.
    pub fn note_stream_sent(&mut self, server: &BackendServer) {
        if let Some(row) = self.current_row_mut(server) {
            row.streams.not_begun += 1;
        }
    }

    /// Records the first event of a stream.
    pub fn note_stream_begun(&mut self, server: &BackendServer) {
        if let Some(row) = self.current_row_mut(server) {
            row.streams.not_begun = row.streams.not_begun.saturating_sub(1);
            row.streams.begun += 1;
        }
    }

    /// Records the end of a stream; `is_begun` tells whether it got an event.
    pub fn note_stream_ended(&mut self, server: &BackendServer, is_begun: bool) {
        if let Some(row) = self.current_row_mut(server) {
            let streams = &mut row.streams;
            let count = if is_begun { &mut streams.begun } else { &mut streams.not_begun };
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of this entry's streams at all backend servers of a pool or service that
    /// have not got an event.
    #[must_use]
    pub fn not_begun(&self, pool: &str) -> u32 {
        let of_pool = self.rows.values().filter(|row| row.belongs_to(pool));
        of_pool.map(|row| row.streams.not_begun).sum()
    }

    /// Records an event of a stream, when `passes` passes of its group were seen to end.
    pub fn note_event(&mut self, server: &BackendServer, passes: u64, now: BootMs) {
        let pool = self.pool_of(server);
        let pool = pool.as_deref().unwrap_or(&server.service);
        if let Some(newest) = self.passes.get_mut(pool) {
            *newest = passes;
        } else {
            self.passes.insert(pool.to_owned(), passes);
        }
        if let Some(row) = self.current_row_mut(server) {
            row.streams.event_at = now;
            row.streams.event_pass = passes;
            row.streams.quiet_until = BootMs(0);
        }
    }

    /// Records that a stream timed out at a backend server.
    ///
    /// If the backend server is quiet, it counts as quiet for some time. Otherwise the evidence
    /// would vanish as its streams move away, and new work would be sent there. Returns the report
    /// for other entries if the state is new.
    pub fn note_timed_out(&mut self, server: &BackendServer, now: BootMs) -> Option<QuietReport> {
        let is_quiet = self.row(server).is_some_and(|row| self.is_quiet(row, now));
        let row = self.current_row_mut(server).filter(|_| is_quiet)?;
        let was_known = row.streams.quiet_until > now;
        row.streams.quiet_until = now.after(QUIET_KEPT_MS);
        (!was_known).then_some(QuietReport { address: server.address, age_ms: 0 })
    }

    /// Applies another entry's report of a quiet rank. Returns whether it was news.
    ///
    /// An entry with few streams at the rank would notice too late by itself. A report is ignored
    /// if this entry got an event from the rank since: then only the other entry's path to the rank
    /// is broken.
    pub fn note_quiet_report(&mut self, report: QuietReport, now: BootMs) -> bool {
        let found_at = now.before(report.age_ms);
        let until = found_at.after(QUIET_KEPT_MS);
        let mut is_news = false;
        for row in self.rows.values_mut().filter(|row| row.server.address == report.address) {
            let streams = &mut row.streams;
            if streams.event_at < found_at && streams.quiet_until <= now && until > now {
                streams.quiet_until = until;
                is_news = true;
            }
        }
        is_news
    }

    /// Returns whether a stream of this entry got an event from a backend server lately.
    #[must_use]
    pub fn has_sent_event_lately(&self, server: &BackendServer, now: BootMs) -> bool {
        self.row(server).is_some_and(|row| now.since(row.streams.event_at) <= SIGN_MS)
    }

    /// Returns whether a rank is quiet: its running streams get no events while those of other
    /// ranks do.
    pub(super) fn is_quiet(&self, row: &Row, now: BootMs) -> bool {
        let streams = &row.streams;
        let newest = self.passes.get(&*row.pool).copied().unwrap_or(0);
        let may_progress = streams.begun < QUIET_STREAMS
            || newest < streams.event_pass + QUIET_PASSES
            || now.since(streams.event_at) <= QUIET_MS;
        !may_progress || streams.quiet_until > now
    }
}
