//! Keeps requests from backend servers that asked for a backoff, and resumes them one at a time.
//!
//! Unlike a paused server, one in backoff gets no requests even when no other is left.

use super::backend_row::Row;
use super::{BackendServer, BackendTable, BootMs, Selection};

/// Time for which a probe that is not answered keeps other requests away: the first event of a
/// stream in a busy group takes less.
const PROBE_MS: u64 = 500;

/// Longest time over which requests are spread that wait for the end of a backoff.
const MAX_SPREAD_MS: u64 = 1_500;
/// Shortest such time: some passes of a group.
const MIN_SPREAD_MS: u64 = 300;

/// First time for which a backend server is avoided that rejected a request without asking for a
/// backoff; it doubles with each further rejection in a row.
const FIRST_AVOID_MS: u64 = 400;

/// Longest such time.
const LONGEST_AVOID_MS: u64 = 2_000;

/// What keeps requests from one backend server: its backoff, the probe after it, and rejections
/// without a backoff.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    /// Until when it wants no requests from this entry.
    until: BootMs,
    /// Whether it has accepted no request since the backoff.
    is_unproven: bool,
    /// Rejections since it last accepted a request.
    rejections_in_row: u32,
    /// Until when requests go elsewhere while they can.
    avoid_until: BootMs,
}

impl Backoff {
    /// Returns the state of a backend server that wants no requests until `until`, which may have
    /// passed.
    pub(super) fn new(until: BootMs) -> Self {
        Self { until, is_unproven: until > BootMs(0), ..Self::default() }
    }

    /// Records that the backend server wants no requests until `until`. An earlier end than the
    /// present one changes nothing.
    pub(super) fn extend(&mut self, until: BootMs) {
        *self = Self::new(self.until.max(until));
    }

    fn is_over(&self, now: BootMs) -> bool {
        self.until <= now
    }

    /// Returns whether requests go elsewhere while they can, because the backend server rejected
    /// one a moment ago, or because the answer to the first request after its backoff is awaited: if
    /// it is still overloaded, only one request finds that out.
    pub(super) fn is_avoided(&self, now: BootMs) -> bool {
        self.avoid_until > now
    }
}

impl BackendTable {
    /// Returns the backend servers of a pool or service that accept new work and are not in backoff.
    pub(super) fn taking_requests(&self, pool: &str, now: BootMs) -> impl Iterator<Item = &Row> {
        self.available(pool).filter(move |row| row.backoff.is_over(now))
    }

    /// Returns when the first backoff ends, if all backend servers that accept work and that the
    /// selection allows are in backoff.
    #[must_use]
    pub fn backoff_over_at(&self, selection: &Selection<'_>, now: BootMs) -> Option<BootMs> {
        let mut over_at = None;
        let allowed =
            self.available(selection.service()).filter(|row| selection.allows(&row.server));
        for row in allowed {
            if row.backoff.is_over(now) {
                return None;
            }
            over_at = Some(over_at.map_or(row.backoff.until, |at| row.backoff.until.min(at)));
        }
        over_at
    }

    /// Returns for how many more milliseconds a backend server wants no requests from this entry.
    #[must_use]
    pub fn backoff_left_ms(&self, server: &BackendServer, now: BootMs) -> u64 {
        self.row(server).map_or(0, |row| row.backoff.until.since(now))
    }

    /// Returns whether a backend server that was chosen a moment ago must not get the request any
    /// more: it has announced since that it wants no more requests from this entry, its failure domain
    /// is drained, or it is listed as leaving or not at all.
    #[must_use]
    pub fn declines(&self, server: &BackendServer, now: BootMs) -> bool {
        self.announcements.of(server).binds(now)
            || self.is_drained(server)
            || !self.accepts_work(server)
    }

    /// Records that a request is sent to a backend server, which is a probe if it is the first one
    /// after a backoff.
    pub fn note_probe(&mut self, server: &BackendServer, now: BootMs) {
        let Some(row) = self.current_row_mut(server) else { return };
        if row.backoff.is_unproven && row.backoff.is_over(now) {
            row.backoff.avoid_until = now.after(PROBE_MS);
        }
    }

    /// Records that a backend server rejected a request without asking for a backoff.
    ///
    /// A server that rejects at once never has open requests. As the least loaded one it would get
    /// the next request, and the one after that.
    pub fn note_rejection(&mut self, server: &BackendServer, now: BootMs) {
        let Some(row) = self.current_row_mut(server) else { return };
        let avoid_ms = FIRST_AVOID_MS << row.backoff.rejections_in_row.min(8);
        row.backoff.rejections_in_row += 1;
        row.backoff.avoid_until = now.after(avoid_ms.min(LONGEST_AVOID_MS));
    }

    /// Returns whether all backend servers of a pool or service that take requests have rejected one
    /// lately.
    #[must_use]
    pub fn all_reject(&self, pool: &str, now: BootMs) -> bool {
        let mut taking = self.taking_requests(pool, now);
        taking.all(|row| row.backoff.rejections_in_row > 0 && row.backoff.is_avoided(now))
    }

    /// Records an answer of a backend server that is no rejection. An answer to an earlier request,
    /// which arrives during a backoff, does not end it. Returns whether the backend server takes
    /// requests again after a backoff.
    pub fn note_accepted(&mut self, server: &BackendServer, now: BootMs) -> bool {
        let Some(row) = self.current_row_mut(server) else { return false };
        if !row.backoff.is_over(now) {
            return false;
        }
        std::mem::take(&mut row.backoff).is_unproven
    }
}

/// Returns after how many milliseconds a caller should retry when the first backoff of all backend
/// servers ends in `over_in_ms`. `draw` is a random number from 0 up to 1.
///
/// It is never before that end, however little time the caller has left: a retry before it would be
/// refused again. Callers that were refused during a long backoff are spread over a longer time,
/// since there are more of them.
#[must_use]
pub fn backoff_retry_after_ms(over_in_ms: u64, draw: f64) -> u64 {
    let spread_ms = over_in_ms.clamp(MIN_SPREAD_MS, MAX_SPREAD_MS);
    over_in_ms + 1 + (spread_ms as f64 * draw) as u64
}

/// Returns when a stream that broke off is sent again if the first backoff ends at `over_at`.
/// `draw` is a random number from 0 up to 1.
#[must_use]
pub fn backoff_resume_at(over_at: BootMs, draw: f64) -> BootMs {
    over_at.after((MIN_SPREAD_MS as f64 * draw) as u64)
}
