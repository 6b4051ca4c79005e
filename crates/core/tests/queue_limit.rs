//! Simulates entries that limit only how many of their streams wait at the ranks of a group, and
//! checks the wait, the use of the slots and the part of each entry.
//!
//! All ranks run each pass together. A stream waits until its first event, which comes one pass
//! after the one that begins it.

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, QueueLimit, QueueTarget};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::sync::LazyLock;

const TICK_MS: u64 = 10;
const START_MS: u64 = 10_000;
const PASS_MS: u64 = 100;
const SLOTS: u32 = 12;
const BEGUN_PER_PASS: usize = 2;
/// Events of a stream: between these, evenly.
const EVENTS: std::ops::RangeInclusive<u32> = 8..=40;
const MEAN_EVENTS: f64 = 24.0;
const TARGET_MS: u64 = 500;
/// Share of the target for which streams may wait in the mean.
const WAIT_SHARE: f64 = 0.6;
/// Streams that may wait in addition at each rank.
const SLACK_PER_RANK: f64 = 0.5;
/// Share of what the ranks could begin that must begin.
const MIN_USE: f64 = 0.9;
/// Largest ratio of the streams that two entries with equal demand begin.
const MAX_RATIO: u64 = 2;
/// Time for which a request waits at its entry before it is refused.
const ENTRY_WAIT_MS: u64 = TARGET_MS;
/// Longest time over which entries measure the rate at which streams begin. After a change, the
/// limit has settled by then.
const SETTLING_MS: u64 = 10_000;
const PHASE_MS: u64 = 110_000;
/// Part of the entries with more demand, as a divisor, and how many times as much.
const HEAVY_DIVISOR: usize = 4;
const HEAVY_WEIGHT: f64 = 3.0;
const SERVICE: &str = "model";
const SEEDS: u64 = 8;

#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    ranks: usize,
}

const FLEETS: &[Fleet] = &[
    Fleet { entries: 1, ranks: 12 },
    Fleet { entries: 4, ranks: 14 },
    Fleet { entries: 12, ranks: 16 },
    Fleet { entries: 35, ranks: 129 },
    Fleet { entries: 400, ranks: 32 },
];

/// Which entries run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Running {
    All,
    FirstHalf,
    AllButLast,
}

impl Running {
    fn count(self, entries: usize) -> usize {
        match self {
            Self::All => entries,
            Self::FirstHalf => entries.div_ceil(2),
            Self::AllButLast => (entries - 1).max(1),
        }
    }
}

/// A time of constant demand and capacity.
#[derive(Clone, Copy, Debug)]
struct Phase {
    /// Demand, as a multiple of what the ranks can begin at their usual pace.
    demand: f64,
    pass_ms: u64,
    running: Running,
}

const FULL: Phase = Phase { demand: 1.8, pass_ms: PASS_MS, running: Running::All };
const HALF: Phase = Phase { demand: 0.5, ..FULL };
/// Passes that take so long that the ranks begin 0.4 times as many streams.
const SLOW_PASS_MS: u64 = 250;

impl Phase {
    /// Returns how many streams per millisecond the ranks can begin.
    fn capacity(&self, fleet: Fleet) -> f64 {
        fleet.ranks as f64 * f64::from(SLOTS) / (MEAN_EVENTS * self.pass_ms as f64)
    }

    /// Returns the largest mean wait in milliseconds that the target allows in overload.
    ///
    /// When the ranks begin `r` streams per millisecond, `r * TARGET_MS * WAIT_SHARE` streams may
    /// wait, and `SLACK_PER_RANK` at each rank in addition. By Little's law the mean wait is their
    /// number divided by `r`.
    fn max_wait_ms(&self, fleet: Fleet) -> f64 {
        let slack_streams = SLACK_PER_RANK * fleet.ranks as f64;
        TARGET_MS as f64 * WAIT_SHARE + slack_streams / self.capacity(fleet)
    }

