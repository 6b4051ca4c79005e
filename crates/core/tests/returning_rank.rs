//! Plays entries that send streams to the ranks of a group, one of which is back from a cut or frozen.

use googletest::prelude::*;
use hickorycross_core::direct::{BackendServer, BackendState, BackendTable, BootMs, QuietReport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const TICK_MS: u64 = 10;
/// Time of a pass, in which a rank begins a stream or two.
const PASS_MS: u64 = 100;
const BEGUN_IN_A_PASS: usize = 2;
/// Time for which a stream runs.
const STREAM_MS: u64 = 2_000;
/// Streams that come in a second for each rank: twelve are open at each on the average.
const COME_PER_RANK_S: f64 = 5.5;
/// When the cut begins and ends, and for how long what is sent after it counts.
const CUT_AT_MS: u64 = 6_000;
const BACK_AT_MS: u64 = 9_000;
const COUNTED_MS: u64 = 1_500;
/// Time for which a stream may lie at a rank until it begins, on its callers' target of half a second.
const MOST_UNBEGUN_MS: u64 = 300;

struct Case {
    name: &'static str,
    entries: usize,
    ranks: usize,
}

const CASES: [Case; 5] = [
    Case { name: "one entry", entries: 1, ranks: 12 },
    Case { name: "a small site", entries: 4, ranks: 12 },
    Case { name: "many entries before few ranks", entries: 12, ranks: 16 },
    Case { name: "a large site", entries: 11, ranks: 63 },
    Case { name: "a large fleet", entries: 35, ranks: 129 },
];

/// A stream at a rank.
#[derive(Clone, Copy)]
struct Stream {
    entry: usize,
    sent_ms: u64,
}

/// What a rank has.
#[derive(Default)]
struct Rank {
    queue: VecDeque<Stream>,
    /// When running streams end, and whose they are.
    running: VecDeque<(u64, usize)>,
}

fn server(rank: usize) -> BackendServer {
    BackendServer {
        id: format!("r{rank}"),
        born_ms: 1,
        service: "model".to_owned(),
        address: ([10, 0, 0, 1], rank as u16 + 1).into(),
        failure_domain: "a".to_owned(),
        slots: 12,
        state: BackendState::Ready,
        listed_at_revision: 1,
    }
}

/// A group and the entries before it.
struct Play {
    random: ChaCha8Rng,
    servers: Vec<BackendServer>,
    ranks: Vec<Rank>,
    /// What each entry knows.
    tables: Vec<BackendTable>,
    /// Times for which streams that were sent soon after the cut have lain unrun at the rank that is back.
    unbegun_ms: Vec<u64>,
}

impl Play {
    fn new(case: &Case, seed: u64) -> Self {
        let servers: Vec<BackendServer> = (0..case.ranks).map(server).collect();
        let mut table = BackendTable::new("a");
        for server in &servers {
            table.put(server.clone());
        }
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            ranks: servers.iter().map(|_| Rank::default()).collect(),
            servers,
            tables: vec![table; case.entries],
            unbegun_ms: Vec::new(),
        }
    }

    /// Plays a cut of the first rank and what follows.
    fn run(mut self) -> Vec<u64> {
        for now_ms in (0..BACK_AT_MS + 2 * COUNTED_MS).step_by(TICK_MS as usize) {
            match now_ms {
                CUT_AT_MS => self.cut(BootMs(now_ms)),
                BACK_AT_MS => self.say_hearing(true, BootMs(now_ms)),
                _ => {}
            }
            for rank in 0..self.ranks.len() {
                self.end_streams(rank, now_ms);
                if now_ms.is_multiple_of(PASS_MS) {
                    self.begin_streams(rank, now_ms);
                    self.note_events(rank, now_ms);
                }
            }
            self.send(now_ms);
        }
        self.unbegun_ms
    }

    /// The first rank is cut off: its streams go on elsewhere, and nothing is sent there.
    fn cut(&mut self, now: BootMs) {
        let cut = std::mem::take(&mut self.ranks[0]);
        for (_, entry) in cut.running {
            self.tables[entry].note_stream_ended(&self.servers[0], true);
            self.tables[entry].note_ended(&self.servers[0]);
        }
        for stream in cut.queue {
            self.tables[stream.entry].note_stream_ended(&self.servers[0], false);
            self.tables[stream.entry].note_ended(&self.servers[0]);
        }
        self.say_hearing(false, now);
    }

    fn say_hearing(&mut self, is_heard: bool, now: BootMs) {
        for table in &mut self.tables {
            table.note_agent_reachable(self.servers[0].address, is_heard, now);
        }
    }

    fn end_streams(&mut self, rank: usize, now_ms: u64) {
        let running = &mut self.ranks[rank].running;
        while let Some((_, entry)) = running.pop_front_if(|(ends_ms, _)| *ends_ms <= now_ms) {
            self.tables[entry].note_stream_ended(&self.servers[rank], true);
            self.tables[entry].note_ended(&self.servers[rank]);
        }
    }

    fn begin_streams(&mut self, rank: usize, now_ms: u64) {
        let Rank { queue, running } = &mut self.ranks[rank];
        for stream in queue.drain(..queue.len().min(BEGUN_IN_A_PASS)) {
            self.tables[stream.entry].note_stream_begun(&self.servers[rank]);
            running.push_back((now_ms + STREAM_MS, stream.entry));
            let is_counted = (BACK_AT_MS..BACK_AT_MS + COUNTED_MS).contains(&stream.sent_ms);
            if rank == 0 && is_counted {
                self.unbegun_ms.push(now_ms - stream.sent_ms);
            }
        }
    }

    fn note_events(&mut self, rank: usize, now_ms: u64) {
        for (_, entry) in &self.ranks[rank].running {
            let pass = now_ms / PASS_MS;
            self.tables[*entry].note_event(&self.servers[rank], pass, BootMs(now_ms));
        }
    }

    /// Entries send what comes in a tick.
    fn send(&mut self, now_ms: u64) {
        let come = COME_PER_RANK_S * self.ranks.len() as f64 * TICK_MS as f64 / 1_000.0;
        let come = come as usize + usize::from(self.random.random_bool(come.fract()));
        for _ in 0..come {
            let entry = self.random.random_range(0..self.tables.len());
            let draw = self.random.random::<f64>();
            let table = &mut self.tables[entry];
            let choice = table.choose("model", &[], BootMs(now_ms), draw);
            let server = choice.expect("a rank is open").server;
            table.note_sent(&server);
            table.note_stream_sent(&server);
            let rank = self.servers.iter().position(|it| it.id == server.id);
            let rank = rank.expect("a rank of the group");
            self.ranks[rank].queue.push_back(Stream { entry, sent_ms: now_ms });
        }
    }
}

