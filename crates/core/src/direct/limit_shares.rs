//! How entries share what a backend server in need takes from all of them together.
//!
//! One entry, which all agree on without talking, grants permits out of one bucket; the others ask it before
//! they send there. The sum holds whatever number of entries there is, and who has requests gets what the
//! others do not ask for. No request waits for a permit: it goes to another backend server.

use super::{BootMs, IncarnationDigest};
use crate::rendezvous;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Time for which a permit may be used. One that is not used by then is lost.
const PERMIT_KEPT_MS: u64 = 1_000;

/// Span for which unused permits are saved up in the bucket. With the time for which a permit is kept, no
/// four seconds see more than 5.5 seconds' worth of permits, or 5 and [`LEAST_SAVED`].
const SAVED_MS: u64 = 500;

/// Unused permits that are saved up in any case: with fewer, what is not asked for in time is lost where a
/// backend server takes one a second.
const LEAST_SAVED: u64 = 3;

/// A request, in the unit of limits.
const MILLIREQUESTS: u64 = 1_000;

/// Time for which an asker counts as one among whom a limit is shared.
const ASKER_KEPT_MS: u64 = 10_000;

/// Shortest and longest pause between two questions of one asker.
const LEAST_PAUSE_MS: u64 = 200;
/// See [`LEAST_PAUSE_MS`].
const MOST_PAUSE_MS: u64 = 10_000;

/// Pause for each further asker: at most ten questions a second reach the entry that grants.
const PAUSE_FOR_EACH_MS: u64 = 100;

/// Most permits that one question asks for.
const MOST_WANTED: u32 = 100;

/// The entry that grants the permits of a backend server: the same for all who know the same entries.
#[must_use]
pub fn granting_entry(
    incarnation: IncarnationDigest,
    entries: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    entries.max_by_key(|entry| rendezvous::weight(incarnation.0, &entry.to_string()))
}

/// Permits that an entry is granted, and when it may ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[must_use]
pub struct LimitGrant {
    /// Requests that it may send.
    pub permits: u32,
    /// Pause until it is to ask again, in milliseconds.
    pub ask_again_ms: u64,
}

/// What one entry grants of the limits of backend servers.
#[derive(Clone, Debug, Default)]
pub struct LimitGrants {
    buckets: IndexMap<IncarnationDigest, Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    millirequests: u64,
    filled_at: BootMs,
    askers: IndexMap<SocketAddr, BootMs>,
}

impl LimitGrants {
    /// Grants `asker` some of the `wanted` permits for a backend server that takes `millirequests_per_s`.
    ///
    /// The bucket begins empty: an entry that takes over does not know what was granted before.
    pub fn grant(
        &mut self,
        incarnation: IncarnationDigest,
        millirequests_per_s: u64,
        asker: SocketAddr,
        wanted: u32,
        now: BootMs,
    ) -> LimitGrant {
        let empty = Bucket { millirequests: 0, filled_at: now, askers: IndexMap::new() };
        let bucket = self.buckets.entry(incarnation).or_insert(empty);
        bucket.fill(millirequests_per_s, now);
        bucket.askers.insert(asker, now);
        let askers = bucket.askers.len() as u64;
        let ready = bucket.millirequests / MILLIREQUESTS;
        let share = ready.div_ceil(askers);
        let permits = u64::from(wanted).min(share);
        bucket.millirequests -= permits * MILLIREQUESTS;
        let ask_again_ms = pause_ms(millirequests_per_s, askers);
        LimitGrant { permits: permits as u32, ask_again_ms }
    }

    /// Forgets askers that do not ask any more, and backend servers of which nobody asks.
    pub fn expire(&mut self, now: BootMs) {
        for bucket in self.buckets.values_mut() {
            bucket.askers.retain(|_, asked_at| now.since(*asked_at) < ASKER_KEPT_MS);
        }
        self.buckets.retain(|_, bucket| !bucket.askers.is_empty());
    }
}

impl Bucket {
    fn fill(&mut self, millirequests_per_s: u64, now: BootMs) {
        let per_ms = |span_ms: u64| millirequests_per_s.saturating_mul(span_ms) / 1_000;
        let most = per_ms(SAVED_MS).max(LEAST_SAVED * MILLIREQUESTS);
        let added = per_ms(now.since(self.filled_at));
        if added == 0 {
            // What is less than a thousandth of a request is not lost.
            return;
        }
        self.millirequests = self.millirequests.saturating_add(added).min(most);
        self.filled_at = now;
    }
}

/// Pause until an asker's next turn when each of them gets one permit in turn.
fn pause_ms(millirequests_per_s: u64, askers: u64) -> u64 {
    let turn_ms = (askers * 1_000 * MILLIREQUESTS).checked_div(millirequests_per_s);
    let turn_ms = turn_ms.unwrap_or(MOST_PAUSE_MS).max(askers * PAUSE_FOR_EACH_MS);
    turn_ms.clamp(LEAST_PAUSE_MS, MOST_PAUSE_MS)
}

/// Permits that an entry holds.
#[derive(Clone, Debug, Default)]
pub struct LimitPermits {
    held: IndexMap<IncarnationDigest, Held>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    permits: u32,
    valid_until: BootMs,
    /// Requests since the last question that went elsewhere for want of a permit.
    missed: u32,
    ask_at: BootMs,
}

impl LimitPermits {
    /// Whether a request may be sent to a backend server that is limited.
    #[must_use]
    pub fn has_permit(&self, incarnation: IncarnationDigest, now: BootMs) -> bool {
        let held = self.held.get(&incarnation);
        held.is_some_and(|held| held.permits > 0 && now < held.valid_until)
    }

    /// Uses one permit up.
    pub fn use_permit(&mut self, incarnation: IncarnationDigest) {
        if let Some(held) = self.held.get_mut(&incarnation) {
            held.permits = held.permits.saturating_sub(1);
        }
    }

    /// Notes that a request goes elsewhere for want of a permit. Returns how many to ask for, if that is due;
    /// until the answer comes nothing more is.
    #[must_use]
    pub fn note_denied(&mut self, incarnation: IncarnationDigest, now: BootMs) -> Option<u32> {
        let held = self.held.entry(incarnation).or_default();
        held.missed = held.missed.saturating_add(1).min(MOST_WANTED);
        if now < held.ask_at {
            return None;
        }
        held.ask_at = now.after(MOST_PAUSE_MS);
        Some(std::mem::take(&mut held.missed))
    }

    /// Takes over what was granted to a question sent at `asked_at`.
    pub fn note_grant(
        &mut self,
        incarnation: IncarnationDigest,
        grant: LimitGrant,
        asked_at: BootMs,
    ) {
        let held = self.held.entry(incarnation).or_default();
        let valid_until = asked_at.after(PERMIT_KEPT_MS);
        let kept = if held.valid_until > asked_at { held.permits } else { 0 };
        *held = Held {
            permits: kept.saturating_add(grant.permits),
            valid_until,
            ask_at: asked_at.after(grant.ask_again_ms),
            ..*held
        };
    }

    /// Notes that a question was not answered.
    pub fn note_unanswered(&mut self, incarnation: IncarnationDigest, now: BootMs) {
        if let Some(held) = self.held.get_mut(&incarnation) {
            held.ask_at = now.after(LEAST_PAUSE_MS);
        }
    }

    /// Forgets backend servers that were not asked for in a while.
    pub fn expire(&mut self, now: BootMs) {
        self.held.retain(|_, held| now.since(held.ask_at) < ASKER_KEPT_MS);
    }
}
