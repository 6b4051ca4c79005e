//! Fair queue of the attempts that wait for a slot.
//!
//! Attempts are ordered by the rank of their tier, then by the slot time charged to their team
//! (least first), then by deadline (earliest first). A tier with a floor gets that share of the
//! starts and of the queue's capacity even when higher tiers could use all of it.
//!
//! Ordering by deadline alone would let a team that sends a hundred times as much as others take
//! nearly every slot, while the other teams' requests expire in the queue. Teams are therefore
//! charged for the slot time that they use.

use crate::ids::AttemptId;
use crate::message::TierWaiting;
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, TeamId, TierId};
use indexmap::IndexMap;

/// Credit that entitles a tier to a start ahead of higher tiers, in thousandths of a start.
const CREDIT_PER_START: u32 = 1_000;
/// Maximum credit that a tier accumulates.
const MAX_CREDIT: u32 = 2 * CREDIT_PER_START;

/// What the queue needs to know of a waiting attempt.
#[derive(Clone, Debug)]
pub(crate) struct QueuedAttempt {
    pub(crate) tier: TierId,
    pub(crate) rank: u8,
    pub(crate) team: TeamId,
    pub(crate) deadline: UnixMs,
}

/// Whether the queue has room for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// There is room.
    Free,
    /// There is room once this attempt has been evicted.
    Evict(AttemptId),
    /// There is no room, and no attempt may be evicted.
    Full,
}

/// Which rules of the queue are enabled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueRules {
    pub(crate) eviction: bool,
    pub(crate) team_fairness: bool,
    pub(crate) tier_floors: bool,
}

/// The attempts that wait for a slot.
#[derive(Debug)]
pub(crate) struct FairQueue {
    rules: QueueRules,
    waiting: IndexMap<AttemptId, QueuedAttempt>,
    tiers: IndexMap<u8, TierShare>,
}

/// Scheduling state of one tier.
///
/// Virtual time is the highest charged slot time that a team had when one of its attempts started.
#[derive(Debug, Default)]
struct TierShare {
    floor_permille: u32,
    /// Accumulated by the floor at every start, spent by starts of this tier.
    credit: u32,
    virtual_time_ms: u64,
    /// Slot time charged to each team, in virtual time.
    charged_total_ms: IndexMap<TeamId, u64>,
}

impl TierShare {
    fn charged_total_ms(&self, team: &TeamId) -> u64 {
        self.charged_total_ms.get(team).copied().unwrap_or(self.virtual_time_ms)
    }
}

impl FairQueue {
    pub(crate) fn new(rules: QueueRules) -> Self {
        Self { rules, waiting: IndexMap::new(), tiers: IndexMap::new() }
    }

    /// Applies the tiers of a new document to the queue and the waiting attempts.
    pub(crate) fn apply_document(&mut self, document: &Document) {
        for share in self.tiers.values_mut() {
            share.floor_permille = 0;
        }
        for tier in &document.tiers {
            let share = self.tiers.entry(tier.rank).or_default();
            share.floor_permille = u32::from(tier.floor_permille);
        }
        for waiting in self.waiting.values_mut() {
            if let Some(tier) = document.tier(waiting.tier.as_str()) {
                waiting.rank = tier.rank;
            }
        }
    }

    pub(crate) fn len(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.waiting.keys().copied().collect()
    }

    /// Returns the number of attempts that are ahead of a new one of this rank.
    pub(crate) fn ahead_of(&self, rank: u8) -> u32 {
        self.waiting.values().filter(|waiting| waiting.rank <= rank).count() as u32
    }

    /// Returns the number of waiting attempts by rank, in ascending order and without empty ranks.
    pub(crate) fn waiting_by_rank(&self) -> Vec<TierWaiting> {
        let mut rows: Vec<TierWaiting> = Vec::new();
        for waiting in self.waiting.values() {
            match rows.iter_mut().find(|row| row.rank == waiting.rank) {
                Some(row) => row.requests += 1,
                None => rows.push(TierWaiting { rank: waiting.rank, requests: 1 }),
            }
        }
        rows.sort_by_key(|row| row.rank);
        rows
    }

