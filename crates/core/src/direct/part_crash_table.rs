//! Detects parts of prompts that crash backend servers, from what all entries together have
//! observed.
//!
//! Requests with different contents may share a part of their prompt on which each backend server
//! crashes that begins to answer. Other requests run beside them and share their other parts, so a
//! part is suspected only while nobody has seen an answer on it since. How much speaks against a
//! request is decided in [`super::part_verdict`].

use super::crash_table::{KEPT_MS, ReportOutcome};
use super::part_answers::{FAMILIAR_MS, Familiarity, PartAnswers};
use super::part_verdict::{self, PartVerdict, Suspicions};
use super::{
    BootMs, CallerDigest, IncarnationDigest, PartEnd, PartObservation, PartReport, PromptPart,
};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

/// Most parts that are remembered.
const MAX_PARTS: usize = 256;

/// Most ends that are remembered for one part.
const MAX_ENDS: usize = 8;

/// Shortest time between two trials of a part that are told apart. The same trial, heard from
/// several entries, has ages that differ by the time on the way.
const DISTINCT_TRIALS_MS: u64 = 500;

/// Parts of prompts under which backend servers have ended.
#[derive(Clone, Debug, Default)]
pub struct PartCrashTable {
    records: IndexMap<PromptPart, PartRecord>,
    answers: PartAnswers,
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartRecord {
    ends: IndexMap<IncarnationDigest, End>,
    /// When the last known answer began.
    answered_at: Option<BootMs>,
    /// When a request was last sent as a trial.
    pub(super) tried_at: Option<BootMs>,
    /// When the part was last reported or refused.
    last_reported_at: BootMs,
}

/// The end of a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub(super) began_at: BootMs,
    pub(super) ended_at: BootMs,
    pub(super) caller: CallerDigest,
    pub(super) had_begun: bool,
    despite_answers: bool,
}

impl PartCrashTable {
    /// Records what another entry has reported.
    pub fn note(&mut self, report: PartReport, now: BootMs) -> ReportOutcome {
        let PartReport { part, seen, age_ms } = report;
        if age_ms >= KEPT_MS {
            return ReportOutcome::Known;
        }
        let at = now.before(age_ms);
        match seen {
            PartObservation::BackendEnded(end) => self.note_end(part, end, at),
            PartObservation::Answered => self.note_answer(part, at, at),
            PartObservation::Tried => self.note_trial(part, at),
        }
    }

    /// Records that a backend server ended at `ended_at` under a request of this entry. Returns the
    /// report for the others, or `None` if an answer speaks for the part.
    #[must_use]
    pub fn note_ended_here(
        &mut self,
        part: PromptPart,
        end: PartEnd,
        ended_at: BootMs,
        now: BootMs,
    ) -> Option<PartReport> {
        let began_at = ended_at.before(end.ran_ms);
        let despite_answers = match self.answers.note_end(part, began_at, ended_at) {
            Familiarity::Answered => return None,
            Familiarity::Unknown => false,
            Familiarity::AnsweredBefore => true,
        };
        let end = PartEnd { despite_answers, ..end };
        let seen = PartObservation::BackendEnded(end);
        let is_new = self.note_end(part, end, ended_at) == ReportOutcome::New;
        is_new.then(|| PartReport { part, seen, age_ms: now.since(ended_at) })
    }

    fn note_end(&mut self, part: PromptPart, end: PartEnd, ended_at: BootMs) -> ReportOutcome {
        let PartEnd { incarnation, caller, had_begun, despite_answers, ran_ms } = end;
        let began_at = ended_at.before(ran_ms);
        if let Some(answered_at) = self.answers.speaks_for(part, began_at)
            && (answered_at >= began_at || !despite_answers)
        {
            return self.contradict(part, answered_at, ended_at);
        }
        let end = End { began_at, ended_at, caller, had_begun, despite_answers };
        let record = self.record_mut(part, ended_at);
        let outcome = match record.ends.get_mut(&incarnation) {
            Some(known) => known.merge(end),
            None => {
                record.ends.insert(incarnation, end);
                ReportOutcome::New
            }
        };
        record.drop_excess_ends();
        outcome
    }

