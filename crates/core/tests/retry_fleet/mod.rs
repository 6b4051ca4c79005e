//! Simulates the entries of a fleet whose requests all fail, each of which is sent again as often as
//! the retry budget allows.

use hickorycross_core::direct::{
    BootMs, COUNTING_MS, EntryCount, FleetRetryBudget, PeerTable, RetryBudget, RetryShare,
};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

pub(crate) const BUDGET: FleetRetryBudget =
    FleetRetryBudget { window_ms: 10_000, ratio: 0.2, slack: 88.0 };

const SERVICE: &str = "svc";
const TICK_MS: u64 = 50;
const BEGIN: BootMs = BootMs(1_000_000);
/// Time for which an entry that restarts is away.
const DOWN_MS: u64 = 200;
/// Number of entries that are in the settings of all.
const SEEDS: usize = 3;
/// Number of members in an answer of an entry.
const MEMBERS: usize = 64;
/// Intervals between two questions of an entry, right after its start and later.
const FIRST_INTERVAL_MS: u64 = 400;
const INTERVAL_MS: u64 = 2_000;
const FIRST_QUESTIONS: u32 = 3;
/// Interval at which an entry recomputes its share.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Entries that restart in series.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restarts {
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
    pub(crate) every_ms: u64,
    /// Share of the entries, drawn each time.
    pub(crate) share: f64,
}

/// The load on a fleet, and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) entries: usize,
    /// Requests to all entries together, before and after `busy_from_ms`.
    pub(crate) idle_requests_per_s: f64,
    pub(crate) busy_requests_per_s: f64,
    pub(crate) busy_from_ms: u64,
    pub(crate) end_ms: u64,
    pub(crate) restarts: Option<Restarts>,
    /// How many entries join, and when.
    pub(crate) joins: Option<(usize, u64)>,
    /// How many entries leave for good, and when.
    pub(crate) leaves: Option<(usize, u64)>,
    /// From when on no entry reaches another one.
    pub(crate) cut_from_ms: Option<u64>,
    pub(crate) seed: u64,
}

impl Setup {
    /// Returns a calm fleet with an even load.
    pub(crate) fn calm(entries: usize, requests_per_s: f64) -> Self {
        Self {
            entries,
            idle_requests_per_s: requests_per_s,
            busy_requests_per_s: requests_per_s,
            busy_from_ms: 0,
            end_ms: 60_000,
            restarts: None,
            joins: None,
            leaves: None,
            cut_from_ms: None,
            seed: 1,
        }
    }
}

/// Requests and retries of all entries, by tick.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    requests: Vec<u32>,
    retries: Vec<u32>,
}

impl Outcome {
    fn sum(counts: &[u32], from: usize, ticks: usize) -> f64 {
        let until = (from + ticks).min(counts.len());
        f64::from(counts[from.min(until)..until].iter().sum::<u32>())
    }

    /// Returns by how much the retries of a window exceed the budget in the worst case. The requests
    /// are those of the window, of the one before it or of the one half a window before it.
    pub(crate) fn worst_excess(&self) -> f64 {
        let ticks = (BUDGET.window_ms / TICK_MS) as usize;
        let excess = |from: usize| {
            let begins = [Some(from), from.checked_sub(ticks), from.checked_sub(ticks / 2)];
            let requests = begins.into_iter().flatten();
            let requests = requests.map(|begin| Self::sum(&self.requests, begin, ticks));
            let requests = requests.fold(0.0, f64::max);
            Self::sum(&self.retries, from, ticks) - (BUDGET.ratio * requests + BUDGET.slack)
        };
        (0..self.requests.len()).map(excess).fold(f64::MIN, f64::max)
    }

    /// Returns the retries from `from_ms` to `until_ms` as a share of the requests.
    pub(crate) fn retry_share(&self, from_ms: u64, until_ms: u64) -> f64 {
        let from = (from_ms / TICK_MS) as usize;
        let ticks = ((until_ms - from_ms) / TICK_MS) as usize;
        let requests = Self::sum(&self.requests, from, ticks);
        Self::sum(&self.retries, from, ticks) / requests.max(1.0)
    }
}

struct Entry {
    own: SocketAddr,
    peers: PeerTable,
    count: EntryCount,
    knows_entries: bool,
    share: RetryShare,
    budget: RetryBudget,
    up_at: BootMs,
    questions: u32,
    ask_at: BootMs,
    update_at: BootMs,
    has_left: bool,
}

impl Entry {
    fn start(index: usize, up_at: BootMs, random: &mut ChaCha8Rng) -> Self {
        let own = address(index);
        let share = RetryShare::new(up_at);
        Self {
            own,
            peers: PeerTable::new(&seeds(), Some(own)),
            count: EntryCount::default(),
            knows_entries: false,
            budget: RetryBudget::new(share.settings(BUDGET, up_at))
                .with_rounding(random.random::<f64>()),
            share,
            up_at,
            questions: 0,
            ask_at: up_at,
            update_at: up_at,
            has_left: false,
        }
    }

    fn is_up(&self, now: BootMs) -> bool {
        !self.has_left && now >= self.up_at
    }

    fn update(&mut self, now: BootMs) {
        self.count.note(self.peers.live_count(now) + 1, now, now);
        self.share.set_entries(self.knows_entries.then(|| self.count.entries()));
        self.budget.set(self.share.settings(BUDGET, now));
    }

