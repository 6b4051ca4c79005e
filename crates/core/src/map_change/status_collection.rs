//! Collects the statuses of a section of a large group on one of its agents, which sends them to
//! the leader in one message.

use super::status::{CountsSample, RankStatus};
use crate::direct::BootMs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Age above which a collection is discarded: several times the wait for the last answer.
const MAX_AGE_MS: u64 = 200;

/// Statuses of a section, as sent to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectedStatuses {
    /// Number that the leader gave to the section.
    pub section: u16,
    /// The statuses without their counts, each with the address of its agent.
    pub statuses: Vec<(SocketAddr, RankStatus)>,
    /// Sum of the counts of all statuses.
    pub counts: CountsSample,
}

/// Statuses that an agent is collecting for a leader.
#[derive(Clone, Debug)]
pub struct StatusCollection {
    expected: usize,
    /// When the collected statuses become too old to send.
    valid_until: BootMs,
    collected: CollectedStatuses,
    choices: Vec<u64>,
}

impl StatusCollection {
    /// Starts a collection of the statuses of `expected` agents of a section.
    #[must_use]
    pub fn new(now: BootMs, section: u16, expected: usize) -> Self {
        let valid_until = now.after(MAX_AGE_MS);
        let counts = CountsSample::default();
        let collected = CollectedStatuses { section, statuses: Vec::new(), counts };
        Self { expected, valid_until, collected, choices: Vec::new() }
    }

    /// Adds the status of the rank whose agent is at `agent`.
    pub fn add(&mut self, agent: SocketAddr, status: RankStatus) {
        let CountsSample { unit, counts } = &status.counts;
        if self.choices.is_empty() {
            self.choices = vec![0; counts.len()];
        }
        // A rank that has just started sends no counts.
        for (sum, count) in self.choices.iter_mut().zip(counts) {
            *sum += u64::from(*unit) * u64::from(*count);
        }
        let status = RankStatus { counts: CountsSample::default(), ..status };
        self.collected.statuses.push((agent, status));
    }

    /// Returns whether every polled agent has answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.collected.statuses.len() >= self.expected
    }

    /// Returns the message for the leader, or nothing if no status arrived or the collection is too
    /// old.
    ///
    /// An agent whose instance freezes while it collects resumes seconds later. The leader would
    /// take the old statuses for current ones and wait for passes and maps that are already over.
    #[must_use]
    pub fn finish(mut self, now: BootMs) -> Option<CollectedStatuses> {
        if self.collected.statuses.is_empty() || now > self.valid_until {
            return None;
        }
        let choices = self.choices.iter().map(|it| u32::try_from(*it).unwrap_or(u32::MAX));
        self.collected.counts = CountsSample::of(&choices.collect::<Vec<_>>());
        Some(self.collected)
    }
}
