//! Shares the request rate that an overloaded backend server announces among all entries.
//!
//! For each backend server one entry grants permits out of a token bucket. All entries agree on
//! that entry by rendezvous hashing, without communication, and ask it before they send to the
//! backend server. The total rate holds for any number of entries, and an entry with requests gets
//! the permits that others do not ask for. No request waits for the permit of an overloaded
//! server: it goes to another backend server instead. Permits for cold servers (see
//! [`super::WarmUp`]) are granted in the same way, at another rate and with another bucket.

use super::warm_up::COLD_PERMIT_KEPT_MS;
use super::{BootMs, GrantRate, IncarnationDigest};
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

/// Shortest interval between two questions of one entry about cold servers. A whole failure domain
/// may come back cold; at about 0.5 KB, eight questions per second are 4 KB.
const COLD_QUESTION_INTERVAL_MS: u64 = 125;

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

/// How an entry comes to look for the one that grants the permits of a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantLookup {
    /// It is about to ask for permits.
    Asking,
    /// It was asked by another entry.
    Asked {
        /// Whether it is one of that entry's seeds.
        as_seed: bool,
    },
    /// It is settled: it has known other entries for so long that it knows nearly all of them.
    Settled,
    /// It is not settled, but the question comes from an entry that is, or was redirected by one.
    Trusting,
}

impl GrantLookup {
    /// Returns how an entry that was asked looks for the one that grants.
    #[must_use]
    pub const fn asked(is_own_settled: bool, is_question_settled: bool, as_seed: bool) -> Self {
        match (is_own_settled, is_question_settled) {
            (true, _) => Self::Settled,
            (false, true) => Self::Trusting,
            (false, false) => Self::Asked { as_seed },
        }
    }
}

