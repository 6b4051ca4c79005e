//! Shares the request rate that an overloaded backend server announces among all entries.
//!
//! For each backend server one entry grants permits out of a token bucket. All entries agree on
//! that entry by rendezvous hashing, without communication, and ask it before they send to the
//! backend server. The total rate holds for any number of entries, and an entry with requests gets
//! the permits that others do not ask for. No request waits for a permit: it goes to another
//! backend server instead.

use super::{BootMs, IncarnationDigest};
use crate::rendezvous;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Time for which a permit is valid; an unused permit then expires.
const PERMIT_KEPT_MS: u64 = 1_000;

/// Capacity of the bucket, as the time in which it fills.
///
/// Together with [`PERMIT_KEPT_MS`], no window of four seconds sees more permits than accrue in 5.5
/// seconds, or in 5 seconds plus [`MIN_CAPACITY`].
const CAPACITY_MS: u64 = 500;

/// Smallest capacity of the bucket in permits. With less, permits that are not asked for in time
/// are lost at a backend server that accepts one request per second.
const MIN_CAPACITY: u64 = 3;

/// Millirequests per request.
const MILLIREQUESTS: u64 = 1_000;

/// Time after its last question for which an asking entry counts in the sharing of a limit.
const ASKER_KEPT_MS: u64 = 10_000;

/// Shortest pause between two questions of one asker.
const MIN_PAUSE_MS: u64 = 200;
/// Longest pause between two questions of one asker.
const MAX_PAUSE_MS: u64 = 10_000;

/// Pause per asker, so that at most ten questions per second reach the granting entry.
const PAUSE_PER_ASKER_MS: u64 = 100;

/// Most permits that one question asks for.
const MAX_WANTED: u32 = 100;

/// Returns the entry that grants the permits of a backend server, or nothing if `entries` is empty.
///
/// The result is the same at all entries that know the same entries.
#[must_use]
pub fn granting_entry(
    incarnation: IncarnationDigest,
    entries: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    entries.max_by_key(|entry| rendezvous::weight(incarnation.0, &entry.to_string()))
}

/// The answer to a question for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[must_use]
pub struct LimitGrant {
    /// Requests that the asking entry may send.
    pub permits: u32,
    /// Time until the asking entry may ask again, in milliseconds.
    pub ask_again_ms: u64,
}

/// The token buckets of the backend servers whose permits this entry grants.
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
    /// Grants `asker` up to `wanted` permits for a backend server limited to `millirequests_per_s`.
    ///
    /// The available permits are divided evenly among the recent askers. A new bucket is empty,
    /// since an entry that takes over does not know what was granted before.
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
        let available = bucket.millirequests / MILLIREQUESTS;
        let share = available.div_ceil(askers);
        let permits = u64::from(wanted).min(share);
        bucket.millirequests -= permits * MILLIREQUESTS;
        let ask_again_ms = pause_ms(millirequests_per_s, askers);
        LimitGrant { permits: permits as u32, ask_again_ms }
    }

    /// Drops askers that stopped asking, and the buckets that have no askers left.
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
        let capacity = per_ms(CAPACITY_MS).max(MIN_CAPACITY * MILLIREQUESTS);
        let added = per_ms(now.since(self.filled_at));
        if added == 0 {
            // The time stays uncounted until it adds at least one millirequest, so nothing is lost
            // to rounding.
            return;
        }
        self.millirequests = self.millirequests.saturating_add(added).min(capacity);
        self.filled_at = now;
    }
}

/// Returns the time in which each asker gets one permit in turn, within the bounds for pauses.
fn pause_ms(millirequests_per_s: u64, askers: u64) -> u64 {
    let turn_ms = (askers * 1_000 * MILLIREQUESTS).checked_div(millirequests_per_s);
    let turn_ms = turn_ms.unwrap_or(MAX_PAUSE_MS).max(askers * PAUSE_PER_ASKER_MS);
    turn_ms.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS)
}

/// The permits that this entry holds, by backend server.
#[derive(Clone, Debug, Default)]
pub struct LimitPermits {
    held: IndexMap<IncarnationDigest, Held>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    permits: u32,
    valid_until: BootMs,
    /// Requests since the last question that were sent elsewhere for lack of a permit.
    denied: u32,
    ask_at: BootMs,
}

impl LimitPermits {
    /// Returns whether a valid permit for a limited backend server is left.
    #[must_use]
    pub fn has_permit(&self, incarnation: IncarnationDigest, now: BootMs) -> bool {
        let held = self.held.get(&incarnation);
        held.is_some_and(|held| held.permits > 0 && now < held.valid_until)
    }

    /// Consumes one permit.
    pub fn use_permit(&mut self, incarnation: IncarnationDigest) {
        if let Some(held) = self.held.get_mut(&incarnation) {
            held.permits = held.permits.saturating_sub(1);
        }
    }

    /// Records that a request goes elsewhere for lack of a permit.
    ///
    /// Returns how many permits to ask for if a question is due. No further question is due until
    /// this one is answered or the longest pause is over.
    #[must_use]
    pub fn note_denied(&mut self, incarnation: IncarnationDigest, now: BootMs) -> Option<u32> {
        let held = self.held.entry(incarnation).or_default();
        held.denied = held.denied.saturating_add(1).min(MAX_WANTED);
        if now < held.ask_at {
            return None;
        }
        held.ask_at = now.after(MAX_PAUSE_MS);
        Some(std::mem::take(&mut held.denied))
    }

    /// Adds the permits granted to a question that was sent at `asked_at`.
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

    /// Records that a question was not answered, so that it is repeated after the shortest pause.
    pub fn note_unanswered(&mut self, incarnation: IncarnationDigest, now: BootMs) {
        if let Some(held) = self.held.get_mut(&incarnation) {
            held.ask_at = now.after(MIN_PAUSE_MS);
        }
    }

    /// Drops backend servers for which no permits were asked recently.
    pub fn expire(&mut self, now: BootMs) {
        self.held.retain(|_, held| now.since(held.ask_at) < ASKER_KEPT_MS);
    }
}