    fn note_member(&mut self, member: SocketAddr, seen_at: BootMs, now: BootMs) {
        if self.peers.note(member, seen_at) {
            self.update(now);
        }
    }
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = index.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 8_229))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn seeds() -> Vec<SocketAddr> {
    (0..SEEDS).map(address).collect()
}

struct Fleet {
    setup: Setup,
    entries: Vec<Entry>,
    random: ChaCha8Rng,
    now: BootMs,
}

/// Plays a fleet.
pub(crate) fn play(setup: Setup) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
    // All start within 0.3 s of each other.
    let start = |index| {
        let up_at = BEGIN.after(random.random_range(0..300));
        Entry::start(index, up_at, &mut random)
    };
    let entries = (0..setup.entries).map(start).collect();
    let mut fleet = Fleet { entries, random, now: BEGIN, setup };
    fleet.run()
}

impl Fleet {
    fn run(&mut self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut due = 0.0;
        for elapsed_ms in (0..self.setup.end_ms).step_by(TICK_MS as usize) {
            self.now = BEGIN.after(elapsed_ms);
            self.change_members(elapsed_ms);
            self.exchange(elapsed_ms);
            let is_busy = elapsed_ms >= self.setup.busy_from_ms;
            let Setup { idle_requests_per_s, busy_requests_per_s, .. } = self.setup;
            let rate = if is_busy { busy_requests_per_s } else { idle_requests_per_s };
            due += rate * TICK_MS as f64 / 1_000.0;
            let requests = due as u32;
            due -= f64::from(requests);
            let retries = (0..requests).map(|_| self.request()).sum();
            outcome.requests.push(requests);
            outcome.retries.push(retries);
        }
        outcome
    }

    fn change_members(&mut self, elapsed_ms: u64) {
        if let Some(restarts) = self.setup.restarts
            && (restarts.from_ms..restarts.until_ms).contains(&elapsed_ms)
            && (elapsed_ms - restarts.from_ms).is_multiple_of(restarts.every_ms)
        {
            for index in 0..self.entries.len() {
                if self.entries[index].is_up(self.now) && self.random.random_bool(restarts.share) {
                    self.entries[index] =
                        Entry::start(index, self.now.after(DOWN_MS), &mut self.random);
                }
            }
        }
        if let Some((count, at_ms)) = self.setup.joins
            && at_ms == elapsed_ms
        {
            let first = self.entries.len();
            let (now, random) = (self.now, &mut self.random);
            let joining = (first..first + count).map(|index| Entry::start(index, now, random));
            self.entries.extend(joining);
        }
        if let Some((count, at_ms)) = self.setup.leaves
            && at_ms == elapsed_ms
        {
            self.entries.iter_mut().rev().take(count).for_each(|entry| entry.has_left = true);
        }
    }

    /// Lets entries ask each other: at the start all that they know, then one at a time.
    fn exchange(&mut self, elapsed_ms: u64) {
        let is_cut = self.setup.cut_from_ms.is_some_and(|from_ms| elapsed_ms >= from_ms);
        for asker in 0..self.entries.len() {
            let now = self.now;
            let entry = &mut self.entries[asker];
            if !entry.is_up(now) {
                continue;
            }
            if now >= entry.update_at {
                entry.update_at = now.after(UPDATE_INTERVAL_MS);
                entry.peers.expire(now);
                entry.update(now);
            }
            if now < entry.ask_at {
                continue;
            }
            let asked = if entry.questions == 0 {
                entry.peers.candidates()
            } else {
                entry.peers.random_peer(&mut self.random).into_iter().collect()
            };
            let is_first = entry.questions < FIRST_QUESTIONS;
            entry.questions += 1;
            entry.ask_at = now.after(if is_first { FIRST_INTERVAL_MS } else { INTERVAL_MS });
            for peer in asked {
                if !is_cut {
                    self.ask(asker, index(peer));
                }
            }
        }
    }

    fn ask(&mut self, asker: usize, asked: usize) {
        let now = self.now;
        let is_up = self.entries.get(asked).is_some_and(|entry| entry.is_up(now));
        if !is_up {
            return;
        }
        let own = self.entries[asker].own;
        self.entries[asked].note_member(own, now, now);
        let members = self.entries[asked].peers.most_recent(MEMBERS);
        let count = self.entries[asked].count.report(now);
        let entry = &mut self.entries[asker];
        entry.count.note_report(count, now, now);
        entry.knows_entries |= now.since(entry.up_at) >= COUNTING_MS;
        entry.note_member(address(asked), now, now);
        for member in members {
            self.entries[asker].note_member(member.address, member.last_seen_at, now);
        }
    }

    /// Lets a request arrive at a random entry that is up, and returns how often it is sent again.
    fn request(&mut self) -> u32 {
        let now = self.now;
        let up = self.entries.iter_mut().filter(|entry| entry.is_up(now));
        let Some(entry) = up.choose(&mut self.random) else { return 0 };
        entry.budget.note_first_send(now, SERVICE);
        let mut retries = 0;
        while entry.budget.try_spend(now, SERVICE) {
            retries += 1;
        }
        retries
    }
}
