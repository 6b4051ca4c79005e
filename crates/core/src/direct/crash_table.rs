//! Requests under which backend servers have ended, as all entries together have seen it.
//!
//! The fault that this answers: a request that ends each backend server that begins to run it, and comes
//! back under another id at another entry. No entry sees enough of that alone.
//!
//! Beside such a request others run, and their callers must not pay for it. So a request is refused only
//! when backend servers have ended under it several times, and never if one has answered it: what is sent
//! often, and is at work wherever something ends, is answered often too.

use super::{BackendServer, BootMs, RequestDigest};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{fmt, mem};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Backend servers that must have ended under a request that was at work there until it is refused.
const MOST_ENDED: u32 = 3;

/// What the end of a backend server counts against a request that was at work there.
const BEGUN_WEIGHT: u32 = 2;

/// What it counts against one whose answer had no head. It may have waited there and be without fault; an
/// engine may also end before the head has left.
const UNBEGUN_WEIGHT: u32 = 1;

/// Time for which a request is remembered after its last return.
const KEPT_MS: u64 = 600_000;

/// Requests that are remembered at most, about 10 KB as told to an entry that has just started.
const MOST_REQUESTS: usize = 256;

/// Time in which an answer is remembered at least; up to twice as long.
const ANSWERS_KEPT_MS: u64 = 30_000;

/// Answered requests remembered at a time, as a bound: an entry's part of a large fleet's load (42 a
/// second) for more than that time.
const MOST_ANSWERS: usize = 4_096;

/// Names one incarnation of a backend server, shorter than its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationDigest(pub u64);

impl IncarnationDigest {
    /// Digests the name and birth of a backend server.
    #[must_use]
    pub fn of(server: &BackendServer) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&server.born_ms.to_le_bytes());
        hasher.update(server.id.as_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for IncarnationDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What was seen of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestObservation {
    /// A backend server ended while it had the request.
    BackendEnded {
        /// The one that ended.
        incarnation: IncarnationDigest,
        /// Whether the request was at work there.
        had_begun: bool,
    },
    /// A backend server answered it.
    Answered,
}

/// What one entry tells others of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// The request.
    pub digest: RequestDigest,
    /// What was seen of it.
    pub seen: RequestObservation,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// What came of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ReportOutcome {
    /// It says something new.
    New,
    /// It was known, or is too old to matter.
    Known,
    /// This entry has seen the request answered: others are to be told.
    Contradicted,
}

/// Requests under which backend servers have ended.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: IndexMap<RequestDigest, Record>,
    answers: RecentAnswers,
}

#[derive(Clone, Debug, Default)]
struct Record {
    ended: IndexMap<IncarnationDigest, End>,
    answered_at: Option<BootMs>,
    /// When anything was last heard of the request.
    heard_at: BootMs,
}

#[derive(Clone, Copy, Debug)]
struct End {
    at: BootMs,
    had_begun: bool,
    /// Whether it is certain that the backend server has ended. What is not counts here, and is told to nobody.
    is_certain: bool,
}

impl CrashTable {
    /// Takes note of what this entry has seen, or another one says, of a request.
    pub fn note(&mut self, report: RequestReport, now: BootMs) -> ReportOutcome {
        let RequestReport { digest, seen, age_ms } = report;
        if age_ms >= KEPT_MS {
            return ReportOutcome::Known;
        }
        let at = now.before(age_ms);
        match seen {
            RequestObservation::Answered => self.note_answered_elsewhere(digest, at),
            RequestObservation::BackendEnded { .. } if self.answers.contains(digest) => {
                ReportOutcome::Contradicted
            }
            RequestObservation::BackendEnded { incarnation, had_begun } => {
                self.note_end(digest, incarnation, End { at, had_begun, is_certain: true })
            }
        }
    }

    fn note_end(
        &mut self,
        digest: RequestDigest,
        incarnation: IncarnationDigest,
        end: End,
    ) -> ReportOutcome {
        self.make_room(digest);
        let record = self.records.entry(digest).or_default();
        if record.answered_at.is_some_and(|answered_at| answered_at >= end.at) {
            return ReportOutcome::Known;
        }
        record.heard_at = record.heard_at.max(end.at);
        match record.ended.get_mut(&incarnation) {
            Some(known) => known.join(end),
            None => {
                record.ended.insert(incarnation, end);
                ReportOutcome::New
            }
        }
    }

    /// Notes that a backend server may have ended while it had a request; returns whether that is new.
    ///
    /// Until it is certain or retracted, the request is treated as if the backend server had ended.
    #[must_use]
    pub fn suspect(
        &mut self,
        digest: RequestDigest,
        incarnation: IncarnationDigest,
        had_begun: bool,
        now: BootMs,
    ) -> bool {
        let end = End { at: now, had_begun, is_certain: false };
        !self.answers.contains(digest)
            && self.note_end(digest, incarnation, end) == ReportOutcome::New
    }

    fn note_answered_elsewhere(&mut self, digest: RequestDigest, at: BootMs) -> ReportOutcome {
        let Some(record) = self.records.get_mut(&digest) else { return ReportOutcome::Known };
        let ended = record.ended.len();
        record.ended.retain(|_, end| end.at > at);
        record.answered_at = record.answered_at.max(Some(at));
        if record.ended.len() < ended { ReportOutcome::New } else { ReportOutcome::Known }
    }