// Guards against requests that lie unrun at a rank just back from a cut, because every entry sends it all that comes.
#[gtest]
fn a_rank_back_from_a_cut_gets_no_more_than_it_begins() {
    for case in CASES {
        for seed in 0..20 {
            let unbegun_ms = Play::new(&case, seed).run();
            let longest_ms = unbegun_ms.iter().max().copied();
            expect_that!(longest_ms, some(le(MOST_UNBEGUN_MS)), "{} seed {seed}", case.name);
        }
    }
}

struct Quiet {
    name: &'static str,
    /// Streams that run at the first rank, and passes that others make without it.
    begun: u32,
    passes: u64,
    /// Time from its last event on.
    silent_ms: u64,
    is_left: bool,
}

// Guards against new work for a rank on a frozen machine, and work left there, where too many machines are frozen for
// those that lead to tell them from a broken link of their own.
#[gtest]
fn a_rank_none_of_whose_streams_goes_on_is_left() {
    let cases = [
        Quiet { name: "frozen", begun: 2, passes: 3, silent_ms: 300, is_left: true },
        Quiet {
            name: "one stream, preempted",
            begun: 1,
            passes: 9,
            silent_ms: 900,
            is_left: false,
        },
        Quiet { name: "a pass is late", begun: 5, passes: 2, silent_ms: 300, is_left: false },
        Quiet { name: "short passes", begun: 5, passes: 9, silent_ms: 200, is_left: false },
        Quiet { name: "the group stalls", begun: 5, passes: 0, silent_ms: 900, is_left: false },
    ];
    for case in cases {
        let [frozen, other] = [server(0), server(1)];
        let mut table = BackendTable::new("a");
        table.put(frozen.clone());
        table.put(other.clone());
        let start = BootMs(10_000);
        for _ in 0..case.begun {
            table.note_sent(&frozen);
            table.note_stream_sent(&frozen);
            table.note_stream_begun(&frozen);
        }
        // Busier than the frozen one.
        (0..9).for_each(|_| table.note_sent(&other));
        table.note_event(&frozen, 40, start);
        let now = start.after(case.silent_ms);
        table.note_event(&other, 40 + case.passes, now);
        let chosen = |table: &BackendTable, now| {
            table.choose("model", &[], now, 0.0).map(|choice| choice.server.id)
        };
        let is_left = chosen(&table, now).as_deref() == Some("r1");
        expect_that!(is_left, eq(case.is_left), "{}: new work", case.name);
        expect_that!(table.should_time_out_early(&frozen, now), eq(case.is_left), "{}", case.name);
        // Its streams leave it one after the other; it stays left until it is heard again.
        for stream in 0..case.begun {
            let told = table.note_timed_out(&frozen, now);
            let is_first = case.is_left && stream == 0;
            expect_that!(told.is_some(), eq(is_first), "{}: told once", case.name);
            table.note_stream_ended(&frozen, true);
            table.note_ended(&frozen);
        }
        let later = now.after(500);
        expect_that!(
            table.should_time_out_early(&frozen, later),
            eq(case.is_left),
            "{}: kept",
            case.name
        );
        table.note_event(&frozen, 41 + case.passes, later);
        expect_false!(table.should_time_out_early(&frozen, later), "{}: heard again", case.name);
    }
}