/// Returns the entry that grants the permits of a cold server, as far as `own` knows.
///
/// `seeds` and `peers` are the entries that answer, as far as is known. Settled entries choose among
/// all, which spreads the questions about many cold servers. Among others one of the seeds grants
/// while any answers: right after all entries have started they know few peers, and different ones,
/// but the same seeds. An entry that is not settled thus asks a seed, and a settled seed names the
/// granting entry.
///
/// An entry that asks prefers another seed even if it is one itself, since that seed may know
/// better. An entry may not be in its own list of seeds, so the one that asks tells whether it is.
#[must_use]
pub fn cold_granting_entry(
    incarnation: IncarnationDigest,
    seeds: &[SocketAddr],
    peers: &[SocketAddr],
    own: SocketAddr,
    lookup: GrantLookup,
) -> SocketAddr {
    let seeds = seeds.iter().copied();
    let of_seeds = match lookup {
        GrantLookup::Settled => None,
        GrantLookup::Trusting => Some(own),
        GrantLookup::Asking => granting_entry(incarnation, seeds.filter(|seed| *seed != own)),
        GrantLookup::Asked { as_seed } => {
            granting_entry(incarnation, seeds.chain(as_seed.then_some(own)))
        }
    };
    let of_all = || granting_entry(incarnation, peers.iter().copied().chain([own]));
    of_seeds.or_else(of_all).unwrap_or(own)
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
    /// When the next question about a cold server may be asked.
    next_question_at: BootMs,
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
        let burst = millirequests_per_s.saturating_mul(CAPACITY_MS) / 1_000;
        let rate = GrantRate {
            millirequests_per_s,
            burst_millirequests: burst.max(MIN_CAPACITY * MILLIREQUESTS),
            hold_off_ms: 0,
        };
        let bucket = self.buckets.entry(incarnation).or_insert_with(|| Bucket::empty(now));
        bucket.fill(rate, now);
        bucket.askers.insert(asker, now);
        let askers = bucket.askers.len() as u64;
        let available = bucket.millirequests / MILLIREQUESTS;
        let share = available.div_ceil(askers);
        let permits = u64::from(wanted).min(share);
        bucket.millirequests -= permits * MILLIREQUESTS;
        let ask_again_ms = pause_ms(millirequests_per_s, askers);
        LimitGrant { permits: permits as u32, ask_again_ms }
    }

    /// Grants `asker` up to `wanted` permits for a cold server at `rate`.
    ///
    /// Permits are not divided by the number of askers, since those of entries with few requests
    /// would be lost: they are valid for a short time only. Askers take turns instead. Each is told
    /// the next free time for a question, so that one with many requests asks as often as the others
    /// leave room.
    pub fn grant_cold(
        &mut self,
        incarnation: IncarnationDigest,
        rate: GrantRate,
        asker: SocketAddr,
        wanted: u32,
        now: BootMs,
    ) -> LimitGrant {
        let bucket = self.buckets.entry(incarnation).or_insert_with(|| Bucket {
            filled_at: now.after(rate.hold_off_ms),
            ..Bucket::empty(now)
        });
        bucket.fill(rate, now);
        bucket.askers.insert(asker, now);
        let permits = u64::from(wanted).min(bucket.millirequests / MILLIREQUESTS);
        bucket.millirequests -= permits * MILLIREQUESTS;
        let ask_again_ms = bucket.next_question_ms(rate, now);
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
    /// Returns a bucket that fills from `now` on.
    fn empty(now: BootMs) -> Self {
        Self {
            millirequests: 0,
            filled_at: now,
            askers: IndexMap::new(),
            next_question_at: BootMs(0),
        }
    }

    /// Reserves the next free time for a question, when there can be a permit, and returns how far
    /// off it is.
    ///
    /// There are two such times for each permit, since some askers do not come back, and at most
    /// ten per second.
    fn next_question_ms(&mut self, rate: GrantRate, now: BootMs) -> u64 {
        let accrual_ms = |millirequests: u64| {
            let span_ms = (millirequests * 1_000).checked_div(rate.millirequests_per_s);
            span_ms.unwrap_or(MAX_PAUSE_MS).min(MAX_PAUSE_MS)
        };
        let missing = MILLIREQUESTS.saturating_sub(self.millirequests);
        let permit_at = self.filled_at.max(now).after(accrual_ms(missing));
        let earliest = now.after(MIN_PAUSE_MS).max(permit_at).max(self.next_question_at);
        let spacing_ms = PAUSE_PER_ASKER_MS.max(accrual_ms(MILLIREQUESTS) / 2);
        self.next_question_at = earliest.after(spacing_ms).min(now.after(MAX_PAUSE_MS));
        earliest.since(now).min(MAX_PAUSE_MS)
    }

    fn fill(&mut self, rate: GrantRate, now: BootMs) {
        let span_ms = now.since(self.filled_at);
        let added = rate.millirequests_per_s.saturating_mul(span_ms) / 1_000;
        if added == 0 {
            // The time stays uncounted until it adds at least one millirequest, so nothing is lost
            // to rounding.
            return;
        }
        let filled = self.millirequests.saturating_add(added);
        self.millirequests = filled.min(rate.burst_millirequests);
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
#[derive(Clone, Debug)]
pub struct LimitPermits {
    held: IndexMap<IncarnationDigest, Held>,
    kept_ms: u64,
    /// Whether unused permits are kept when further ones are granted, which renews them.
    adds_up: bool,
    /// Shortest interval between two questions.
    question_interval_ms: u64,
    next_question_at: BootMs,
}

impl Default for LimitPermits {
    /// Permits for overloaded servers.
    fn default() -> Self {
        Self {
            held: IndexMap::new(),
            kept_ms: PERMIT_KEPT_MS,
            adds_up: true,
            question_interval_ms: 0,
            next_question_at: BootMs(0),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    permits: u32,
    valid_until: BootMs,
    /// Requests since the last question that were sent elsewhere for lack of a permit.
    denied: u32,
    ask_at: BootMs,
    /// Whether a question was sent that is not answered yet.
    is_asking: bool,
}

impl LimitPermits {
    /// Creates the permits for cold servers, which are never renewed.
    #[must_use]
    pub fn for_cold_servers() -> Self {
        Self {
            kept_ms: COLD_PERMIT_KEPT_MS,
            adds_up: false,
            question_interval_ms: COLD_QUESTION_INTERVAL_MS,
            ..Self::default()
        }
    }

    /// Returns until when the permits for a server are valid.
    #[must_use]
    pub fn valid_until(&self, incarnation: IncarnationDigest) -> BootMs {
        self.held.get(&incarnation).map(|held| held.valid_until).unwrap_or_default()
    }

    /// Returns when permits for a server may be asked for again; a moment in the past if a question
    /// is under way.
    #[must_use]
    pub fn next_question_at(&self, incarnation: IncarnationDigest) -> BootMs {
        match self.held.get(&incarnation) {
            Some(held) if held.is_asking => BootMs(0),
            held => held.map_or(BootMs(0), |held| held.ask_at).max(self.next_question_at),
        }
    }

    /// Records that `waiting` requests wait for a permit. Returns how many permits to ask for if a
    /// question is due, like [`Self::note_denied`].
    #[must_use]
    pub fn note_waiting(
        &mut self,
        incarnation: IncarnationDigest,
        waiting: u32,
        now: BootMs,
    ) -> Option<u32> {
        let held = self.held.entry(incarnation).or_default();
        held.denied = held.denied.max(waiting).min(MAX_WANTED);
        self.ask(incarnation, now)
    }

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
        self.ask(incarnation, now)
    }

    /// Returns how many permits to ask for if a question is due.
    fn ask(&mut self, incarnation: IncarnationDigest, now: BootMs) -> Option<u32> {
        let next_question_at = self.next_question_at;
        let held = self.held.get_mut(&incarnation)?;
        if now < held.ask_at || now < next_question_at {
            return None;
        }
        self.next_question_at = now.after(self.question_interval_ms);
        held.ask_at = now.after(MAX_PAUSE_MS);
        held.is_asking = true;
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
        let valid_until = asked_at.after(self.kept_ms);
        let is_kept = self.adds_up && held.valid_until > asked_at;
        let kept = if is_kept { held.permits } else { 0 };
        *held = Held {
            permits: kept.saturating_add(grant.permits),
            valid_until,
            ask_at: asked_at.after(grant.ask_again_ms),
            is_asking: false,
            ..*held
        };
    }

    /// Records that a question was not answered, so that it is repeated after the shortest pause.
    pub fn note_unanswered(&mut self, incarnation: IncarnationDigest, now: BootMs) {
        if let Some(held) = self.held.get_mut(&incarnation) {
            held.ask_at = now.after(MIN_PAUSE_MS);
            held.is_asking = false;
        }
    }

    /// Drops backend servers for which no permits were asked recently.
    pub fn expire(&mut self, now: BootMs) {
        self.held.retain(|_, held| now.since(held.ask_at) < ASKER_KEPT_MS);
    }
}
