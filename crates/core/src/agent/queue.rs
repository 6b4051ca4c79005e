//! Order of the attempts that wait for a slot.
//!
//! By rank of the tier; within a tier the team that has had the least slot time goes first; within
//! a team the earliest deadline. Tiers with a floor get their share of the starts and of the
//! places even while higher tiers would fill all of them.
//!
//! A plain order by deadline would let a team that sends a hundred times more than its peers take
//! nearly every slot; one would see the others' requests expire in the queue. Each team is
//! therefore charged the slot time that it used, and the least charged one goes first.

use crate::ids::AttemptId;
use crate::message::TierWaiting;
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, TeamId, TierId};
use indexmap::IndexMap;

const FULL_CREDIT: u32 = 1_000;
const CREDIT_CAP: u32 = 2 * FULL_CREDIT;

/// One waiting attempt.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) tier: TierId,
    pub(crate) rank: u8,
    pub(crate) team: TeamId,
    pub(crate) deadline: UnixMs,
}

/// Whether there is a place for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// There is.
    Free,
    /// There will be, once this attempt has been handed back.
    Evict(AttemptId),
    /// There is none.
    Full,
}

/// Which of the queue's rules are in force.
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
    waiting: IndexMap<AttemptId, Waiting>,
    tiers: IndexMap<u8, TierShare>,
}

#[derive(Debug, Default)]
struct TierShare {
    floor_permille: u32,
    credit: u32,
    clock_ms: u64,
    used_ms: IndexMap<TeamId, u64>,
}

impl TierShare {
    fn used_ms(&self, team: &TeamId) -> u64 {
        self.used_ms.get(team).copied().unwrap_or(self.clock_ms)
    }
}

impl FairQueue {
    pub(crate) fn new(rules: QueueRules) -> Self {
        Self { rules, waiting: IndexMap::new(), tiers: IndexMap::new() }
    }