    /// Returns the attempts whose deadline has passed.
    pub(crate) fn expired(&self, now: Now) -> Vec<AttemptId> {
        let expired = self.waiting.iter().filter(|(_, waiting)| waiting.deadline.is_past(now));
        expired.map(|(attempt, _)| *attempt).collect()
    }

    /// Returns whether another attempt fits into a queue of `capacity` attempts.
    pub(crate) fn find_room(&self, rank: u8, team: &TeamId, capacity: u32) -> Admission {
        if self.len() < capacity {
            return Admission::Free;
        }
        if !self.rules.eviction {
            return Admission::Full;
        }
        let victim = self
            .lower_tier_victim(rank, capacity)
            .or_else(|| self.floor_victim(rank, capacity))
            .or_else(|| self.same_tier_victim(rank, team));
        victim.map_or(Admission::Full, Admission::Evict)
    }

    /// Adds an attempt to the queue.
    pub(crate) fn push(&mut self, attempt: AttemptId, waiting: QueuedAttempt) {
        let share = self.tiers.entry(waiting.rank).or_default();
        // An idle team starts at the tier's virtual time, so that it does not accumulate unused
        // time.
        let charged_total_ms = share.charged_total_ms(&waiting.team).max(share.virtual_time_ms);
        share.charged_total_ms.insert(waiting.team.clone(), charged_total_ms);
        self.waiting.insert(attempt, waiting);
    }

    /// Removes an attempt regardless of its position.
    pub(crate) fn remove(&mut self, attempt: &AttemptId) -> Option<QueuedAttempt> {
        self.waiting.shift_remove(attempt)
    }

    /// Returns the attempt to start next.
    pub(crate) fn next_attempt(&self) -> Option<AttemptId> {
        let rank = self.next_rank()?;
        let share = self.tiers.get(&rank)?;
        let of_rank = self.waiting.iter().filter(|(_, waiting)| waiting.rank == rank);
        let first = of_rank.min_by_key(|(_, waiting)| {
            let charged_total_ms =
                if self.rules.team_fairness { share.charged_total_ms(&waiting.team) } else { 0 };
            (charged_total_ms, waiting.deadline)
        });
        first.map(|(attempt, _)| *attempt)
    }

    /// Charges a start to its team and updates the credits of the tier floors.
    pub(crate) fn charge_start(&mut self, started: &QueuedAttempt, cost_ms: u64) {
        let mut ranks: Vec<u8> = self.waiting_by_rank().iter().map(|row| row.rank).collect();
        if !ranks.contains(&started.rank) {
            ranks.push(started.rank);
        }
        for rank in ranks {
            let share = self.tiers.entry(rank).or_default();
            share.credit = MAX_CREDIT.min(share.credit + share.floor_permille);
        }
        let share = self.tiers.entry(started.rank).or_default();
        share.credit = share.credit.saturating_sub(CREDIT_PER_START);
        let charged_total_ms = share.charged_total_ms(&started.team);
        share.virtual_time_ms = share.virtual_time_ms.max(charged_total_ms);
        share
            .charged_total_ms
            .insert(started.team.clone(), charged_total_ms.saturating_add(cost_ms));
    }

    /// Replaces the estimated charge of a start by the slot time it actually took.
    pub(crate) fn correct_charge(
        &mut self,
        rank: u8,
        team: &TeamId,
        charged_ms: u64,
        actual_ms: u64,
    ) {
        let Some(share) = self.tiers.get_mut(&rank) else { return };
        let Some(charged_total_ms) = share.charged_total_ms.get_mut(team) else { return };
        *charged_total_ms = charged_total_ms.saturating_add(actual_ms).saturating_sub(charged_ms);
    }