    /// Notes that a backend server answered a request. Returns whether others are to be told, because one
    /// was thought to have ended under it.
    #[must_use]
    pub fn note_answered(&mut self, digest: RequestDigest, now: BootMs) -> bool {
        self.answers.add(digest, now);
        self.note_answered_elsewhere(digest, now) == ReportOutcome::New
    }

    /// Takes back that a backend server may have ended under a request, unless that is certain by now.
    pub fn retract(&mut self, digest: RequestDigest, incarnation: IncarnationDigest) {
        let Some(record) = self.records.get_mut(&digest) else { return };
        record.ended.retain(|known, end| *known != incarnation || end.is_certain);
        if record.ended.is_empty() && record.answered_at.is_none() {
            self.records.swap_remove(&digest);
        }
    }

    /// Whether a request is not to be sent any more.
    #[must_use]
    pub fn is_refused(&self, digest: RequestDigest) -> bool {
        self.records.get(&digest).is_some_and(Record::is_refused)
    }

    /// Notes that a request was refused, so that it stays known for as long as it keeps coming.
    pub fn note_refused(&mut self, digest: RequestDigest, now: BootMs) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.heard_at = now;
        }
    }

    /// Backend servers that have ended under a request.
    #[must_use]
    pub fn ended_server_count(&self, digest: RequestDigest) -> usize {
        self.records.get(&digest).map_or(0, |record| record.ended.len())
    }

    /// Requests that are refused.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.records.values().filter(|record| record.is_refused()).count()
    }

    /// Everything that is known, for an entry that may lack some of it.
    #[must_use]
    pub fn reports(&self, now: BootMs) -> Vec<RequestReport> {
        self.records.iter().flat_map(|(digest, record)| record.reports(*digest, now)).collect()
    }

    /// A sum over what is known that is the same at entries that know the same.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        let ends = self.records.iter().flat_map(|(digest, record)| {
            record.certain().map(|(incarnation, end)| (*digest, *incarnation, end.had_begun))
        });
        ends.map(|(digest, IncarnationDigest(incarnation), had_begun)| {
            let mut bytes = [0; 25];
            bytes[..16].copy_from_slice(&digest.0.to_le_bytes());
            bytes[16..24].copy_from_slice(&incarnation.to_le_bytes());
            bytes[24] = u8::from(had_begun);
            xxh3_64(&bytes)
        })
        .fold(0, |sum, hash| sum ^ hash)
    }

    /// Forgets what has not been heard of for long.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| now.since(record.heard_at) < KEPT_MS);
        self.answers.expire(now);
    }

    /// Makes room for a further request by forgetting one that is not refused, if there is one, and was
    /// heard of longest ago.
    fn make_room(&mut self, digest: RequestDigest) {
        if self.records.len() < MOST_REQUESTS || self.records.contains_key(&digest) {
            return;
        }
        let worth = |record: &Record| (record.is_refused(), record.heard_at);
        let least = self.records.iter().min_by_key(|(_, record)| worth(record));
        if let Some(least) = least.map(|(digest, _)| *digest) {
            self.records.swap_remove(&least);
        }
    }
}

impl End {
    /// Takes over what a further word says of the same end.
    ///
    /// Two requests of one content may have been there, of which one had begun.
    fn join(&mut self, other: Self) -> ReportOutcome {
        let joined = Self {
            had_begun: self.had_begun || other.had_begun,
            is_certain: self.is_certain || other.is_certain,
            ..*self
        };
        let is_known = (joined.had_begun, joined.is_certain) == (self.had_begun, self.is_certain);
        *self = joined;
        if is_known { ReportOutcome::Known } else { ReportOutcome::New }
    }
}

impl Record {
    fn certain(&self) -> impl Iterator<Item = (&IncarnationDigest, &End)> {
        self.ended.iter().filter(|(_, end)| end.is_certain)
    }

    fn is_refused(&self) -> bool {
        let weight = |end: &End| if end.had_begun { BEGUN_WEIGHT } else { UNBEGUN_WEIGHT };
        self.ended.values().map(weight).sum::<u32>() >= MOST_ENDED * BEGUN_WEIGHT
    }

    fn reports(&self, digest: RequestDigest, now: BootMs) -> impl Iterator<Item = RequestReport> {
        let ends = self.certain().map(move |(incarnation, end)| RequestReport {
            digest,
            seen: RequestObservation::BackendEnded {
                incarnation: *incarnation,
                had_begun: end.had_begun,
            },
            age_ms: now.since(end.at),
        });
        let answered = self.answered_at.map(|at| RequestReport {
            digest,
            seen: RequestObservation::Answered,
            age_ms: now.since(at),
        });
        answered.into_iter().chain(ends)
    }
}

/// Requests that were answered here lately, in two sets of which the older is dropped.
#[derive(Clone, Debug, Default)]
struct RecentAnswers {
    newer: IndexSet<RequestDigest>,
    older: IndexSet<RequestDigest>,
    turned_at: BootMs,
}

impl RecentAnswers {
    fn add(&mut self, digest: RequestDigest, now: BootMs) {
        if self.newer.len() >= MOST_ANSWERS {
            self.turn(now);
        }
        self.newer.insert(digest);
    }

    fn contains(&self, digest: RequestDigest) -> bool {
        self.newer.contains(&digest) || self.older.contains(&digest)
    }

    fn expire(&mut self, now: BootMs) {
        if now.since(self.turned_at) >= ANSWERS_KEPT_MS {
            self.turn(now);
        }
    }

    fn turn(&mut self, now: BootMs) {
        self.older = mem::take(&mut self.newer);
        self.turned_at = now;
    }
}