    /// Records the last answer that this entry has seen, against a reported end.
    fn contradict(&mut self, part: PromptPart, answered_at: BootMs, at: BootMs) -> ReportOutcome {
        let record = self.record_mut(part, at);
        if record.answered_at >= Some(answered_at) {
            return ReportOutcome::Known;
        }
        record.note_answer(answered_at);
        ReportOutcome::Contradicted
    }

    /// Records that a backend server answered a request of this entry, which began at `began_at`.
    /// Returns the report for the others if they may suspect the part.
    #[must_use]
    pub fn note_answered(
        &mut self,
        part: PromptPart,
        began_at: BootMs,
        now: BootMs,
    ) -> Option<PartReport> {
        self.answers.add(part, began_at, now);
        self.records.get(&part)?;
        let outcome = self.note_answer(part, began_at, now);
        (outcome == ReportOutcome::New).then(|| self.answer_report(part, now)).flatten()
    }

    fn note_answer(&mut self, part: PromptPart, began_at: BootMs, at: BootMs) -> ReportOutcome {
        let record = self.record_mut(part, at);
        let suspected = record.counted().count();
        record.note_answer(began_at);
        if record.counted().count() < suspected { ReportOutcome::New } else { ReportOutcome::Known }
    }

    /// Returns the report of the last known answer on a part.
    #[must_use]
    pub fn answer_report(&self, part: PromptPart, now: BootMs) -> Option<PartReport> {
        let answered_at = self.records.get(&part)?.answered_at?;
        let age_ms = now.since(answered_at);
        Some(PartReport { part, seen: PartObservation::Answered, age_ms })
    }

    /// Records that a request is sent as a trial of a part. Returns the report for the others.
    pub fn note_tried(&mut self, part: PromptPart, now: BootMs) -> PartReport {
        let _ = self.note_trial(part, now);
        PartReport { part, seen: PartObservation::Tried, age_ms: 0 }
    }

    fn note_trial(&mut self, part: PromptPart, at: BootMs) -> ReportOutcome {
        let Some(record) = self.records.get_mut(&part) else { return ReportOutcome::Known };
        if record.tried_at.is_some_and(|known| at.since(known) < DISTINCT_TRIALS_MS) {
            return ReportOutcome::Known;
        }
        record.tried_at = Some(at);
        record.last_reported_at = record.last_reported_at.max(at);
        ReportOutcome::New
    }

    /// Decides whether a request of `caller` with these parts may be sent.
    pub fn judge(&self, parts: &[PromptPart], caller: CallerDigest, now: BootMs) -> PartVerdict {
        let is_suspected = |part| self.record(part).is_some_and(|it| it.counted().next().is_some());
        if !parts.iter().any(|part| is_suspected(*part)) {
            return PartVerdict::Allowed;
        }
        part_verdict::judge(self, &Suspicions::of(&self.records), parts, caller, now)
    }

    /// Records that a request was refused for a part, so that the part stays remembered while
    /// callers keep sending it.
    pub fn note_refused(&mut self, part: PromptPart, now: BootMs) {
        if let Some(record) = self.records.get_mut(&part) {
            record.last_reported_at = now;
        }
    }

    /// Returns the number of backend servers that ended under a part since it was last answered.
    #[must_use]
    pub fn ended_server_count(&self, part: PromptPart) -> usize {
        self.record(part).map_or(0, |record| record.counted().count())
    }

