//! What the leader knows of the ranks of its group: their last statuses, and whether their agents
//! respond.

use super::leader::Leader;
use super::phase::Phase;
use super::status::RankStatus;
use crate::direct::BootMs;

/// Interval between two statuses of a rank during a change in a small group.
const POLL_ROUND_MS: u64 = 60;

/// Time for the answer to a poll on a busy instance.
pub(super) const POLL_ANSWER_MS: u64 = 40;

/// Age above which a status is not used for decisions.
const MAX_STATUS_AGE_MS: u64 = 1_000;

/// The most recent status of a rank.
#[derive(Clone, Debug)]
pub(super) struct RankEntry {
    pub(super) status: RankStatus,
    pub(super) heard_at: BootMs,
    /// Interval between its last two statuses.
    pub(super) status_interval_ms: u64,
}

impl Leader {
    /// Returns the epoch that the own rank reports.
    ///
    /// In a new epoch no map is prepared, no rank is armed and no pass is held, so a change of the
    /// previous epoch is over.
    pub(super) fn epoch(&mut self) -> Option<u64> {
        let epoch = self.rank_entries.get(&self.own_rank)?.status.epoch;
        self.rank_entries.retain(|_, entry| entry.status.epoch >= epoch);
        let is_over = matches!(self.phase.orders(), Some(orders) if !orders.is_for_epoch(epoch));
        if is_over {
            self.phase = Phase::Steady;
        }
        Some(epoch)
    }

    /// Returns whether all ranks of the group have a recent status of this epoch.
    pub(super) fn all_statuses_current(&self, epoch: u64, now: BootMs) -> bool {
        let ranks = self.rank_entries.get(&self.own_rank).map_or(0, |own| own.status.ranks);
        ranks > 0 && (0..ranks).all(|rank| self.has_current_status(rank, epoch, now))
    }

    /// Returns whether a rank has a recent status of `epoch`.
    pub(super) fn has_current_status(&self, rank: u16, epoch: u64, now: BootMs) -> bool {
        self.rank_entries.get(&rank).is_some_and(|entry| {
            entry.status.epoch == epoch && now.since(entry.heard_at) <= MAX_STATUS_AGE_MS
        })
    }

    /// Returns the age of a rank's last status.
    pub(super) fn age_ms(&self, rank: u16, now: BootMs) -> Option<u64> {
        self.rank_entries.get(&rank).map(|entry| now.since(entry.heard_at))
    }

    /// Returns whether the agent of a rank currently answers polls.
    pub(super) fn is_responsive(&self, rank: u16, now: BootMs) -> bool {
        let entry = self.rank_entries.get(&rank).filter(|entry| !entry.status.is_read_remotely);
        entry.is_some_and(|entry| now.since(entry.heard_at) <= self.max_silence_ms())
    }

    /// Returns whether the agents of all ranks of the group have answered since `polled_since`.
    pub(super) fn all_answered(&self, polled_since: BootMs) -> bool {
        let ranks = self.status_of(self.own_rank).map_or(0, |own| own.ranks);
        let has_answered =
            |entry: &RankEntry| !entry.status.is_read_remotely && entry.heard_at >= polled_since;
        (0..ranks).all(|rank| self.rank_entries.get(&rank).is_some_and(has_answered))
    }

    /// Returns the longest silence of an agent that is explained by the poll interval: two rounds
    /// of polls and the time for an answer.
    #[must_use]
    pub fn max_silence_ms(&self) -> u64 {
        let round_ms =
            self.rank_entries.get(&self.own_rank).map_or(0, |own| own.status_interval_ms);
        2 * round_ms.max(POLL_ROUND_MS) + POLL_ANSWER_MS
    }

    /// Returns the other ranks whose agents respond, starting with the next one after the own rank.
    pub(super) fn other_responsive_ranks(&self) -> impl Iterator<Item = u16> {
        let ranks = self.rank_entries.len().max(1);
        let after = move |distance: usize| ((usize::from(self.own_rank) + distance) % ranks) as u16;
        let is_heard = |rank: &u16| {
            self.rank_entries.get(rank).is_some_and(|entry| !entry.status.is_read_remotely)
        };
        (1..ranks).map(after).filter(is_heard)
    }

    pub(super) fn status_of(&self, rank: u16) -> Option<&RankStatus> {
        self.rank_entries.get(&rank).map(|entry| &entry.status)
    }

    /// Clears the held pass of a rank that has released it, before its next status shows it.
    pub(super) fn clear_held_step(&mut self, rank: u16) {
        if let Some(entry) = self.rank_entries.get_mut(&rank) {
            entry.status.held_step = None;
        }
    }

    pub(super) fn statuses(&self) -> impl Iterator<Item = &RankStatus> {
        self.rank_entries.values().map(|entry| &entry.status)
    }

    pub(super) fn newest_step(&self) -> u64 {
        self.statuses().map(|status| status.step).max().unwrap_or(0)
    }
}
