//! Decides whether a request may be sent, from what speaks against the parts of its prompt.
//!
//! Each end of a backend server has one cause. Among the parts that were there, the one under which
//! most backend servers have ended one after the other is the likely cause; if several are equal,
//! any of them may be. A request that has all likely causes of an end would crash the next backend
//! server. One that has only some of them may be sound, and its answer tells them apart.
//!
//! So doubt leads to a trial: one request at a time is sent, and the others learn from it. The more
//! backend servers have ended, the longer the pause between trials. It never becomes endless, so
//! that a part is served again once the model can answer on it.

use super::crash_table::{BEGUN_WEIGHT, NOT_BEGUN_WEIGHT};
use super::part_crash_table::{End, PartCrashTable, PartRecord};
use super::{BootMs, CallerDigest, IncarnationDigest, PromptPart};
use indexmap::IndexMap;

/// Weight of the ends from which on a part waits longer for its next trial.
const LIKELY_WEIGHT: u32 = 2 * BEGUN_WEIGHT;

/// Weight of the ends from which on a request is refused for good.
const BLAMED_WEIGHT: u32 = 3 * BEGUN_WEIGHT;

/// Pause between trials of a part that is suspected together with others, or for one end: enough for
/// an answer to begin.
const DOUBT_PAUSE_MS: u64 = 1_000;

/// Pause between trials of a part that is the likely cause of two ends.
const LIKELY_PAUSE_MS: u64 = 30_000;

/// Pause between trials of a part that is the cause of three ends.
const BLAMED_PAUSE_MS: u64 = 120_000;

/// Pause between trials of a part that has crashed a backend server again after that.
const CERTAIN_PAUSE_MS: u64 = 600_000;

/// Callers under whose requests a part must have crashed backend servers before it speaks against
/// the requests of others. Otherwise a caller with another way to crash backend servers could
/// get requests of others refused by naming their parts.
const CALLERS_TO_BLAME: usize = 2;

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum PartVerdict {
    /// Nothing speaks against it.
    Allowed,
    /// It may be sent to find out whether parts of its prompt crash backend servers; the other
    /// entries must be told before.
    Trial {
        /// The suspected parts.
        parts: Vec<PromptPart>,
        /// Whether it may be sent again if a backend server rejects it. If the parts are the likely
        /// cause, as few requests as possible should reach backend servers.
        may_repeat: bool,
    },
    /// It must not be sent now, because this part may crash backend servers.
    Doubtful {
        /// The suspected part.
        part: PromptPart,
        /// When it may be tried again.
        retry_at: BootMs,
        /// Whether it has all likely causes of an end. Without, it may well be sound.
        has_cause: bool,
    },
    /// It must not be sent, because this part crashes backend servers.
    Refused {
        /// The part.
        part: PromptPart,
    },
}

/// The likely causes of each end of a backend server.
pub(super) struct Suspicions<'a>(Vec<Suspicion<'a>>);

/// The likely causes of one end.
struct Suspicion<'a> {
    parts: Vec<PromptPart>,
    end: &'a End,
}

impl<'a> Suspicions<'a> {
    /// Finds the likely causes of the ends in `records`.
    pub(super) fn of(records: &'a IndexMap<PromptPart, PartRecord>) -> Self {
        let mut by_end: IndexMap<IncarnationDigest, Candidates<'a>> = IndexMap::new();
        for (part, record) in records {
            let weight = weight(record.counted());
            for (incarnation, end) in record.counted_incarnations() {
                let candidates = by_end.entry(incarnation).or_insert_with(|| Candidates::new(end));
                candidates.add(*part, weight);
            }
        }
        Self(by_end.into_values().map(Candidates::into_suspicion).collect())
    }
}

/// The parts with the greatest weight so far under which one backend server ended.
struct Candidates<'a> {
    parts: Vec<PromptPart>,
    weight: u32,
    end: &'a End,
}

impl<'a> Candidates<'a> {
    fn new(end: &'a End) -> Self {
        Self { parts: Vec::new(), weight: 0, end }
    }

    fn add(&mut self, part: PromptPart, weight: u32) {
        if weight > self.weight {
            self.parts.clear();
            self.weight = weight;
        }
        if weight == self.weight {
            self.parts.push(part);
        }
    }