    /// Returns how many requests arrive per millisecond.
    fn arriving(&self, fleet: Fleet) -> f64 {
        self.demand * Phase { pass_ms: PASS_MS, ..*self }.capacity(fleet)
    }

    fn is_overload(&self, fleet: Fleet) -> bool {
        self.arriving(fleet) > self.capacity(fleet)
    }

    /// Returns how many streams per millisecond can begin: those that arrive, or those for which
    /// there are slots.
    fn could_begin(&self, fleet: Fleet) -> f64 {
        self.arriving(fleet).min(self.capacity(fleet))
    }
}

struct Case {
    name: &'static str,
    phases: &'static [Phase],
}

const CASES: &[Case] = &[
    Case { name: "half load", phases: &[HALF] },
    Case { name: "step to 1.2", phases: &[HALF, Phase { demand: 1.2, ..FULL }] },
    Case { name: "step to 1.8", phases: &[HALF, FULL] },
    Case { name: "step to 3", phases: &[HALF, Phase { demand: 3.0, ..FULL }] },
    Case {
        name: "capacity falls and returns",
        phases: &[
            Phase { demand: 0.8, ..FULL },
            Phase { demand: 0.8, pass_ms: SLOW_PASS_MS, ..FULL },
            Phase { demand: 0.8, ..FULL },
        ],
    },
    Case { name: "group has just formed", phases: &[FULL] },
    Case {
        name: "entries go and come",
        phases: &[FULL, Phase { running: Running::FirstHalf, ..FULL }, FULL],
    },
    Case {
        name: "one entry begins late",
        phases: &[Phase { running: Running::AllButLast, ..FULL }, FULL],
    },
];

/// What was seen in a window of a phase.
#[derive(Clone, Debug, Default)]
struct Seen {
    span_ms: u64,
    begun: u64,
    wait_ms: u64,
    longest_held_ms: u64,
    begun_by_entry: BTreeMap<usize, u64>,
}

impl Seen {
    fn mean_wait_ms(&self) -> f64 {
        self.wait_ms as f64 / self.begun.max(1) as f64
    }

    /// Returns the largest mean wait that the target allows.
    ///
    /// Returns the least and the most streams that entries with equal demand began.
    fn extremes(&self, entries: usize, is_heavy: bool) -> Option<(u64, u64)> {
        let of_kind = (0..entries).filter(|entry| is_heavy_entry(*entry) == is_heavy);
        let begun = of_kind.map(|entry| self.begun_by_entry.get(&entry).copied().unwrap_or(0));
        begun.fold(None, |extremes, count| {
            let (least, most) = extremes.unwrap_or((count, count));
            Some((least.min(count), most.max(count)))
        })
    }
}

const fn is_heavy_entry(entry: usize) -> bool {
    entry % HEAVY_DIVISOR == 1
}

const fn weight(entry: usize) -> f64 {
    if is_heavy_entry(entry) { HEAVY_WEIGHT } else { 1.0 }
}

/// A stream at a rank.
#[derive(Clone, Copy)]
struct Stream {
    entry: usize,
    sent_at: BootMs,
    events_left: u32,
    has_event: bool,
}

#[derive(Default)]
struct Rank {
    queue: VecDeque<Stream>,
    running: Vec<Stream>,
}

impl Rank {
    /// Runs a pass: returns the streams that made an event, then begins others.
    fn pass(&mut self) -> Vec<Stream> {
        for stream in &mut self.running {
            stream.events_left -= 1;
        }
        let advanced = self.running.clone();
        self.running.retain(|stream| stream.events_left > 0);
        for stream in &mut self.running {
            stream.has_event = true;
        }
        let free = (SLOTS as usize - self.running.len()).min(BEGUN_PER_PASS);
        self.running.extend(self.queue.drain(..free.min(self.queue.len())));
        advanced
    }
}