    /// Returns the number of parts that alone get a request refused.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        let counted = self.records.values().map(PartRecord::counted);
        counted.filter(|ends| part_verdict::is_blamed(ends.clone())).count()
    }

    /// Returns reports of everything that is known, for an entry that may lack some of it.
    #[must_use]
    pub fn reports(&self, now: BootMs) -> Vec<PartReport> {
        let reports = self.records.iter().flat_map(|(part, record)| record.reports(*part, now));
        reports.collect()
    }

    /// Returns a checksum over the ends that count, which is equal at entries that know the same.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        let ends = self.records.iter().flat_map(|(part, record)| {
            let counted = record.ends.iter().filter(|(_, end)| record.counts(end));
            counted.map(|(incarnation, end)| (*part, *incarnation, end.had_begun))
        });
        ends.map(|(part, IncarnationDigest(incarnation), had_begun)| {
            let mut bytes = [0; 33];
            bytes[..8].copy_from_slice(&part.service_digest.to_le_bytes());
            bytes[8..24].copy_from_slice(&part.id.to_le_bytes());
            bytes[24..32].copy_from_slice(&incarnation.to_le_bytes());
            bytes[32] = u8::from(had_begun);
            xxh3_64(&bytes)
        })
        .fold(0, |sum, hash| sum ^ hash)
    }

    /// Drops parts and answers that are older than their retention time.
    pub fn expire(&mut self, now: BootMs) {
        self.records.retain(|_, record| now.since(record.last_reported_at) < KEPT_MS);
        self.answers.expire(now);
    }

    pub(super) fn record(&self, part: PromptPart) -> Option<&PartRecord> {
        self.records.get(&part)
    }

    /// Returns the record of a part, reported at `at`, and makes room for it: drops the one with the
    /// fewest ends, and among these the one reported longest ago.
    fn record_mut(&mut self, part: PromptPart, at: BootMs) -> &mut PartRecord {
        if self.records.len() >= MAX_PARTS && !self.records.contains_key(&part) {
            let retention_rank = |it: &PartRecord| (it.counted().count(), it.last_reported_at);
            let evicted = self.records.iter().min_by_key(|(_, record)| retention_rank(record));
            if let Some(evicted) = evicted.map(|(part, _)| *part) {
                self.records.swap_remove(&evicted);
            }
        }
        let record = self.records.entry(part).or_default();
        record.last_reported_at = record.last_reported_at.max(at);
        record
    }
}

impl PartRecord {
    /// Returns the ends that no answer voids.
    pub(super) fn counted(&self) -> impl Iterator<Item = &End> + Clone {
        self.ends.values().filter(|end| self.counts(end))
    }

    /// Returns the counted ends with their backend servers.
    pub(super) fn counted_incarnations(&self) -> impl Iterator<Item = (IncarnationDigest, &End)> {
        self.ends.iter().filter(|(_, end)| self.counts(end)).map(|(it, end)| (*it, end))
    }

    fn counts(&self, end: &End) -> bool {
        let Some(answered_at) = self.answered_at else { return true };
        let is_familiar = end.began_at.since(answered_at) <= FAMILIAR_MS;
        end.began_at > answered_at && (end.despite_answers || !is_familiar)
    }

    fn note_answer(&mut self, began_at: BootMs) {
        self.answered_at = self.answered_at.max(Some(began_at));
        self.ends.retain(|_, end| end.began_at > began_at);
    }

    fn drop_excess_ends(&mut self) {
        if self.ends.len() <= MAX_ENDS {
            return;
        }
        let oldest = self.ends.iter().min_by_key(|(_, end)| end.ended_at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.ends.swap_remove(&oldest);
        }
    }

    fn reports(&self, part: PromptPart, now: BootMs) -> impl Iterator<Item = PartReport> {
        let ends = self.ends.iter().map(move |(incarnation, end)| PartReport {
            part,
            seen: PartObservation::BackendEnded(PartEnd {
                incarnation: *incarnation,
                caller: end.caller,
                had_begun: end.had_begun,
                despite_answers: end.despite_answers,
                ran_ms: end.ended_at.since(end.began_at),
            }),
            age_ms: now.since(end.ended_at),
        });
        let report = move |seen, at| PartReport { part, seen, age_ms: now.since(at) };
        let answered = self.answered_at.map(|at| report(PartObservation::Answered, at));
        // The trial comes last, since it is recorded only for a part that is known.
        let tried = self.tried_at.map(|at| report(PartObservation::Tried, at));
        answered.into_iter().chain(ends).chain(tried)
    }
}

impl End {
    /// Merges a further report of the same end, of another request that was there.
    fn merge(&mut self, other: Self) -> ReportOutcome {
        let known = (self.had_begun, self.despite_answers);
        self.had_begun |= other.had_begun;
        self.despite_answers |= other.despite_answers;
        self.began_at = self.began_at.max(other.began_at);
        self.caller = self.caller.max(other.caller);
        let is_known = known == (self.had_begun, self.despite_answers);
        if is_known { ReportOutcome::Known } else { ReportOutcome::New }
    }
}
