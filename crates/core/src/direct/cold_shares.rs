//! The requests that an entry sends to cold servers within its own even share of their limit.
//!
//! A permit has to be requested for each server, and a new granting entry grants none for a second.
//! After the loss of all instances every server is cold, and all requests would wait for that time.
//! An entry that knows the number of entries needs no permit while its even share of half of the
//! limit is at least one request.

use super::warm_up::{TRANSIT_MS, WINDOW_MS};
use super::{BootMs, IncarnationDigest, WarmUp};
use indexmap::IndexMap;
use std::collections::VecDeque;

/// Time for which a request may still be sent after it was counted, as its connection is opened.
const SEND_MS: u64 = 100;

/// Span in which a share counts: the window in which a cold server counts its requests, and the
/// largest differences between the times at which two requests are sent and reach it.
const SPAN_MS: u64 = WINDOW_MS + SEND_MS + TRANSIT_MS;

/// Time in milliseconds after its start from which the answer of a peer tells an entry how many
/// others there are. Entries that start together have all asked their seeds by then.
pub const COUNTING_MS: u64 = 600;

/// Most entries that an entry trusts itself to have counted. Peers name fewer entries than this in one
/// answer, so a larger fleet may have many more.
const MAX_COUNTED_ENTRIES: usize = 48;

/// By which rule an entry sends requests to the cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdAccess {
    /// It has just started, and sends none.
    Wait,
    /// Within its own share of the limit, which is so many requests in one second.
    Share(u32),
    /// With permits of the granting entry.
    Permits,
}

impl ColdAccess {
    /// Returns the rule for an entry that started `age_ms` ago and has counted `entries` entries, if
    /// it knows how many there are.
    ///
    /// An entry that has just started waits until it knows whether it has a share. Otherwise entries
    /// that restart would use permits in addition to their shares before and after the restart.
    #[must_use]
    pub fn of(warm_up: &WarmUp, entries: Option<usize>, age_ms: u64) -> Self {
        let counted = entries.filter(|entries| *entries <= MAX_COUNTED_ENTRIES);
        match counted.map_or(0, |entries| warm_up.share_requests(entries)) {
            0 if age_ms < COUNTING_MS => Self::Wait,
            0 => Self::Permits,
            share_requests => Self::Share(share_requests),
        }
    }

    /// Returns the requests in one second within the entry's own share.
    #[must_use]
    pub const fn share_requests(self) -> u32 {
        match self {
            Self::Share(requests) => requests,
            Self::Wait | Self::Permits => 0,
        }
    }
}

/// When an entry lately sent requests to cold servers, by server.
#[derive(Clone, Debug, Default)]
pub struct ColdShares {
    sent_at: IndexMap<IncarnationDigest, VecDeque<BootMs>>,
}

impl ColdShares {
    /// Returns when the next request may be sent to a server of which this entry's share is
    /// `share_requests` requests in one second; `now` if that is at once.
    ///
    /// Returns `None` if the share is 0.
    #[must_use]
    pub fn admits_at(
        &self,
        incarnation: IncarnationDigest,
        share_requests: u32,
        now: BootMs,
    ) -> Option<BootMs> {
        let share = usize::try_from(share_requests).unwrap_or(usize::MAX);
        let Some(sent_at) = self.sent_at.get(&incarnation) else {
            return (share > 0).then_some(now);
        };
        let oldest = sent_at.len().checked_sub(share);
        let Some(oldest) = oldest.and_then(|index| sent_at.get(index)) else {
            return (share > 0).then_some(now);
        };
        Some(oldest.after(SPAN_MS).max(now))
    }

    /// Counts a request to a cold server. Returns until when it may be sent.
    pub fn note_sent(&mut self, incarnation: IncarnationDigest, now: BootMs) -> BootMs {
        let sent_at = self.sent_at.entry(incarnation).or_default();
        while sent_at.front().is_some_and(|at| now.since(*at) >= SPAN_MS) {
            sent_at.pop_front();
        }
        sent_at.push_back(now);
        now.after(SEND_MS)
    }

    /// Forgets requests that no longer count.
    pub fn expire(&mut self, now: BootMs) {
        self.sent_at
            .retain(|_, sent_at| sent_at.back().is_some_and(|newest| now.since(*newest) < SPAN_MS));
    }
}
