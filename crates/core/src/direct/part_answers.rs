//! The prompt parts of requests that this entry has seen answered.

use super::recent_map::RecentMap;
use super::{BootMs, PromptPart};

/// Time for which an answer speaks for the parts of its prompt. A part that begins to crash backend
/// servers although it was answered before, as after a change of the model, is suspected then at
/// the latest.
pub(super) const FAMILIAR_MS: u64 = 60_000;

/// Most parts in one generation, for an entry's part of a large fleet's load (42 requests per second
/// with some 5 parts each).
const MAX_PARTS: usize = 16_384;

/// Times that backend servers must have ended one after the other under a part since it was last
/// answered, until the answers before no longer speak for it.
const ROUNDS_AGAINST_ANSWERS: u32 = 2;

/// What the answers that this entry has seen say of a part under which a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Familiarity {
    /// It has not been answered lately.
    Unknown,
    /// It has been answered lately.
    Answered,
    /// It was answered lately, but since then several backend servers have ended under it.
    AnsweredBefore,
}

/// When parts were last answered, and what has happened since.
#[derive(Clone, Debug)]
pub(super) struct PartAnswers(RecentMap<PromptPart, LastAnswer>);

#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    began_at: BootMs,
    /// Times that backend servers have ended under the part since, one after the other.
    rounds: u32,
    /// When the first backend server of the last such time ended.
    round_ended_at: BootMs,
}

impl Default for PartAnswers {
    fn default() -> Self {
        Self(RecentMap::new(FAMILIAR_MS, MAX_PARTS))
    }
}

impl PartAnswers {
    /// Records an answer that began at `began_at`.
    pub(super) fn add(&mut self, part: PromptPart, began_at: BootMs, now: BootMs) {
        if self.0.get(&part).is_some_and(|known| known.began_at >= began_at) {
            return;
        }
        let answer = LastAnswer { began_at, rounds: 0, round_ended_at: began_at };
        self.0.insert(part, answer, now);
    }

    /// Returns when the last answer on a part began that speaks for a request that began at
    /// `began_at`.
    pub(super) fn speaks_for(&self, part: PromptPart, began_at: BootMs) -> Option<BootMs> {
        let answered_at = self.0.get(&part)?.began_at;
        (began_at.since(answered_at) <= FAMILIAR_MS).then_some(answered_at)
    }

    /// Records that a backend server ended at `ended_at` under a request that began at `began_at`.
    pub(super) fn note_end(
        &mut self,
        part: PromptPart,
        began_at: BootMs,
        ended_at: BootMs,
    ) -> Familiarity {
        if self.speaks_for(part, began_at).is_none() {
            return Familiarity::Unknown;
        }
        let Some(answer) = self.0.get_mut(&part) else { return Familiarity::Unknown };
        if began_at > answer.round_ended_at {
            answer.rounds += 1;
            answer.round_ended_at = ended_at;
        }
        if answer.rounds >= ROUNDS_AGAINST_ANSWERS {
            Familiarity::AnsweredBefore
        } else {
            Familiarity::Answered
        }
    }

    /// Drops answers that are too old.
    pub(super) fn expire(&mut self, now: BootMs) {
        self.0.expire(now);
    }
}