struct Entry {
    limit: QueueLimit,
    /// Requests that wait here, by arrival.
    waiting: VecDeque<BootMs>,
    /// Part of the next request that has arrived.
    arriving: f64,
    begun: u32,
    open_by_rank: Vec<u32>,
}

impl Entry {
    fn new(fleet: Fleet, arriving: f64) -> Self {
        Self {
            limit: QueueLimit::default(),
            waiting: VecDeque::new(),
            arriving,
            begun: 0,
            open_by_rank: vec![0; fleet.ranks],
        }
    }
}

struct Simulation {
    fleet: Fleet,
    random: ChaCha8Rng,
    entries: Vec<Entry>,
    ranks: Vec<Rank>,
    next_pass_at: BootMs,
}

impl Simulation {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..fleet.entries).map(|_| Entry::new(fleet, random.random())).collect();
        let ranks = (0..fleet.ranks).map(|_| Rank::default()).collect();
        Self { fleet, random, entries, ranks, next_pass_at: BootMs(START_MS) }
    }

    /// Runs the phases. Returns what was seen in each, before the limit settled and after.
    fn run(mut self, phases: &[Phase]) -> Vec<(Phase, [Seen; 2])> {
        let mut began_at = BootMs(START_MS);
        let mut results = Vec::new();
        for phase in phases {
            self.stop_entries(phase);
            let settled_at = began_at.after(SETTLING_MS);
            let ends_at = began_at.after(PHASE_MS);
            let settling = self.run_until(phase, began_at, settled_at);
            let settled = self.run_until(phase, settled_at, ends_at);
            results.push((*phase, [settling, settled]));
            began_at = ends_at;
        }
        results
    }

    /// Replaces the entries that do not run by new ones, which run in a later phase.
    fn stop_entries(&mut self, phase: &Phase) {
        let count = phase.running.count(self.fleet.entries);
        for index in count..self.fleet.entries {
            self.entries[index] = Entry::new(self.fleet, self.random.random());
            for rank in &mut self.ranks {
                rank.queue.retain(|stream| stream.entry != index);
                rank.running.retain(|stream| stream.entry != index);
            }
        }
    }

    fn run_until(&mut self, phase: &Phase, from: BootMs, until: BootMs) -> Seen {
        let mut seen = Seen { span_ms: until.since(from), ..Seen::default() };
        for elapsed_ms in (0..until.since(from)).step_by(TICK_MS as usize) {
            let now = from.after(elapsed_ms);
            if now >= self.next_pass_at {
                self.pass(now, &mut seen);
                self.next_pass_at = now.after(phase.pass_ms);
            }
            self.arrive(phase, now);
            self.send(phase, now, &mut seen);
        }
        seen
    }

    fn pass(&mut self, now: BootMs, seen: &mut Seen) {
        for (index, rank) in self.ranks.iter_mut().enumerate() {
            for stream in rank.pass() {
                let entry = &mut self.entries[stream.entry];
                if !stream.has_event {
                    entry.limit.note_begun(SERVICE, now.since(stream.sent_at), now);
                    entry.begun += 1;
                    seen.begun += 1;
                    seen.wait_ms += now.since(stream.sent_at);
                    *seen.begun_by_entry.entry(stream.entry).or_default() += 1;
                }
                if stream.events_left == 0 {
                    entry.begun -= 1;
                    entry.open_by_rank[index] -= 1;
                }
            }
        }
    }

    /// Lets requests arrive at even intervals at each entry.
    fn arrive(&mut self, phase: &Phase, now: BootMs) {
        let count = phase.running.count(self.fleet.entries);
        let weights: f64 = (0..count).map(weight).sum();
        let arriving = phase.arriving(self.fleet) * TICK_MS as f64 / weights;
        for (index, entry) in self.entries[..count].iter_mut().enumerate() {
            entry.arriving += arriving * weight(index);
            while entry.arriving >= 1.0 {
                entry.arriving -= 1.0;
                entry.waiting.push_back(now);
            }
        }
    }

    /// Sends what the limits admit, and refuses what has waited too long.
    fn send(&mut self, phase: &Phase, now: BootMs, seen: &mut Seen) {
        let count = phase.running.count(self.fleet.entries);
        for index in 0..count {
            while let Some(arrived_at) = self.entries[index].waiting.front().copied() {
                let held_ms = now.since(arrived_at);
                let is_admitted = self.is_admitted(index, count, now);
                if !is_admitted && held_ms < ENTRY_WAIT_MS {
                    break;
                }
                self.entries[index].waiting.pop_front();
                seen.longest_held_ms = seen.longest_held_ms.max(held_ms);
                if is_admitted {
                    self.send_one(index, now);
                }
            }
        }
    }

    fn is_admitted(&mut self, index: usize, entries: usize, now: BootMs) -> bool {
        let slots = self.fleet.ranks as u32 * SLOTS;
        let entry = &mut self.entries[index];
        let target = QueueTarget::new(TARGET_MS, self.fleet.ranks, slots, entries, entry.begun);
        entry.limit.admits(SERVICE, target, now)
    }

    /// Sends a request to a rank at which the entry has the fewest open streams.
    fn send_one(&mut self, index: usize, now: BootMs) {
        let entry = &mut self.entries[index];
        let first = self.random.random_range(0..self.fleet.ranks);
        let order = (0..self.fleet.ranks).map(|rank| (first + rank) % self.fleet.ranks);
        let rank = order.min_by_key(|rank| entry.open_by_rank[*rank]).expect("a rank");
        entry.open_by_rank[rank] += 1;
        entry.limit.note_sent(SERVICE, now);
        let events_left = self.random.random_range(EVENTS);
        let stream = Stream { entry: index, sent_at: now, events_left, has_event: false };
        self.ranks[rank].queue.push_back(stream);
    }
}