    fn into_suspicion(self) -> Suspicion<'a> {
        Suspicion { parts: self.parts, end: self.end }
    }
}

impl Suspicion<'_> {
    /// Returns whether the end speaks against requests of a caller with these parts: they have all
    /// likely causes, one of which has crashed backend servers under this caller or several.
    fn blames(&self, table: &PartCrashTable, parts: &[PromptPart], caller: CallerDigest) -> bool {
        let is_of_several = |part: &PromptPart| has_several_callers(table, *part);
        self.parts.iter().all(|part| parts.contains(part))
            && (self.end.caller == caller || self.parts.iter().any(is_of_several))
    }
}

/// Decides whether a request of `caller` with these parts may be sent.
pub(super) fn judge(
    table: &PartCrashTable,
    suspicions: &Suspicions<'_>,
    parts: &[PromptPart],
    caller: CallerDigest,
    now: BootMs,
) -> PartVerdict {
    let is_suspect = |part: &&PromptPart| suspicions.0.iter().any(|it| it.parts.contains(part));
    let suspects: Vec<PromptPart> = parts.iter().filter(is_suspect).copied().collect();
    let Some(first) = suspects.first().copied() else { return PartVerdict::Allowed };
    let blaming = suspicions.0.iter().filter(|it| it.blames(table, parts, caller));
    let caused = blaming.map(|it| it.end);
    let weight = weight(caused.clone());
    let tried_at = suspects.iter().filter_map(|part| table.record(*part)?.tried_at).max();
    // One end may be chance, so the first trial after it does not wait.
    let ended_at = caused.map(|end| end.ended_at).max().filter(|_| weight >= LIKELY_WEIGHT);
    let retry_at = tried_at.max(ended_at).map(|at| at.after(trial_pause_ms(weight)));
    match retry_at {
        Some(retry_at) if now < retry_at && weight >= BLAMED_WEIGHT => {
            PartVerdict::Refused { part: first }
        }
        Some(retry_at) if now < retry_at => {
            PartVerdict::Doubtful { part: first, retry_at, has_cause: weight > 0 }
        }
        _ => PartVerdict::Trial { parts: suspects, may_repeat: weight < LIKELY_WEIGHT },
    }
}

/// Returns whether these ends under one part get a request refused.
pub(super) fn is_blamed<'a>(ends: impl Iterator<Item = &'a End>) -> bool {
    weight(ends) >= BLAMED_WEIGHT
}

fn has_several_callers(table: &PartCrashTable, part: PromptPart) -> bool {
    let Some(record) = table.record(part) else { return false };
    let mut callers: Vec<CallerDigest> = record.counted().map(|end| end.caller).collect();
    callers.sort_unstable();
    callers.dedup();
    callers.len() >= CALLERS_TO_BLAME
}

/// Returns the weight of ends that followed one another. Those of requests that had begun before
/// the first of them ended count as one, since they may have ended for the same other reason.
fn weight<'a>(ends: impl Iterator<Item = &'a End>) -> u32 {
    let mut ends: Vec<&End> = ends.collect();
    ends.sort_unstable_by_key(|end| end.ended_at);
    let mut total = 0;
    let mut round: Option<(BootMs, u32)> = None;
    for end in ends {
        let end_weight = if end.had_begun { BEGUN_WEIGHT } else { NOT_BEGUN_WEIGHT };
        round = match round {
            Some((ended_at, weight)) if end.began_at <= ended_at => {
                Some((ended_at, weight.max(end_weight)))
            }
            earlier => {
                total += earlier.map_or(0, |(_, weight)| weight);
                Some((end.ended_at, end_weight))
            }
        };
    }
    total + round.map_or(0, |(_, weight)| weight)
}

/// Returns the pause between two trials, by the weight of the ends that the request would explain.
const fn trial_pause_ms(weight: u32) -> u64 {
    if weight < LIKELY_WEIGHT {
        DOUBT_PAUSE_MS
    } else if weight < BLAMED_WEIGHT {
        LIKELY_PAUSE_MS
    } else if weight < BLAMED_WEIGHT + BEGUN_WEIGHT {
        BLAMED_PAUSE_MS
    } else {
        CERTAIN_PAUSE_MS
    }
}