/// Moments of an entry that is told that a rank is quiet.
struct Told {
    name: &'static str,
    /// When the entry itself last got an event from there, before the word was formed.
    event_before_ms: Option<u64>,
    age_ms: u64,
    is_news: bool,
}

// Guards against requests of an entry with few streams at a frozen rank, which lie there until their callers leave.
#[gtest]
fn an_entry_leaves_a_rank_that_another_one_found_quiet() {
    let cases = [
        Told { name: "nothing open there", event_before_ms: None, age_ms: 5, is_news: true },
        Told { name: "an older event", event_before_ms: Some(40), age_ms: 5, is_news: true },
        Told { name: "an event since then", event_before_ms: Some(0), age_ms: 5, is_news: false },
        Told { name: "an old report", event_before_ms: None, age_ms: 2_000, is_news: false },
    ];
    for case in cases {
        let rank = server(0);
        let mut table = BackendTable::new("a");
        table.put(rank.clone());
        table.put(server(1));
        let now = BootMs(20_000);
        if let Some(before_ms) = case.event_before_ms {
            table.note_event(&rank, 7, now.before(case.age_ms + before_ms));
        }
        let report = QuietReport { address: rank.address, age_ms: case.age_ms };
        expect_that!(table.note_quiet_report(report, now), eq(case.is_news), "{}", case.name);
        expect_that!(table.should_time_out_early(&rank, now), eq(case.is_news), "{}", case.name);
        expect_false!(table.note_quiet_report(report, now), "{}: told again", case.name);
        expect_false!(table.should_time_out_early(&rank, now.after(2_100)), "{}: later", case.name);
    }
}
