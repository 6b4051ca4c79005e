//! Detects requests that crash backend servers, from what all entries together have observed.
//!
//! Such a request ends each backend server that starts to run it, and its caller retries it under
//! another id at another entry. No single entry sees enough attempts, so entries exchange
//! [`RequestReport`]s.
//!
//! Other requests run beside such a request and must not be refused for it. So a request is refused
//! only after several backend servers have ended while they had it, and never once one has answered
//! it. A harmless request that is sent often is present at many crashes, but it is also answered
//! often.

use super::recent_map::RecentMap;
use super::{BootMs, IncarnationDigest, RequestDigest};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Backend servers that must have ended while they ran a request until it is refused.
const ENDED_TO_REFUSE: u32 = 3;

/// Weight of the end of a backend server that had begun to answer the request.
pub(super) const BEGUN_WEIGHT: u32 = 2;

/// Weight of the end of a backend server that had not sent a response head. The request may only
/// have been queued there, but an engine may also crash before the head is sent.
pub(super) const NOT_BEGUN_WEIGHT: u32 = 1;

/// Time for which a request is remembered after it was last reported or refused.
pub(super) const KEPT_MS: u64 = 600_000;

/// Most requests that are remembered; their reports to an entry that has just started take about 10
/// KB.
const MAX_REQUESTS: usize = 256;

/// Shortest time for which an answer is remembered; the longest is twice as much.
const ANSWERS_KEPT_MS: u64 = 30_000;

/// Most answered requests in one generation: enough for one entry's share of a
/// large fleet's load (42 requests per second) over more than [`ANSWERS_KEPT_MS`].
const MAX_ANSWERS: usize = 4_096;

/// What was observed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestObservation {
    /// A backend server ended while it had the request.
    BackendEnded {
        /// The incarnation that ended.
        incarnation: IncarnationDigest,
        /// Whether it had begun to answer the request.
        had_begun: bool,
    },
    /// A backend server answered the request.
    Answered,
}

/// An observation of a request that one entry sends to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// The request.
    pub digest: RequestDigest,
    /// What was observed.
    pub seen: RequestObservation,
    /// Age of the observation in milliseconds.
    pub age_ms: u64,
}

/// Result of recording a report about a request, or about a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ReportOutcome {
    /// The report was new.
    New,
    /// The report was known already, or is too old to matter.
    Known,
    /// This entry has seen the request answered, which it should report to the others.
    Contradicted,
}

/// Requests that backend servers were running when they ended.
#[derive(Clone, Debug)]
pub struct CrashTable {
    records: IndexMap<RequestDigest, Record>,
    answers: RecentMap<RequestDigest, ()>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    ended: IndexMap<IncarnationDigest, End>,
    answered_at: Option<BootMs>,
    /// When the request was last reported or refused.
    last_reported_at: BootMs,
}

#[derive(Clone, Copy, Debug)]
struct End {
    at: BootMs,
    had_begun: bool,
    /// Whether it is certain that the backend server ended. A suspected end counts at this entry
    /// only and is not reported to others.
    is_certain: bool,
}

impl Default for CrashTable {
    fn default() -> Self {
        let answers = RecentMap::new(ANSWERS_KEPT_MS, MAX_ANSWERS);
        Self { records: IndexMap::new(), answers }
    }
}

