//! Why a group that is uneven gets no other map.

use super::leader::Leader;
use crate::direct::BootMs;

/// Time without an even map from which a leader says why. A change that meets no trouble is over by then.
const UNEVEN_MS: u64 = 1_000;

/// Pause between two such lines.
const SAY_AGAIN_MS: u64 = 1_000;

/// What keeps a leader from beginning a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The rank beside the leader was not read yet.
    OwnRankUnread,
    /// A change, or the end of one, is under way.
    Phase(&'static str),
    /// A rank was not heard for so long, or never.
    RankMissed {
        /// The rank.
        rank: u16,
        /// Age of its last word.
        age_ms: Option<u64>,
    },
    /// A rank tells of another epoch than the one beside the leader.
    OtherEpoch {
        /// The rank.
        rank: u16,
    },
    /// A rank says that the group makes no passes.
    NotOpen {
        /// The rank.
        rank: u16,
    },
    /// A rank holds a pass for a change that was left.
    Held {
        /// The rank.
        rank: u16,
    },
    /// A rank is armed for a change that was left.
    Armed {
        /// The rank.
        rank: u16,
    },
    /// A rank has another map than the others, or is read from another machine.
    NotAligned {
        /// The rank.
        rank: u16,
    },
    /// Some ranks have not told which experts they hold.
    MapUnknown,
    /// The demand has shifted, or too little is known of it.
    DemandUnsettled,
}

/// A line on a group that has been uneven for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnevenNote {
    /// Why it gets no other map.
    pub obstacle: Obstacle,
    /// Time since it had an even one, as far as this leader knows.
    pub uneven_ms: u64,
    /// The group's epoch by the word of the rank beside the leader.
    pub epoch: Option<u64>,
}

impl Obstacle {
    /// The word for logs.
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

    /// The rank concerned.
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

    /// Age of that rank's last word, where that is the obstacle.
    #[must_use]
    pub const fn age_ms(&self) -> Option<u64> {
        match self {
            Self::RankMissed { age_ms, .. } => *age_ms,
            _ => None,
        }
    }
}

/// Since when a group has no even map.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EvenClock {
    /// When the map was last known to be even, or the leader began.
    even_at: Option<BootMs>,
    say_at: BootMs,
}

impl EvenClock {
    /// Notes that no map would be more even.
    pub(super) const fn note_even(&mut self, now: BootMs) {
        self.even_at = Some(now);
    }

    /// Time without an even map.
    fn uneven_ms(&mut self, now: BootMs) -> u64 {
        now.since(*self.even_at.get_or_insert(now))
    }

    fn is_due(&mut self, now: BootMs) -> bool {
        let is_due = self.uneven_ms(now) >= UNEVEN_MS && self.say_at <= now;
        if is_due {
            self.say_at = now.after(SAY_AGAIN_MS);
        }
        is_due
    }
}

impl Leader {
    /// Time since the group had an even map, as far as this leader knows.
    pub fn uneven_ms(&mut self, now: BootMs) -> u64 {
        self.even_clock.uneven_ms(now)
    }

    /// Says now and then why a group that is uneven gets no other map.
    pub fn uneven_note(&mut self, now: BootMs) -> Option<UnevenNote> {
        if !self.even_clock.is_due(now) {
            return None;
        }
        let uneven_ms = self.even_clock.uneven_ms(now);
        let epoch = self.status_of(self.own_rank).map(|own| own.epoch);
        Some(UnevenNote { obstacle: self.obstacle(now), uneven_ms, epoch })
    }

    fn obstacle(&self, now: BootMs) -> Obstacle {
        let Some(own) = self.status_of(self.own_rank) else { return Obstacle::OwnRankUnread };
        if self.is_changing() {
            return Obstacle::Phase(self.phase.as_str());
        }
        let missed = (0..own.ranks).find(|rank| !self.is_present(*rank, own.epoch, now));
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
