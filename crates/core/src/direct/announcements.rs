//! What backend servers announce about themselves in the heads of their answers: that they are
//! leaving, and until when they want no requests from this entry (`Retry-After`).
//!
//! An announcement holds for one incarnation, however the request reached it. It is kept apart from
//! the listing in the store, which may drop a server and name it again, or name one that is leaving
//! as ready: after an outage, from a stale replica, or from a copy of earlier contents.

use super::{BackendServer, BackendTable, BootMs};
use indexmap::IndexMap;

/// Longest backoff that is believed, one day. A longer one is taken for a fault in the answer, which
/// must not remove a backend server for good.
const MAX_BACKOFF_MS: f64 = 24.0 * 3_600_000.0;

/// Most incarnations whose announcements are kept: those that leave a large fleet in some weeks.
const MAX_ANNOUNCEMENTS: usize = 4_096;

/// The value of a `Retry-After` field is not a number of seconds that can be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a number of seconds from 0 to a day")]
pub struct UnreadableBackoff;

/// Returns the backoff in milliseconds that a `Retry-After` field asks for, rounded up.
///
/// # Errors
///
/// Fails unless the text is a number of seconds from 0 to one day. A date is not accepted, since
/// the clocks of instances differ and may be stepped.
pub fn parse_backoff_ms(text: &str) -> Result<u64, UnreadableBackoff> {
    let seconds: f64 = text.trim().parse().map_err(|_| UnreadableBackoff)?;
    let backoff_ms = (seconds * 1_000.0).ceil();
    if (0.0..=MAX_BACKOFF_MS).contains(&backoff_ms) {
        Ok(backoff_ms as u64)
    } else {
        Err(UnreadableBackoff)
    }
}

/// What one incarnation announced about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Announced {
    /// When the incarnation started, as in [`BackendServer::born_ms`].
    born_ms: u64,
    /// Whether it is leaving.
    pub(super) is_leaving: bool,
    /// Until when it wants no requests from this entry.
    pub(super) backoff_until: BootMs,
    noted_at: BootMs,
}

impl Announced {
    /// Returns whether a backend server with the same name started after the incarnation that
    /// announced this.
    ///
    /// An earlier one, as a stale replica may list it, is bound too: the request would reach the
    /// incarnation that made the announcement.
    const fn is_before(&self, server: &BackendServer) -> bool {
        self.born_ms != 0 && self.born_ms < server.born_ms
    }

    /// Returns whether the incarnation gets no requests because of this.
    pub(super) fn binds(&self, now: BootMs) -> bool {
        self.is_leaving || self.backoff_until > now
    }
}

/// The announcements of backend servers, by their names; each of the newest incarnation that
/// announced something.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    by_id: IndexMap<String, Announced>,
}

impl Announcements {
    /// Returns the announcements that bind an incarnation; those of earlier ones do not.
    pub(super) fn of(&self, server: &BackendServer) -> Announced {
        let announced = self.by_id.get(&server.id).filter(|announced| !announced.is_before(server));
        announced.copied().unwrap_or_default()
    }

    /// Records that an incarnation is leaving. Returns whether that is new.
    pub(super) fn note_leaving(&mut self, server: &BackendServer, now: BootMs) -> bool {
        let Some(announced) = self.announced_mut(server, now) else { return false };
        !std::mem::replace(&mut announced.is_leaving, true)
    }

    /// Records until when an incarnation wants no requests. An earlier end than one already
    /// recorded changes nothing. Returns whether the end is later than before.
    pub(super) fn note_backoff(
        &mut self,
        server: &BackendServer,
        until: BootMs,
        now: BootMs,
    ) -> bool {
        let Some(announced) = self.announced_mut(server, now) else { return false };
        let is_later = announced.backoff_until < until;
        announced.backoff_until = announced.backoff_until.max(until);
        is_later
    }

    /// Records the start time of an incarnation that was not known when it announced something.
    /// Without it, the announcement would bind the incarnations after it too.
    pub(super) fn note_start(&mut self, server: &BackendServer) {
        if let Some(announced) = self.by_id.get_mut(&server.id)
            && announced.born_ms == 0
        {
            announced.born_ms = server.born_ms;
        }
    }

    /// Returns the record of an incarnation, or nothing if a newer one has announced something.
    fn announced_mut(&mut self, server: &BackendServer, now: BootMs) -> Option<&mut Announced> {
        if !self.by_id.contains_key(&server.id) {
            self.make_room(now);
        }
        let announced = self.by_id.entry(server.id.clone()).or_default();
        if server.born_ms != 0 && server.born_ms < announced.born_ms {
            return None;
        }
        if announced.is_before(server) {
            *announced = Announced::default();
        }
        announced.born_ms = announced.born_ms.max(server.born_ms);
        announced.noted_at = now;
        Some(announced)
    }

    fn make_room(&mut self, now: BootMs) {
        if self.by_id.len() < MAX_ANNOUNCEMENTS {
            return;
        }
        self.by_id.retain(|_, announced| announced.binds(now));
        if self.by_id.len() < MAX_ANNOUNCEMENTS {
            return;
        }
        let oldest = self.by_id.iter().min_by_key(|(_, announced)| announced.noted_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.swap_remove(&oldest);
        }
    }
}

impl BackendTable {
    /// Records that a backend server announced that it is leaving. Returns whether that is new.
    pub fn note_announced_leaving(&mut self, server: &BackendServer, now: BootMs) -> bool {
        self.note_leaving(server);
        self.announcements.note_leaving(server, now)
    }

    /// Records until when a backend server wants no requests from this entry. Returns whether that
    /// is later than it announced before.
    pub fn note_backoff(&mut self, server: &BackendServer, until: BootMs, now: BootMs) -> bool {
        if let Some(row) = self.current_row_mut(server) {
            row.backoff.extend(until);
        }
        self.announcements.note_backoff(server, until, now)
    }
}