/// What must hold in a window of a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Check {
    /// In overload the mean wait at ranks keeps to the target.
    Wait,
    /// Every slot stays in use.
    Use,
    /// At half load no request is held back for longer than one pass.
    Held,
    /// Entries with equal demand begin about as many streams.
    Parts,
}

/// A window of a phase, as it was seen.
struct Window<'a> {
    name: String,
    fleet: Fleet,
    case: &'a Case,
    phase: Phase,
    is_settled: bool,
    seen: Seen,
}

impl Window<'_> {
    /// Returns what is wrong, if anything is.
    fn fault(&self, check: Check) -> Option<String> {
        match check {
            Check::Wait => self.wait_fault(),
            Check::Use => self.use_fault(),
            Check::Held => self.held_fault(),
            Check::Parts => self.parts_fault(),
        }
    }

    fn wait_fault(&self) -> Option<String> {
        let (wait_ms, max_ms) = (self.seen.mean_wait_ms(), self.phase.max_wait_ms(self.fleet));
        let is_fault = self.phase.is_overload(self.fleet) && wait_ms > max_ms;
        is_fault.then(|| format!("{}: mean wait {wait_ms:.0} of {max_ms:.0} ms", self.name))
    }

    fn use_fault(&self) -> Option<String> {
        let could_begin = self.phase.could_begin(self.fleet) * self.seen.span_ms as f64;
        let share = self.seen.begun as f64 / could_begin;
        (share < MIN_USE).then(|| format!("{}: {share:.2} of what could begin", self.name))
    }

    fn held_fault(&self) -> Option<String> {
        let held_ms = self.seen.longest_held_ms;
        let is_fault = self.phase.demand <= HALF.demand && held_ms > self.phase.pass_ms;
        is_fault.then(|| format!("{}: held for {held_ms} ms", self.name))
    }

    /// Too few streams begin in a short window to tell the parts of entries from chance.
    fn parts_fault(&self) -> Option<String> {
        let entries = self.phase.running.count(self.fleet.entries);
        let extremes = [false, true].map(|is_heavy| self.seen.extremes(entries, is_heavy));
        let is_uneven = |(least, most): &(u64, u64)| *most > least * MAX_RATIO;
        let (least, most) = extremes.into_iter().flatten().find(is_uneven)?;
        self.is_settled.then(|| format!("{}: from {least} to {most} begun", self.name))
    }
}

