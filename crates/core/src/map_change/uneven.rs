//! Reports why a group with an uneven load keeps its map.

use super::leader::Leader;
use crate::direct::BootMs;

/// Time without a balanced map after which the leader reports the reason. An undisturbed change
/// takes less.
const UNEVEN_MS: u64 = 1_000;

/// Interval between two reports.
const NOTE_INTERVAL_MS: u64 = 1_000;

/// The reason why a leader begins no change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The status of the leader's own rank has not been read yet.
    OwnRankUnread,
    /// A change, or the undo of one, is in progress; the value is the name of its phase.
    Phase(&'static str),
    /// A rank has no recent status.
    RankMissed {
        /// The rank.
        rank: u16,
        /// Age of its last status; none if there was no status.
        age_ms: Option<u64>,
    },
    /// A rank reports another epoch than the leader's own rank.
    OtherEpoch {
        /// The rank.
        rank: u16,
    },
    /// A rank reports that the group runs no passes.
    NotOpen {
        /// The rank.
        rank: u16,
    },
    /// A rank holds a pass for an abandoned change.
    Held {
        /// The rank.
        rank: u16,
    },
    /// A rank is armed for an abandoned change.
    Armed {
        /// The rank.
        rank: u16,
    },
    /// A rank uses another map than the others, or its status was read over the network.
    NotAligned {
        /// The rank.
        rank: u16,
    },
    /// Some ranks have not reported which experts they hold.
    MapUnknown,
    /// The demand has just shifted, or there are too few samples of it.
    DemandUnsettled,
}

/// Report about a group that has been uneven for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnevenNote {
    /// The reason why its map is not changed.
    pub obstacle: Obstacle,
    /// Time since the group last had a balanced map, as far as this leader knows.
    pub uneven_ms: u64,
    /// Epoch of the group that the leader's own rank reports.
    pub epoch: Option<u64>,
}

impl Obstacle {
    /// Returns the name of the reason in logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::OwnRankUnread => "own-rank-unread",
            Self::Phase(phase) => phase,
            Self::RankMissed { .. } => "rank-missed",
            Self::OtherEpoch { .. } => "other-epoch",
            Self::NotOpen { .. } => "not-open",
            Self::Held { .. } => "held",
            Self::Armed { .. } => "armed",
            Self::NotAligned { .. } => "not-aligned",
            Self::MapUnknown => "map-unknown",
            Self::DemandUnsettled => "demand-unsettled",
        }
    }

    /// Returns the rank concerned, if any.
    #[must_use]
    pub const fn rank(&self) -> Option<u16> {
        match self {
            Self::RankMissed { rank, .. }
            | Self::OtherEpoch { rank }
            | Self::NotOpen { rank }
            | Self::Held { rank }
            | Self::Armed { rank }
            | Self::NotAligned { rank } => Some(*rank),
            Self::OwnRankUnread | Self::Phase(_) | Self::MapUnknown | Self::DemandUnsettled => None,
        }
    }

    /// Returns the age of the last status of that rank, if its absence is the reason.
    #[must_use]
    pub const fn age_ms(&self) -> Option<u64> {
        match self {
            Self::RankMissed { age_ms, .. } => *age_ms,
            _ => None,
        }
    }
}

/// Tracks for how long a group has had no balanced map.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ImbalanceClock {
    /// When the map was last known to be balanced, or when the leader started.
    balanced_at: Option<BootMs>,
    next_note_at: BootMs,
}

impl ImbalanceClock {
    /// Records that no other map would be better balanced.
    pub(super) const fn note_balanced(&mut self, now: BootMs) {
        self.balanced_at = Some(now);
    }

    /// Returns the time without a balanced map.
    fn uneven_ms(&mut self, now: BootMs) -> u64 {
        now.since(*self.balanced_at.get_or_insert(now))
    }

    fn is_due(&mut self, now: BootMs) -> bool {
        let is_due = self.uneven_ms(now) >= UNEVEN_MS && self.next_note_at <= now;
        if is_due {
            self.next_note_at = now.after(NOTE_INTERVAL_MS);
        }
        is_due
    }
}

impl Leader {
    /// Returns the time since the group last had a balanced map, as far as this leader knows.
    pub fn uneven_ms(&mut self, now: BootMs) -> u64 {
        self.imbalance_clock.uneven_ms(now)
    }

    /// Returns a report at regular intervals while the group is uneven.
    pub fn uneven_note(&mut self, now: BootMs) -> Option<UnevenNote> {
        if !self.imbalance_clock.is_due(now) {
            return None;
        }
        let uneven_ms = self.imbalance_clock.uneven_ms(now);
        let epoch = self.status_of(self.own_rank).map(|own| own.epoch);
        Some(UnevenNote { obstacle: self.obstacle(now), uneven_ms, epoch })
    }

    fn obstacle(&self, now: BootMs) -> Obstacle {
        let Some(own) = self.status_of(self.own_rank) else { return Obstacle::OwnRankUnread };
        if self.is_changing() {
            return Obstacle::Phase(self.phase.as_str());
        }
        let missed = (0..own.ranks).find(|rank| !self.has_current_status(*rank, own.epoch, now));
        if let Some(rank) = missed {
            return match self.status_of(rank) {
                Some(status) if status.epoch != own.epoch => Obstacle::OtherEpoch { rank },
                _ => Obstacle::RankMissed { rank, age_ms: self.age_ms(rank, now) },
            };
        }
        let first_map = own.map;
        let obstacle = self.statuses().find_map(|status| {
            let rank = status.rank;
            match status {
                _ if !status.is_open => Some(Obstacle::NotOpen { rank }),
                _ if status.held_step.is_some() => Some(Obstacle::Held { rank }),
                _ if status.armed.is_some() => Some(Obstacle::Armed { rank }),
                _ if status.map != first_map || status.is_read_remotely => {
                    Some(Obstacle::NotAligned { rank })
                }
                _ => None,
            }
        });
        let map_is_known = self.known_map() == Some(first_map);
        let rest = if map_is_known { Obstacle::DemandUnsettled } else { Obstacle::MapUnknown };
        obstacle.unwrap_or(rest)
    }
}
