//! Which ranks are quiet: none of the streams that run there goes on, while those of other ranks do.
//!
//! All ranks of a group make each pass together, and each pass gives every stream that runs an event. A rank from
//! which none comes is on a machine that is frozen or cut off. What lies there unrun is begun when the machine wakes,
//! and its callers have left by then. The agent that leads tells entries of a machine that it does not hear, but it
//! cannot tell many frozen machines from a broken link of its own.

use super::BootMs;
use super::backend_table::{BackendServer, BackendTable, Row};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Streams without events from which a rank counts as quiet: a single one may have been preempted.
const QUIET_STREAMS: u32 = 2;

/// Passes that other ranks have made since. Events of one pass may look like those of two, by the ways they take.
const QUIET_PASSES: u64 = 3;

/// Time without events beside that: several passes.
const QUIET_MS: u64 = 250;

/// Time for which a rank that streams have left for it stays quiet: about as long as machines freeze.
const QUIET_KEPT_MS: u64 = 2_000;

/// Time since the last event of a stream up to which something has run at a rank lately: several slow passes.
const LATELY_MS: u64 = 1_000;

/// A rank that an entry has found quiet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuietReport {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it was found quiet, before now.
    pub age_ms: u64,
}

/// Streams of this entry at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Streams {
    /// Those that have not given an event.
    pub(super) unbegun: u32,
    /// Those that have given one.
    begun: u32,
    /// When any of them last gave one, and how many passes of its group were seen by then.
    event_at: BootMs,
    event_pass: u64,
    /// Until when the backend server counts as quiet, because streams left it for that here or elsewhere.
    quiet_until: BootMs,
}

impl Row {
    /// Whether a stream of this entry has gone on there a short time ago.
    pub(super) fn has_run_lately(&self, now: BootMs) -> bool {
        now.since(self.streams.event_at) <= LATELY_MS
    }
}

impl BackendTable {
    /// Counts a stream among the requests sent to a backend server.
    pub fn note_stream_sent(&mut self, server: &BackendServer) {
        if let Some(row) = self.row_of(server) {
            row.streams.unbegun += 1;
        }
    }

    /// Counts the first event of a stream.
    pub fn note_stream_begun(&mut self, server: &BackendServer) {
        if let Some(row) = self.row_of(server) {
            row.streams.unbegun = row.streams.unbegun.saturating_sub(1);
            row.streams.begun += 1;
        }
    }

    /// Counts the end of a stream, which has given an event or not.
    pub fn note_stream_ended(&mut self, server: &BackendServer, is_begun: bool) {
        if let Some(row) = self.row_of(server) {
            let streams = &mut row.streams;
            let count = if is_begun { &mut streams.begun } else { &mut streams.unbegun };
            *count = count.saturating_sub(1);
        }
    }

    /// Notes an event of a stream, when `passes` of its group were seen to end.
    pub fn note_event(&mut self, server: &BackendServer, passes: u64, now: BootMs) {
        if let Some(newest) = self.passes.get_mut(&server.service) {
            *newest = passes;
        } else {
            self.passes.insert(server.service.clone(), passes);
        }
        if let Some(row) = self.row_of(server) {
            row.streams.event_at = now;
            row.streams.event_pass = passes;
            row.streams.quiet_until = BootMs(0);
        }
    }

    /// Notes that a stream leaves a backend server from which nothing comes. Returns what other entries are to be
    /// told.
    ///
    /// As its streams leave there is ever less to tell a quiet rank by, and new work would be sent there.
    pub fn note_timed_out(&mut self, server: &BackendServer, now: BootMs) -> Option<QuietReport> {
        let is_quiet = self.row(server).is_some_and(|row| self.is_quiet(row, now));
        let row = self.row_of(server).filter(|_| is_quiet)?;
        let was_known = row.streams.quiet_until > now;
        row.streams.quiet_until = now.after(QUIET_KEPT_MS);
        (!was_known).then_some(QuietReport { address: server.address, age_ms: 0 })
    }

    /// Takes another entry's word for a quiet rank. Returns whether it is news.
    ///
    /// An entry with few streams there would find it out too late for its own. One that got an event since then
    /// knows better: only the other's way there is broken.
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

    /// Whether none of the streams that run at a rank goes on, while those of other ranks do.
    pub(super) fn is_quiet(&self, row: &Row, now: BootMs) -> bool {
        let streams = &row.streams;
        let newest = self.passes.get(&row.server.service).copied().unwrap_or(0);
        let may_go_on = streams.begun < QUIET_STREAMS
            || newest < streams.event_pass + QUIET_PASSES
            || now.since(streams.event_at) <= QUIET_MS;
        !may_go_on || streams.quiet_until > now
    }
}
