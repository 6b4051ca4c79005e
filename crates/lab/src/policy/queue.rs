//! The queue beside a fake backend server.

use super::fleet::{QUEUE_SLOTS, TEAMS, TIERS};
use hickorycross_core::message::TierWaiting;

/// One attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Attempt {
    /// Index of the request.
    pub(crate) request: usize,
    /// Counts the tries of the request from 0.
    pub(crate) ordinal: u16,
    /// Entry that sent it.
    pub(crate) entry: usize,
    pub(crate) team: usize,
    pub(crate) rank: u8,
    pub(crate) deadline_ms: u64,
    pub(crate) service_ms: f64,
}

/// In which order attempts begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// As they came.
    Fcfs,
    /// By tier, fair between the teams of a tier, then by deadline; floors of low tiers are kept.
    Tiered,
}

/// What became of an offered attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Offered {
    /// It waits.
    Queued,
    /// It waits, and this one had to go.
    Evicted(Attempt),
    /// The queue is full.
    Full,
}

/// Attempts that wait.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    order: Order,
    waiting: Vec<Attempt>,
    starts: u64,
    last_start_of_team: [u64; TEAMS.len()],
    floor_credit: [f64; TIERS.len()],
}

impl Queue {
    /// An empty queue.
    pub(crate) const fn new(order: Order) -> Self {
        Self {
            order,
            waiting: Vec::new(),
            starts: 0,
            last_start_of_team: [0; TEAMS.len()],
            floor_credit: [0.0; TIERS.len()],
        }
    }

    /// Adds an attempt if there is place, at the cost of a lower tier if need be.
    pub(crate) fn offer(&mut self, attempt: Attempt) -> Offered {
        if self.waiting.len() < QUEUE_SLOTS as usize {
            self.waiting.push(attempt);
            return Offered::Queued;
        }
        if self.order == Order::Fcfs {
            return Offered::Full;
        }
        let lowest = (0..self.waiting.len())
            .max_by_key(|&index| (self.waiting[index].rank, self.waiting[index].deadline_ms));
        match lowest {
            Some(index) if self.waiting[index].rank > attempt.rank => {
                let evicted = std::mem::replace(&mut self.waiting[index], attempt);
                Offered::Evicted(evicted)
            }
            _ => Offered::Full,
        }
    }

    /// Takes out what can no longer begin in time.
    pub(crate) fn take_expired(&mut self, now_ms: u64) -> Vec<Attempt> {
        self.waiting.extract_if(.., |attempt| attempt.deadline_ms <= now_ms).collect()
    }

    /// Takes out everything.
    pub(crate) fn take_all(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.waiting)
    }

    /// Takes out the attempt that begins next.
    pub(crate) fn next(&mut self) -> Option<Attempt> {
        let index = match self.order {
            Order::Fcfs => (!self.waiting.is_empty()).then_some(0),
            Order::Tiered => self.next_tiered(),
        }?;
        let attempt = self.waiting.remove(index);
        self.starts += 1;
        self.last_start_of_team[attempt.team] = self.starts;
        Some(attempt)
    }

    /// Waiting attempts by tier.
    pub(crate) fn waiting(&self) -> Vec<TierWaiting> {
        (0..TIERS.len() as u8)
            .map(|rank| TierWaiting { rank, requests: self.count(rank) })
            .filter(|tier| tier.requests > 0)
            .collect()
    }

    fn count(&self, rank: u8) -> u32 {
        self.waiting.iter().filter(|attempt| attempt.rank == rank).count() as u32
    }

    fn next_tiered(&mut self) -> Option<usize> {
        let rank = self.next_rank()?;
        (0..self.waiting.len()).filter(|&index| self.waiting[index].rank == rank).min_by_key(
            |&index| {
                let attempt = &self.waiting[index];
                (self.last_start_of_team[attempt.team], attempt.deadline_ms)
            },
        )
    }

    /// The highest tier that waits, unless a lower one has been passed over so often that its
    /// floor is due.
    fn next_rank(&mut self) -> Option<u8> {
        let highest = self.waiting.iter().map(|attempt| attempt.rank).min()?;
        for rank in (0..TIERS.len()).rev() {
            if self.count(rank as u8) == 0 || rank as u8 == highest {
                continue;
            }
            self.floor_credit[rank] += f64::from(TIERS[rank].floor_permille) / 1000.0;
            if self.floor_credit[rank] >= 1.0 {
                self.floor_credit[rank] -= 1.0;
                return Some(rank as u8);
            }
        }
        Some(highest)
    }
}
