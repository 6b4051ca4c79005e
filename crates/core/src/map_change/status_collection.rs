//! Statuses of a section of a large group, collected by one of its agents.

use super::status::{CountsSample, RankStatus};
use crate::direct::BootMs;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Age from which a collection is not told any more: several times the wait for the last answer.
const MOST_AGE_MS: u64 = 200;

/// What an agent has collected for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectedStatuses {
    /// The section, by the leader's number.
    pub section: u16,
    /// The statuses without their counts, each with its agent's address.
    pub statuses: Vec<(SocketAddr, RankStatus)>,
    /// The sum of their counts.
    pub counts: CountsSample,
}

/// Statuses on their way to a leader.
#[derive(Clone, Debug)]
pub struct StatusCollection {
    awaited: usize,
    /// Until when what was collected is of the present.
    tell_until: BootMs,
    collected: CollectedStatuses,
    choices: Vec<u64>,
}

impl StatusCollection {
    /// Begins to collect the statuses of `awaited` agents of a section.
    #[must_use]
    pub fn new(now: BootMs, section: u16, awaited: usize) -> Self {
        let tell_until = now.after(MOST_AGE_MS);
        let counts = CountsSample::default();
        let collected = CollectedStatuses { section, statuses: Vec::new(), counts };
        Self { awaited, tell_until, collected, choices: Vec::new() }
    }

    /// Adds the status of the rank whose agent is at `agent`.
    pub fn add(&mut self, agent: SocketAddr, status: RankStatus) {
        let CountsSample { unit, counts } = &status.counts;
        if self.choices.is_empty() {
            self.choices = vec![0; counts.len()];
        }
        // A rank that has just started tells none.
        for (sum, count) in self.choices.iter_mut().zip(counts) {
            *sum += u64::from(*unit) * u64::from(*count);
        }
        let status = RankStatus { counts: CountsSample::default(), ..status };
        self.collected.statuses.push((agent, status));
    }

    /// Whether every agent that was asked has answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.collected.statuses.len() >= self.awaited
    }

    /// What is to be told to the leader; nothing when it is too old.
    ///
    /// An agent whose machine freezes while it collects goes on seconds later. Its leader would take what
    /// ranks said then for their present word, and wait for passes and maps that are over.
    #[must_use]
    pub fn finish(mut self, now: BootMs) -> Option<CollectedStatuses> {
        if self.collected.statuses.is_empty() || now > self.tell_until {
            return None;
        }
        let choices = self.choices.iter().map(|it| u32::try_from(*it).unwrap_or(u32::MAX));
        self.collected.counts = CountsSample::of(&choices.collect::<Vec<_>>());
        Some(self.collected)
    }
}
