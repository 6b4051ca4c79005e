//! Simulates entries that share the slots of a group, and of which one suddenly gets most requests.

use googletest::prelude::*;
use hickorycross_core::direct::{Admission, AdmissionSettings, BootMs, UnusedShares};
use std::collections::VecDeque;

const SERVICE: &str = "model";
/// Settings as entries use them.
const SETTINGS: AdmissionSettings = AdmissionSettings {
    min_requests: 4.0,
    max_share: 1.6,
    decrease_ratio: 0.08,
    increase_requests: 0.05,
    decrease_interval_ms: 250,
};
const STREAM_MS: u64 = 1_500;
/// Time between two events of a stream.
const EVENT_MS: u64 = 100;
/// Time after which callers without an event give up.
const PATIENCE_MS: u64 = 2_000;
const TICK_MS: u64 = 10;
/// Time for which requests are spread evenly.
const EVEN_MS: u64 = 10_000;
/// Time after which entries must have adapted: `stable_window_ms` of the largest installation.
const ADAPTATION_MS: u64 = 6_000;
const UNEVEN_MS: u64 = 12_000;
/// Of these many requests all but one go to the first entry when they are uneven.
const SPREAD_EACH: u64 = 10;

struct Case {
    name: &'static str,
    entries: usize,
    slots: usize,
    /// Requests as a share of what the group can run.
    load: f64,
    /// Smallest share of requests that must begin, relative to the time before.
    min_begun_ratio: f64,
}

const CASES: &[Case] = &[
    Case { name: "five entries", entries: 5, slots: 96, load: 0.6, min_begun_ratio: 0.75 },
    Case { name: "35 entries", entries: 35, slots: 1_032, load: 0.6, min_begun_ratio: 0.75 },
    Case { name: "400 entries", entries: 400, slots: 7_200, load: 0.6, min_begun_ratio: 0.75 },
    Case { name: "nearly full", entries: 5, slots: 96, load: 0.95, min_begun_ratio: 0.75 },
];

struct Request {
    entry: usize,
    sent_at: u64,
}

struct Entry {
    admission: Admission,
    unused_shares: UnusedShares,
    open: u32,
}

/// Requests that were sent, began and were given up on by their callers.
#[derive(Default)]
struct Counts {
    wanted: u32,
    begun: u32,
    given_up: u32,
}

struct Simulation {
    slots: usize,
    entries: Vec<Entry>,
    running: Vec<(Request, u64)>,
    queue: VecDeque<Request>,
    number: u64,
    due: f64,
    counts: Counts,
}

impl Simulation {
    fn new(entries: usize, slots: usize) -> Self {
        let entry = || Entry {
            admission: Admission::new(SETTINGS),
            unused_shares: UnusedShares::default(),
            open: 0,
        };
        Self {
            slots,
            entries: (0..entries).map(|_| entry()).collect(),
            running: Vec::new(),
            queue: VecDeque::new(),
            number: 0,
            due: 0.0,
            counts: Counts::default(),
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64, load: f64, is_even: bool) -> Counts {
        self.counts = Counts::default();
        for now_ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
            self.end_streams(now_ms);
            self.begin_streams(now_ms);
            self.send_due(now_ms, load, is_even);
        }
        std::mem::take(&mut self.counts)
    }

    fn end_streams(&mut self, now_ms: u64) {
        let entries = &mut self.entries;
        self.running.retain(|(request, began_at)| {
            let runs = now_ms - began_at < STREAM_MS;
            let entry = &mut entries[request.entry];
            if runs && (now_ms - began_at).is_multiple_of(EVENT_MS) && now_ms > *began_at {
                entry.admission.note_gap(SERVICE, EVENT_MS, BootMs(now_ms));
            }
            entry.open -= u32::from(!runs);
            runs
        });
        let counts = &mut self.counts;
        self.queue.retain(|request| {
            let waited_ms = now_ms - request.sent_at;
            if waited_ms >= PATIENCE_MS {
                let (entry, now) = (&mut entries[request.entry], BootMs(now_ms));
                entry.admission.note_not_begun(SERVICE, waited_ms, now);
                entry.unused_shares.note_not_begun(SERVICE, waited_ms, now);
                entry.open -= 1;
                counts.given_up += 1;
            }
            waited_ms < PATIENCE_MS
        });
    }

    fn begin_streams(&mut self, now_ms: u64) {
        let entry_count = self.entries.len() as f64;
        while self.running.len() < self.slots
            && let Some(request) = self.queue.pop_front()
        {
            let (entry, now) = (&mut self.entries[request.entry], BootMs(now_ms));
            let waited_ms = now_ms - request.sent_at;
            entry.admission.note_first_event(SERVICE, waited_ms, now);
            let unused_shares = &mut entry.unused_shares;
            let growth = unused_shares.note_first_event(SERVICE, waited_ms, entry_count, now);
            entry.admission.note_share_grown(SERVICE, growth);
            self.counts.begun += 1;
            self.running.push((request, now_ms));
        }
    }