    /// Drops idle teams and the credits of empty tiers.
    pub(crate) fn sweep(&mut self) {
        for (rank, share) in &mut self.tiers {
            let of_rank = || self.waiting.values().filter(|waiting| waiting.rank == *rank);
            if of_rank().next().is_none() {
                share.credit = 0;
            }
            let virtual_time_ms = share.virtual_time_ms;
            share.charged_total_ms.retain(|team, charged_total_ms| {
                *charged_total_ms > virtual_time_ms
                    || of_rank().any(|waiting| waiting.team == *team)
            });
        }
    }

    fn next_rank(&self) -> Option<u8> {
        let rows = self.waiting_by_rank();
        let due = |rank: &u8| {
            self.rules.tier_floors
                && self.tiers.get(rank).is_some_and(|share| share.credit >= CREDIT_PER_START)
        };
        let mut ranks = rows.iter().map(|row| row.rank);
        let first = ranks.clone().next();
        ranks.find(due).or(first)
    }

    /// Returns the part of the queue's capacity that a tier's floor reserves.
    fn reserved_capacity(&self, rank: u8, capacity: u32) -> u32 {
        if !self.rules.tier_floors {
            return 0;
        }
        let floor = self.tiers.get(&rank).map_or(0, |share| share.floor_permille);
        (capacity * floor).div_ceil(CREDIT_PER_START)
    }

    fn lower_tier_victim(&self, rank: u8, capacity: u32) -> Option<AttemptId> {
        let rows = self.waiting_by_rank();
        let lowest = rows.iter().rev().find(|row| {
            row.rank > rank && row.requests > self.reserved_capacity(row.rank, capacity)
        })?;
        self.victim_in_rank(lowest.rank)
    }

    /// Returns a victim in another tier for a tier that is below its reserved capacity.
    ///
    /// Without this, a lower tier's floor has no effect under overload: higher tiers fill the
    /// queue, and no attempt of the lower tier is waiting when its share of the starts is due.
    fn floor_victim(&self, rank: u8, capacity: u32) -> Option<AttemptId> {
        let rows = self.waiting_by_rank();
        let own = rows.iter().find(|row| row.rank == rank).map_or(0, |row| row.requests);
        if own >= self.reserved_capacity(rank, capacity) {
            return None;
        }
        let other = rows.iter().rev().find(|row| {
            row.rank != rank && row.requests > self.reserved_capacity(row.rank, capacity)
        })?;
        self.victim_in_rank(other.rank)
    }

    /// Returns a victim of the team with the most waiting attempts in the same tier.
    ///
    /// Without this, a team that fills the queue keeps other teams out of it, however fair the
    /// order of the waiting attempts is.
    fn same_tier_victim(&self, rank: u8, team: &TeamId) -> Option<AttemptId> {
        if !self.rules.team_fairness {
            return None;
        }
        let counts = self.waiting_by_team(rank);
        let largest = counts.values().max().copied()?;
        let own = counts.get(team).copied().unwrap_or(0);
        (largest > own + 1).then(|| self.victim_in_rank(rank)).flatten()
    }

    /// Returns the attempt with the latest deadline of the team with the most waiting attempts in a
    /// rank; the newest one if several are equal.
    fn victim_in_rank(&self, rank: u8) -> Option<AttemptId> {
        let counts = self.waiting_by_team(rank);
        let of_rank = self.waiting.iter().filter(|(_, waiting)| waiting.rank == rank);
        let last = of_rank.max_by_key(|(_, waiting)| {
            let count = counts.get(&waiting.team).copied().unwrap_or(0);
            (count, waiting.deadline)
        });
        last.map(|(attempt, _)| *attempt)
    }

    fn waiting_by_team(&self, rank: u8) -> IndexMap<&TeamId, u32> {
        let mut counts = IndexMap::new();
        for waiting in self.waiting.values().filter(|waiting| waiting.rank == rank) {
            *counts.entry(&waiting.team).or_insert(0) += 1;
        }
        counts
    }
}
