//! When a leader asks whom.
//!
//! In a small group the leader asks each agent. In a large one the answers would be more than a small
//! machine's link takes: 129 ranks with 4,128 counts each tell 930 KB a second when they are asked every
//! 0.26 s, and 6 Mbit/s carry 750. Statuses were lost then, and with them the sign that a leader lives.
//! So the machines of a failure domain are asked in sections; one agent of each collects the others'
//! statuses and tells the sum of their counts.

use crate::direct::BootMs;
use indexmap::IndexMap;
use std::net::IpAddr;

/// Time in which all sections are asked once while nothing is under way. A shift of demand is seen by the
/// first two rounds after it.
const ROUND_MS: u64 = 100;

/// Counts that all answers of a round tell in a millisecond, at most: at 0.46 bytes each, deflated, they
/// take half of a link of 6 Mbit/s. In a very large group a round takes longer for it.
const COUNTS_PER_MS: usize = 750;

/// Time in which all sections are asked once during a change, when the end of copies counts.
const BUSY_ROUND_MS: u64 = 60;

/// Rounds during a change of which one asks a large group for counts: half of the link is full of maps
/// meanwhile. Without any, the first estimate after the change would be of the time before.
const BUSY_ROUNDS_PER_COUNTS: u64 = 2;

/// Counts that all agents together tell in a round, up to which the leader asks each itself. At half a
/// byte each they take a third of a link of 6 Mbit/s.
const MOST_COUNTS_AT_ONCE: usize = 50_000;

/// Machines of the agents of a group, in sections that are asked together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections {
    sections: Vec<Vec<IpAddr>>,
    counts_per_rank: usize,
    is_large: bool,
}

impl Sections {
    /// Divides `machines`, given with their failure domains, into sections. `counts_per_rank` is how many
    /// numbers one agent tells.
    ///
    /// A section stays within its failure domain, and has about as many machines as there are sections:
    /// then the collecting agents hear as much as the leader.
    #[must_use]
    pub fn of(machines: &[(String, IpAddr)], counts_per_rank: usize) -> Self {
        let mut domains: IndexMap<&str, Vec<IpAddr>> = IndexMap::new();
        for (domain, machine) in machines {
            domains.entry(domain).or_default().push(*machine);
        }
        domains.sort_unstable_keys();
        let is_large = machines.len() * counts_per_rank > MOST_COUNTS_AT_ONCE;
        let most = if is_large { machines.len().isqrt() + 2 } else { 1 };
        let mut sections = Vec::new();
        for machines in domains.values_mut() {
            machines.sort_unstable();
            machines.dedup();
            let count = machines.len().div_ceil(most);
            let length = machines.len().div_ceil(count.max(1)).max(1);
            sections.extend(machines.chunks(length).map(<[IpAddr]>::to_vec));
        }
        Self { sections, counts_per_rank, is_large }
    }

    /// The same sections, when no counts are asked for.
    #[must_use]
    pub fn without_counts(self) -> Self {
        Self { counts_per_rank: 0, ..self }
    }

    /// How many sections there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sections.len()
    }

    /// Whether there is nobody to ask.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }
}

/// A section that is to be asked now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionPoll {
    /// Which section; its parity tells halves of the group apart in the demand.
    pub section: u16,
    /// The machine whose agent is asked.
    pub collector: IpAddr,
    /// Machines whose agents it asks in turn.
    pub others: Vec<IpAddr>,
}

/// Asks sections by turns, spread over time: answers that all come at once would fill the link of a
/// small machine, and a full link loses datagrams.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    next: usize,
    rounds: u64,
    polled_until: BootMs,
}

impl PollSchedule {
    /// Whether counts are asked for.
    #[must_use]
    pub const fn wants_counts(&self, sections: &Sections, is_busy: bool) -> bool {
        !is_busy || !sections.is_large || self.rounds.is_multiple_of(BUSY_ROUNDS_PER_COUNTS)
    }

    /// Has all sections asked at the next look.
    pub const fn poll_all_next(&mut self) {
        self.polled_until = BootMs(0);
    }

    /// Sections to be asked now.
    ///
    /// Each round another agent collects, so that one that is gone hides its section for one round only.
    pub fn due(&mut self, now: BootMs, sections: &Sections, is_busy: bool) -> Vec<SectionPoll> {
        let count = sections.len() as u64;
        let round_ms = round_ms(sections, is_busy);
        let passed_ms = now.since(self.polled_until);
        let due = (passed_ms * count / round_ms).min(count);
        if due == 0 {
            return Vec::new();
        }
        // What is less than a section's share of the round is left for the next look.
        self.polled_until = now.before(passed_ms.min(round_ms) - due * round_ms / count);
        (0..due).map(|_| self.ask(sections)).collect()
    }

    fn ask(&mut self, sections: &Sections) -> SectionPoll {
        let index = self.next % sections.len();
        let machines = &sections.sections[index];
        let turn = self.rounds as usize % machines.len();
        self.next = index + 1;
        if self.next == sections.len() {
            self.next = 0;
            self.rounds += 1;
        }
        let others = machines[turn + 1..].iter().chain(&machines[..turn]);
        let section = u16::try_from(index).unwrap_or(u16::MAX);
        SectionPoll { section, collector: machines[turn], others: others.copied().collect() }
    }
}

fn round_ms(sections: &Sections, is_busy: bool) -> u64 {
    let counts = sections.len() * sections.counts_per_rank;
    let counts_ms = (counts / COUNTS_PER_MS) as u64;
    if is_busy {
        BUSY_ROUND_MS.max(counts_ms / BUSY_ROUNDS_PER_COUNTS)
    } else {
        ROUND_MS.max(counts_ms)
    }
}