fn windows() -> impl Iterator<Item = Window<'static>> {
    let fleets = FLEETS.iter().flat_map(|fleet| CASES.iter().map(move |case| (*fleet, case)));
    let runs = fleets.flat_map(|(fleet, case)| (0..SEEDS).map(move |seed| (fleet, case, seed)));
    runs.flat_map(|(fleet, case, seed)| {
        let phases = Simulation::new(fleet, seed).run(case.phases).into_iter().enumerate();
        phases.flat_map(move |(number, (phase, seen))| {
            let Fleet { entries, ranks } = fleet;
            let place = format!("{entries} entries, {ranks} ranks, {}", case.name);
            seen.into_iter().zip([false, true]).map(move |(seen, is_settled)| {
                let state = if is_settled { "settled" } else { "settling" };
                let name = format!("{place}, phase {number} {state}, seed {seed}");
                Window { name, fleet, case, phase, is_settled, seen }
            })
        })
    })
}

/// All windows of all cases; the tests below share them.
static WINDOWS: LazyLock<Vec<Window<'static>>> = LazyLock::new(|| windows().collect());

/// Cases of one fleet in which a check is known to fail.
struct KnownFault {
    check: Check,
    entries: usize,
    cases: &'static [&'static str],
}

const KNOWN_FAULTS: &[KnownFault] = &[
    KnownFault { check: Check::Wait, entries: 1, cases: SLOW },
    KnownFault { check: Check::Wait, entries: 4, cases: SLOW },
    KnownFault { check: Check::Wait, entries: 12, cases: SLOW },
    KnownFault { check: Check::Wait, entries: 35, cases: SLOW },
    KnownFault { check: Check::Wait, entries: 400, cases: OVERLOAD },
    KnownFault { check: Check::Use, entries: 1, cases: SLOW },
    KnownFault { check: Check::Use, entries: 4, cases: SLOW },
    KnownFault {
        check: Check::Use,
        entries: 12,
        cases: &["capacity falls and returns", "entries go and come", "one entry begins late"],
    },
    KnownFault { check: Check::Use, entries: 35, cases: OVERLOAD },
    KnownFault {
        check: Check::Use,
        entries: 400,
        cases: &[
            "step to 1.2",
            "step to 1.8",
            "capacity falls and returns",
            "group has just formed",
            "entries go and come",
            "one entry begins late",
        ],
    },
    KnownFault {
        check: Check::Held,
        entries: 400,
        cases: &["half load", "step to 1.2", "step to 1.8", "step to 3"],
    },
    KnownFault {
        check: Check::Parts,
        entries: 35,
        cases: &["entries go and come", "one entry begins late"],
    },
    KnownFault {
        check: Check::Parts,
        entries: 400,
        cases: &["step to 3", "capacity falls and returns", "entries go and come"],
    },
];

/// Passes that take two and a half times as long.
const SLOW: &[&str] = &["capacity falls and returns"];

const OVERLOAD: &[&str] = &[
    "step to 1.2",
    "step to 1.8",
    "step to 3",
    "capacity falls and returns",
    "group has just formed",
    "entries go and come",
    "one entry begins late",
];

/// Returns what is wrong in the cases in which a check is known to fail, or in the others.
fn faults(check: Check, is_known: bool) -> Vec<String> {
    let is_listed = |window: &Window, known: &KnownFault| {
        known.check == check
            && known.entries == window.fleet.entries
            && known.cases.contains(&window.case.name)
    };
    let is_known_at = |window: &Window| KNOWN_FAULTS.iter().any(|it| is_listed(window, it));
    let judged = WINDOWS.iter().filter(|window| is_known_at(window) == is_known);
    judged.filter_map(|window| window.fault(check)).collect()
}