impl CrashTable {
    /// Records an observation of this entry, or one that another entry reported.
    pub fn note(&mut self, report: RequestReport, now: BootMs) -> ReportOutcome {
        let RequestReport { digest, seen, age_ms } = report;
        if age_ms >= KEPT_MS {
            return ReportOutcome::Known;
        }
        let at = now.before(age_ms);
        match seen {
            RequestObservation::Answered => self.note_answer(digest, at),
            RequestObservation::BackendEnded { .. } if self.answers.contains(&digest) => {
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
        record.last_reported_at = record.last_reported_at.max(end.at);
        match record.ended.get_mut(&incarnation) {
            Some(known) => known.merge(end),
            None => {
                record.ended.insert(incarnation, end);
                ReportOutcome::New
            }
        }
    }

    /// Records that a backend server may have ended while it had a request. Returns whether that is
    /// new.
    ///
    /// Until the end is confirmed or retracted, the request is treated as if the server had ended.
    #[must_use]
    pub fn suspect(
        &mut self,
        digest: RequestDigest,
        incarnation: IncarnationDigest,
        had_begun: bool,
        now: BootMs,
    ) -> bool {
        let end = End { at: now, had_begun, is_certain: false };
        !self.answers.contains(&digest)
            && self.note_end(digest, incarnation, end) == ReportOutcome::New
    }

    /// Records an answer, which drops the ends that were observed before it.
    fn note_answer(&mut self, digest: RequestDigest, at: BootMs) -> ReportOutcome {
        let Some(record) = self.records.get_mut(&digest) else { return ReportOutcome::Known };
        let ended = record.ended.len();
        record.ended.retain(|_, end| end.at > at);
        record.answered_at = record.answered_at.max(Some(at));
        if record.ended.len() < ended { ReportOutcome::New } else { ReportOutcome::Known }
    }

    /// Records that a backend server answered a request. Returns whether the other entries should
    /// be told, because an end was recorded for the request.
    #[must_use]
    pub fn note_answered(&mut self, digest: RequestDigest, now: BootMs) -> bool {
        self.answers.insert(digest, (), now);
        self.note_answer(digest, now) == ReportOutcome::New
    }

    /// Withdraws the suspicion that a backend server ended while it had a request, unless it was
    /// confirmed.
    pub fn retract(&mut self, digest: RequestDigest, incarnation: IncarnationDigest) {
        let Some(record) = self.records.get_mut(&digest) else { return };
        record.ended.retain(|known, end| *known != incarnation || end.is_certain);
        if record.ended.is_empty() && record.answered_at.is_none() {
            self.records.swap_remove(&digest);
        }
    }

    /// Returns whether a request must no longer be sent to backend servers.
    #[must_use]
    pub fn is_refused(&self, digest: RequestDigest) -> bool {
        self.records.get(&digest).is_some_and(Record::is_refused)
    }

    /// Records that a request was refused, so that it stays remembered while callers keep sending
    /// it.
    pub fn note_refused(&mut self, digest: RequestDigest, now: BootMs) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.last_reported_at = now;
        }
    }

    /// Returns the number of backend servers that ended while they had a request.
    #[must_use]
    pub fn ended_server_count(&self, digest: RequestDigest) -> usize {
        self.records.get(&digest).map_or(0, |record| record.ended.len())
    }

    /// Returns the number of requests that are refused.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.records.values().filter(|record| record.is_refused()).count()
    }

    /// Returns reports of everything that is certain, for an entry that may lack some of it.
    #[must_use]
    pub fn reports(&self, now: BootMs) -> Vec<RequestReport> {
        self.records.iter().flat_map(|(digest, record)| record.reports(*digest, now)).collect()
    }

    /// Returns a checksum over the certain ends, which is equal at entries that know the same ones.
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

    /// Drops requests and answers that are older than their retention time.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| now.since(record.last_reported_at) < KEPT_MS);
        self.answers.expire(now);
    }

    /// Makes room for a further request: drops the one reported longest ago, and a refused one only
    /// if all are refused.
    fn make_room(&mut self, digest: RequestDigest) {
        if self.records.len() < MAX_REQUESTS || self.records.contains_key(&digest) {
            return;
        }
        let retention_rank = |record: &Record| (record.is_refused(), record.last_reported_at);
        let evicted = self.records.iter().min_by_key(|(_, record)| retention_rank(record));
        if let Some(evicted) = evicted.map(|(digest, _)| *digest) {
            self.records.swap_remove(&evicted);
        }
    }
}

impl End {
    /// Merges a further report of the same end.
    ///
    /// Two requests with the same content may have been there, one of which had begun.
    fn merge(&mut self, other: Self) -> ReportOutcome {
        let merged = Self {
            had_begun: self.had_begun || other.had_begun,
            is_certain: self.is_certain || other.is_certain,
            ..*self
        };
        let is_known = (merged.had_begun, merged.is_certain) == (self.had_begun, self.is_certain);
        *self = merged;
        if is_known { ReportOutcome::Known } else { ReportOutcome::New }
    }
}

impl Record {
    fn certain(&self) -> impl Iterator<Item = (&IncarnationDigest, &End)> {
        self.ended.iter().filter(|(_, end)| end.is_certain)
    }

    fn is_refused(&self) -> bool {
        let weight = |end: &End| if end.had_begun { BEGUN_WEIGHT } else { NOT_BEGUN_WEIGHT };
        self.ended.values().map(weight).sum::<u32>() >= ENDED_TO_REFUSE * BEGUN_WEIGHT
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