    /// Follows the tiers of another document.
    pub(crate) fn adopt(&mut self, document: &Document) {
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

    /// Attempts that would go before a new one of a rank.
    pub(crate) fn ahead_of(&self, rank: u8) -> u32 {
        self.waiting.values().filter(|waiting| waiting.rank <= rank).count() as u32
    }

    /// Waiting attempts by rank, only ranks with any, in order.
    pub(crate) fn by_rank(&self) -> Vec<TierWaiting> {
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

    /// Attempts whose deadline has passed.
    pub(crate) fn expired(&self, now: Now) -> Vec<AttemptId> {
        let expired = self.waiting.iter().filter(|(_, waiting)| waiting.deadline.is_past(now));
        expired.map(|(attempt, _)| *attempt).collect()
    }

    /// Looks for a place for another attempt among `places`.
    pub(crate) fn place(&self, rank: u8, team: &TeamId, places: u32) -> Place {
        if self.len() < places {
            return Place::Free;
        }
        if !self.rules.eviction {
            return Place::Full;
        }
        let victim = self
            .lower_tier_victim(rank, places)
            .or_else(|| self.floor_victim(rank, places))
            .or_else(|| self.same_tier_victim(rank, team));
        victim.map_or(Place::Full, Place::Evict)
    }

    /// Adds an attempt.
    pub(crate) fn push(&mut self, attempt: AttemptId, waiting: Waiting) {
        let share = self.tiers.entry(waiting.rank).or_default();
        // A team that was idle starts at the tier's clock: the time it did not use is not saved up.
        let used_ms = share.used_ms(&waiting.team).max(share.clock_ms);
        share.used_ms.insert(waiting.team.clone(), used_ms);
        self.waiting.insert(attempt, waiting);
    }

    /// Takes an attempt out, whatever its turn.
    pub(crate) fn remove(&mut self, attempt: &AttemptId) -> Option<Waiting> {
        self.waiting.shift_remove(attempt)
    }

    /// The attempt whose turn it is.
    pub(crate) fn next(&self) -> Option<AttemptId> {
        let rank = self.next_rank()?;
        let share = self.tiers.get(&rank)?;
        let of_rank = self.waiting.iter().filter(|(_, waiting)| waiting.rank == rank);
        let first = of_rank.min_by_key(|(_, waiting)| {
            let used_ms = if self.rules.team_fairness { share.used_ms(&waiting.team) } else { 0 };
            (used_ms, waiting.deadline)
        });
        first.map(|(attempt, _)| *attempt)
    }

    /// Charges a start and moves the floors' credits.
    pub(crate) fn charge_start(&mut self, started: &Waiting, cost_ms: u64) {
        let mut ranks: Vec<u8> = self.by_rank().iter().map(|row| row.rank).collect();
        if !ranks.contains(&started.rank) {
            ranks.push(started.rank);
        }
        for rank in ranks {
            let share = self.tiers.entry(rank).or_default();
            share.credit = CREDIT_CAP.min(share.credit + share.floor_permille);
        }
        let share = self.tiers.entry(started.rank).or_default();
        share.credit = share.credit.saturating_sub(FULL_CREDIT);
        let used_ms = share.used_ms(&started.team);
        share.clock_ms = share.clock_ms.max(used_ms);
        share.used_ms.insert(started.team.clone(), used_ms.saturating_add(cost_ms));
    }

    /// Replaces the charge of a start by the slot time that it took.
    pub(crate) fn settle(&mut self, rank: u8, team: &TeamId, charged_ms: u64, actual_ms: u64) {
        let Some(share) = self.tiers.get_mut(&rank) else { return };
        let Some(used_ms) = share.used_ms.get_mut(team) else { return };
        *used_ms = used_ms.saturating_add(actual_ms).saturating_sub(charged_ms);
    }

    /// Forgets idle teams and unused credits.
    pub(crate) fn sweep(&mut self) {
        for (rank, share) in &mut self.tiers {
            let of_rank = || self.waiting.values().filter(|waiting| waiting.rank == *rank);
            if of_rank().next().is_none() {
                share.credit = 0;
            }
            let clock_ms = share.clock_ms;
            share.used_ms.retain(|team, used_ms| {
                *used_ms > clock_ms || of_rank().any(|waiting| waiting.team == *team)
            });
        }
    }

    fn next_rank(&self) -> Option<u8> {
        let rows = self.by_rank();
        let due = |rank: &u8| {
            self.rules.tier_floors
                && self.tiers.get(rank).is_some_and(|share| share.credit >= FULL_CREDIT)
        };
        let mut ranks = rows.iter().map(|row| row.rank);
        let first = ranks.clone().next();
        ranks.find(due).or(first)
    }

    /// Places of a full queue that a tier keeps.
    fn kept_places(&self, rank: u8, places: u32) -> u32 {
        if !self.rules.tier_floors {
            return 0;
        }
        let floor = self.tiers.get(&rank).map_or(0, |share| share.floor_permille);
        (places * floor).div_ceil(FULL_CREDIT)
    }

    fn lower_tier_victim(&self, rank: u8, places: u32) -> Option<AttemptId> {
        let rows = self.by_rank();
        let lowest = rows
            .iter()
            .rev()
            .find(|row| row.rank > rank && row.requests > self.kept_places(row.rank, places))?;
        self.victim_of(lowest.rank)
    }

    /// Without this, a lower tier's floor would be void: under strain the queue is full of higher
    /// tiers and nothing of the lower one ever waits for its share of the starts.
    fn floor_victim(&self, rank: u8, places: u32) -> Option<AttemptId> {
        let rows = self.by_rank();
        let own = rows.iter().find(|row| row.rank == rank).map_or(0, |row| row.requests);
        if own >= self.kept_places(rank, places) {
            return None;
        }
        let other = rows
            .iter()
            .rev()
            .find(|row| row.rank != rank && row.requests > self.kept_places(row.rank, places))?;
        self.victim_of(other.rank)
    }

    /// Without this, a team that fills the queue keeps its peers out of it, however fair the order
    /// of those that wait.
    fn same_tier_victim(&self, rank: u8, team: &TeamId) -> Option<AttemptId> {
        if !self.rules.team_fairness {
            return None;
        }
        let counts = self.teams_of(rank);
        let largest = counts.values().max().copied()?;
        let own = counts.get(team).copied().unwrap_or(0);
        (largest > own + 1).then(|| self.victim_of(rank)).flatten()
    }

    /// The latest deadline of the team that waits with the most attempts; of equals the newest.
    fn victim_of(&self, rank: u8) -> Option<AttemptId> {
        let counts = self.teams_of(rank);
        let of_rank = self.waiting.iter().filter(|(_, waiting)| waiting.rank == rank);
        let last = of_rank.max_by_key(|(_, waiting)| {
            let count = counts.get(&waiting.team).copied().unwrap_or(0);
            (count, waiting.deadline)
        });
        last.map(|(attempt, _)| *attempt)
    }

    fn teams_of(&self, rank: u8) -> IndexMap<&TeamId, u32> {
        let mut counts = IndexMap::new();
        for waiting in self.waiting.values().filter(|waiting| waiting.rank == rank) {
            *counts.entry(&waiting.team).or_insert(0) += 1;
        }
        counts
    }
}
