//! Decides when a leader polls which agents.
//!
//! In a small group the leader polls each agent. In a large group the answers would exceed the link
//! of a small instance: 129 ranks with 4,128 counts each send 930 KB/s when polled every 0.26 s,
//! and a link of 6 Mbit/s carries 750 KB/s. Lost statuses also hide that the leader is alive. The
//! instances of a failure domain are therefore polled in sections: one agent of a section collects
//! the statuses of the others and sends the sum of their counts.

use crate::direct::BootMs;
use indexmap::IndexMap;
use std::net::IpAddr;

/// Time in which all sections are polled once while no change is in progress. The first two rounds
/// after a shift of demand show it.
const ROUND_MS: u64 = 100;

/// Most counts per millisecond in the answers of a round. At 0.46 bytes each, compressed, they take
/// half of a link of 6 Mbit/s. A round takes longer in a very large group to stay below this rate.
const MAX_COUNTS_PER_MS: usize = 750;

/// Time in which all sections are polled once during a change, when the leader waits for the copies
/// to complete.
const BUSY_ROUND_MS: u64 = 60;

/// Number of rounds during a change of which one asks a large group for counts, because maps take
/// half of the link meanwhile. Without any counts, the first estimate after the change would
/// describe the demand before it.
const BUSY_ROUNDS_PER_COUNTS: u64 = 2;

/// Most counts of all agents in a round up to which the leader polls each agent itself. At half a
/// byte each they take a third of a link of 6 Mbit/s.
const MAX_DIRECT_COUNTS: usize = 50_000;

/// Instances of the agents of a group, divided into sections that are polled together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections {
    sections: Vec<Vec<IpAddr>>,
    counts_per_rank: usize,
    is_large: bool,
}

impl Sections {
    /// Divides `machines`, given with their failure domains, into sections. `counts_per_rank` is
    /// the number of counts that one agent sends.
    ///
    /// A section stays within its failure domain. In a large group it has about as many instances
    /// as there are sections, so that a collecting agent receives about as much as the leader.
    #[must_use]
    pub fn of(machines: &[(String, IpAddr)], counts_per_rank: usize) -> Self {
        let mut domains: IndexMap<&str, Vec<IpAddr>> = IndexMap::new();
        for (domain, machine) in machines {
            domains.entry(domain).or_default().push(*machine);
        }
        domains.sort_unstable_keys();
        let is_large = machines.len() * counts_per_rank > MAX_DIRECT_COUNTS;
        let max_len = if is_large { machines.len().isqrt() + 2 } else { 1 };
        let mut sections = Vec::new();
        for machines in domains.values_mut() {
            machines.sort_unstable();
            machines.dedup();
            let count = machines.len().div_ceil(max_len);
            let length = machines.len().div_ceil(count.max(1)).max(1);
            sections.extend(machines.chunks(length).map(<[IpAddr]>::to_vec));
        }
        Self { sections, counts_per_rank, is_large }
    }

    /// Returns the same sections for polls that do not ask for counts.
    #[must_use]
    pub fn without_counts(self) -> Self {
        Self { counts_per_rank: 0, ..self }
    }

    /// Returns the number of sections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sections.len()
    }

    /// Returns the time in milliseconds in which all sections are polled once while no change is in
    /// progress.
    #[must_use]
    pub fn round_ms(&self) -> u64 {
        round_ms(self, false)
    }

    /// Returns whether there is no instance to poll.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }
}

/// A section to poll now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionPoll {
    /// Number of the section. Sections with even and odd numbers form the two halves of a demand
    /// estimate.
    pub section: u16,
    /// Instance of the agent to poll.
    pub collector: IpAddr,
    /// Instances whose agents the collector polls in turn.
    pub others: Vec<IpAddr>,
}

/// Schedules polls of all sections in rotation, spread over time. Answers that arrive all at once
/// would fill the link of a small instance, which then loses datagrams.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    next: usize,
    rounds: u64,
    polled_until: BootMs,
}

impl PollSchedule {
    /// Returns whether the polls of this round ask for counts.
    #[must_use]
    pub const fn wants_counts(&self, sections: &Sections, is_busy: bool) -> bool {
        !is_busy || !sections.is_large || self.rounds.is_multiple_of(BUSY_ROUNDS_PER_COUNTS)
    }

    /// Makes all sections due at the next call of [`due`](Self::due).
    pub const fn poll_all_next(&mut self) {
        self.polled_until = BootMs(0);
    }

    /// Returns the sections to poll now.
    ///
    /// Another agent of the section collects in each round, so that a failed agent hides its
    /// section for one round only.
    pub fn due(&mut self, now: BootMs, sections: &Sections, is_busy: bool) -> Vec<SectionPoll> {
        let count = sections.len() as u64;
        let round_ms = round_ms(sections, is_busy);
        let passed_ms = now.since(self.polled_until);
        let due = (passed_ms * count / round_ms).min(count);
        if due == 0 {
            return Vec::new();
        }
        // The remainder, less than the share of one section, carries over to the next call.
        self.polled_until = now.before(passed_ms.min(round_ms) - due * round_ms / count);
        (0..due).map(|_| self.next_section(sections)).collect()
    }

    fn next_section(&mut self, sections: &Sections) -> SectionPoll {
        let index = self.next % sections.len();
        let machines = &sections.sections[index];
        let collector_index = self.rounds as usize % machines.len();
        self.next = index + 1;
        if self.next == sections.len() {
            self.next = 0;
            self.rounds += 1;
        }
        let others = machines[collector_index + 1..].iter().chain(&machines[..collector_index]);
        let section = u16::try_from(index).unwrap_or(u16::MAX);
        SectionPoll {
            section,
            collector: machines[collector_index],
            others: others.copied().collect(),
        }
    }
}

fn round_ms(sections: &Sections, is_busy: bool) -> u64 {
    let counts = sections.len() * sections.counts_per_rank;
    let counts_ms = (counts / MAX_COUNTS_PER_MS) as u64;
    if is_busy {
        BUSY_ROUND_MS.max(counts_ms / BUSY_ROUNDS_PER_COUNTS)
    } else {
        ROUND_MS.max(counts_ms)
    }
}