    fn send_due(&mut self, now_ms: u64, load: f64, is_even: bool) {
        self.due += load * self.slots as f64 * TICK_MS as f64 / STREAM_MS as f64;
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.number += 1;
            let goes_round = is_even || self.number.is_multiple_of(SPREAD_EACH);
            let turn = if is_even { self.number } else { self.number / SPREAD_EACH };
            let index = if goes_round { turn as usize % self.entries.len() } else { 0 };
            self.counts.wanted += 1;
            if self.admits(index, BootMs(now_ms)) {
                self.entries[index].open += 1;
                self.queue.push_back(Request { entry: index, sent_at: now_ms });
            }
        }
    }

    /// Decides as an entry does.
    fn admits(&mut self, index: usize, now: BootMs) -> bool {
        let entry_count = self.entries.len() as f64;
        let even_share = self.slots as f64 / entry_count;
        let Entry { admission, unused_shares, open } = &mut self.entries[index];
        if f64::from(*open) >= even_share * SETTINGS.max_share {
            unused_shares.note_exceeded(SERVICE, now);
        }
        let share = even_share * unused_shares.factor(SERVICE, entry_count, now);
        let admits = admission.admits(SERVICE, *open, share, SETTINGS.max_share);
        if !admits {
            unused_shares.note_limited(SERVICE, now);
        }
        admits
    }
}

/// Guards against an entry that keeps to an even share of the slots while it gets most requests.
#[gtest]
fn an_entry_uses_the_slots_that_others_leave_unused() {
    for case in CASES {
        let mut simulation = Simulation::new(case.entries, case.slots);
        let before = simulation.run(0, EVEN_MS, case.load, true);
        let _ = simulation.run(EVEN_MS, EVEN_MS + ADAPTATION_MS, case.load, false);
        let (from_ms, until_ms) = (EVEN_MS + ADAPTATION_MS, EVEN_MS + UNEVEN_MS);
        let after = simulation.run(from_ms, until_ms, case.load, false);
        let share = |counts: &Counts| f64::from(counts.begun) / f64::from(counts.wanted);
        let ratio = share(&after) / share(&before);
        println!("{}: {:.2} of {:.2}", case.name, share(&after), share(&before));
        expect_that!(ratio, ge(case.min_begun_ratio), "{}", case.name);
    }
}

/// Guards against entries that all exceed their share when there are too many requests, so that
/// callers give up on requests that wait at backend servers.
#[gtest]
fn entries_keep_to_their_shares_under_overload() {
    /// Largest share of the begun requests on which callers may give up, as without larger shares.
    const MAX_GIVEN_UP: f64 = 0.1;
    for (entries, is_even) in [(5, true), (5, false), (35, true)] {
        let mut simulation = Simulation::new(entries, 960);
        let _ = simulation.run(0, EVEN_MS, 0.6, true);
        let _ = simulation.run(EVEN_MS, 2 * EVEN_MS, 1.8, is_even);
        let counts = simulation.run(2 * EVEN_MS, 4 * EVEN_MS, 1.8, is_even);
        let given_up = f64::from(counts.given_up) / f64::from(counts.begun);
        println!("{entries} entries: {given_up:.3} given up");
        expect_that!(given_up, le(MAX_GIVEN_UP), "{entries} entries, even: {is_even}");
    }
}

/// Guards against a share that grows while nothing is held back by it, or stays after it was needed.
#[gtest]
fn a_share_grows_only_while_it_is_needed() {
    let (mut shares, mut now) = (UnusedShares::default(), BootMs(100_000));
    for _ in 0..100 {
        now = now.after(300);
        let _ = shares.note_first_event(SERVICE, 50, 10.0, now);
    }
    expect_that!(shares.factor(SERVICE, 10.0, now), eq(1.0), "nothing was held back");
    for _ in 0..100 {
        now = now.after(300);
        shares.note_limited(SERVICE, now);
        let _ = shares.note_first_event(SERVICE, 50, 10.0, now);
    }
    expect_that!(shares.factor(SERVICE, 10.0, now), eq(10.0), "all slots");
    for _ in 0..100 {
        now = now.after(300);
        shares.note_limited(SERVICE, now);
        let _ = shares.note_first_event(SERVICE, 900, 10.0, now);
    }
    expect_that!(shares.factor(SERVICE, 10.0, now), lt(1.1), "the others use their slots again");
    now = now.after(60_000);
    expect_that!(shares.factor(SERVICE, 10.0, now), eq(1.0), "not needed any more");
}