/// Guards against streams that wait at ranks for longer than the target, where they cannot be taken
/// back.
#[gtest]
fn streams_wait_at_ranks_within_the_target() {
    expect_that!(faults(Check::Wait, false), is_empty());
}

/// Guards against the same failure, in the cases that show it.
#[gtest]
fn known_fault_streams_wait_at_ranks_beyond_the_target() {
    expect_that!(faults(Check::Wait, true), is_empty());
}

/// Guards against slots that stay free while requests wait at entries.
#[gtest]
fn every_slot_stays_in_use() {
    expect_that!(faults(Check::Use, false), is_empty());
}

/// Guards against the same failure, in the cases that show it.
#[gtest]
fn known_fault_slots_stay_free() {
    expect_that!(faults(Check::Use, true), is_empty());
}

/// Guards against requests that are held back though there are slots for them.
#[gtest]
fn no_request_is_held_back_at_half_load() {
    expect_that!(faults(Check::Held, false), is_empty());
}

/// Guards against the same failure, in the cases that show it.
#[gtest]
fn known_fault_a_request_is_held_back_at_half_load() {
    expect_that!(faults(Check::Held, true), is_empty());
}

/// Guards against entries that get a small part of the slots for long, such as one that begins
/// late.
#[gtest]
fn entries_with_equal_demand_begin_about_as_many_streams() {
    expect_that!(faults(Check::Parts, false), is_empty());
}

/// Guards against the same failure, in the cases that show it.
#[gtest]
fn known_fault_entries_with_equal_demand_begin_unequal_parts() {
    expect_that!(faults(Check::Parts, true), is_empty());
}

struct ReachCase {
    name: &'static str,
    /// Streams that began in the last second.
    begun: u32,
    /// Streams that are held back, by urgency.
    held: &'static [(u8, u32)],
    urgency: u8,
    wait_ms: u64,
    is_out_of_reach: bool,
}

/// Guards against requests that are held back although those before them take longer than they can
/// wait, and against refusals while nothing is known of the rate.
#[gtest]
fn a_request_is_refused_at_once_if_others_before_it_take_too_long() {
    let case = ReachCase {
        name: "few before it",
        begun: 20,
        held: &[(2, 3)],
        urgency: 2,
        wait_ms: 500,
        is_out_of_reach: false,
    };
    let cases = [
        ReachCase { name: "many before it", held: &[(2, 30)], is_out_of_reach: true, ..case },
        ReachCase { name: "many after it", held: &[(3, 30)], ..case },
        ReachCase { name: "after an outage", begun: 0, held: &[(2, 30)], ..case },
        case,
    ];
    for case in cases {
        let (mut limit, now) = (QueueLimit::default(), BootMs(START_MS));
        for _ in 0..case.begun {
            limit.note_sent(SERVICE, now);
            limit.note_begun(SERVICE, PASS_MS, now);
        }
        for (urgency, count) in case.held {
            (0..*count).for_each(|_| limit.hold(SERVICE, *urgency));
        }
        let until = now.after(case.wait_ms);
        let is_out_of_reach = limit.is_out_of_reach(SERVICE, case.urgency, until, now);
        expect_that!(is_out_of_reach, eq(case.is_out_of_reach), "{}", case.name);
    }
}

/// Guards against a less urgent request that is sent while a more urgent one is held back.
#[gtest]
fn the_most_urgent_request_goes_first() {
    let mut limit = QueueLimit::default();
    limit.hold(SERVICE, 2);
    expect_that!(limit.is_most_urgent(SERVICE, 1), eq(true));
    expect_that!(limit.is_most_urgent(SERVICE, 2), eq(true));
    expect_that!(limit.is_most_urgent(SERVICE, 3), eq(false));
    limit.release(SERVICE, 2);
    expect_that!(limit.is_most_urgent(SERVICE, 3), eq(true));
}
