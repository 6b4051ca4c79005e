//! Reports of agents about backend servers, which reach all entries by way of a few.

use googletest::prelude::*;
use hickorycross_core::direct::{BackendServer, BackendState, BackendTable, BootMs};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

/// Entries to which an agent reports.
const NOTIFIED: usize = 8;
/// Peers to which an entry pushes a report in one round, and rounds in which it does.
const PEERS_PER_ROUND: usize = 4;
const ROUNDS_PER_REPORT: usize = 2;
const ROUND_MS: u64 = 250;
/// Longest time of a message on the way.
const MAX_TRANSIT_MS: u64 = 20;

fn address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), 8_000))
}

fn table() -> BackendTable {
    let mut table = BackendTable::new("a");
    let server = BackendServer {
        id: "server".to_owned(),
        born_ms: 1,
        service: "svc".to_owned(),
        address: address(),
        failure_domain: "a".to_owned(),
        slots: 6,
        state: BackendState::Ready,
        listed_at_revision: 1,
    };
    table.replace_all(vec![server], BootMs(0), None);
    table
}

/// What an agent reports.
#[derive(Clone, Copy, Debug)]
enum Report {
    Slow,
    Unreachable,
    Reachable,
}

impl Report {
    /// Tells an entry, and returns whether that is news to it.
    fn tell(self, table: &mut BackendTable, reported_at: BootMs) -> bool {
        match self {
            Self::Slow => table.note_pace(address(), 2_000, reported_at),
            Self::Unreachable => table.note_agent_reachable(address(), false, reported_at),
            Self::Reachable => table.note_agent_reachable(address(), true, reported_at),
        }
    }
}

/// A fleet in which one agent has something to report.
struct Fleet {
    tables: Vec<BackendTable>,
    random: ChaCha8Rng,
    now: BootMs,
}

impl Fleet {
    fn new(entries: usize) -> Self {
        let tables = (0..entries).map(|_| table()).collect();
        Self { tables, random: ChaCha8Rng::seed_from_u64(5), now: BootMs(10_000) }
    }

    /// Spreads a report, and returns how many entries hear it and how many messages that takes.
    fn spread(&mut self, report: Report) -> (usize, usize) {
        let entries = self.tables.len();
        let mut messages = 0;
        let mut heard = 0;
        let first: Vec<usize> = (0..entries).sample(&mut self.random, NOTIFIED);
        // Each message with the time at which its content was made, as its sender reckons it.
        let made_at = self.now;
        let mut arriving: Vec<(usize, BootMs)> =
            first.into_iter().map(|it| (it, made_at)).collect();
        let mut queued: Vec<(usize, BootMs, usize)> = Vec::new();
        while !arriving.is_empty() || !queued.is_empty() {
            for (entry, made_at) in std::mem::take(&mut arriving) {
                messages += 1;
                // The receiver does not know how long the message was on its way.
                let made_at = made_at.after(self.random.random_range(0..MAX_TRANSIT_MS));
                if report.tell(&mut self.tables[entry], made_at) {
                    heard += 1;
                    queued.push((entry, made_at, ROUNDS_PER_REPORT));
                }
            }
            for (entry, made_at, rounds) in std::mem::take(&mut queued) {
                let others = (0..entries).filter(|other| *other != entry);
                let peers = others.sample(&mut self.random, PEERS_PER_ROUND);
                arriving.extend(peers.into_iter().map(|peer| (peer, made_at)));
                if rounds > 1 {
                    queued.push((entry, made_at, rounds - 1));
                }
            }
            self.now = self.now.after(ROUND_MS);
        }
        (heard, messages)
    }
}

/// Guards against reports that reach some entries of a large fleet only, and against copies that go
/// round among the entries.
#[gtest]
fn a_report_reaches_all_entries_and_ends() {
    for entries in [6, 64, 285, 400, 800] {
        let mut fleet = Fleet::new(entries);
        for report in [Report::Slow, Report::Unreachable, Report::Reachable, Report::Unreachable] {
            let (heard, messages) = fleet.spread(report);
            let case = format!("{entries} entries, {report:?}");
            // Who misses it by chance gets the repeat.
            expect_that!(heard, ge(entries - (entries / 100).max(1)), "{case}");
            // Each entry passes it on once.
            expect_that!(heard, le(entries), "{case}");
            let most = NOTIFIED + entries * PEERS_PER_ROUND * ROUNDS_PER_REPORT;
            expect_that!(messages, le(most), "{case}");
        }
    }
}

struct NewsCase {
    name: &'static str,
    report: Report,
    reported_at: BootMs,
    is_news: bool,
}

/// Reports in their order.
const NEWS_CASES: &[NewsCase] = &[
    NewsCase {
        name: "first",
        report: Report::Unreachable,
        reported_at: BootMs(1_000),
        is_news: true,
    },
    NewsCase {
        name: "copy",
        report: Report::Unreachable,
        reported_at: BootMs(1_020),
        is_news: false,
    },
    NewsCase {
        name: "repeat",
        report: Report::Unreachable,
        reported_at: BootMs(3_000),
        is_news: true,
    },
    NewsCase {
        name: "change",
        report: Report::Reachable,
        reported_at: BootMs(3_100),
        is_news: true,
    },
    NewsCase {
        name: "late",
        report: Report::Unreachable,
        reported_at: BootMs(3_050),
        is_news: false,
    },
    NewsCase { name: "other", report: Report::Slow, reported_at: BootMs(3_100), is_news: true },
    NewsCase { name: "its copy", report: Report::Slow, reported_at: BootMs(3_110), is_news: false },
    NewsCase {
        name: "its repeat",
        report: Report::Slow,
        reported_at: BootMs(5_100),
        is_news: true,
    },
];

/// Guards against a late copy of a report that undoes a newer one.
#[gtest]
fn a_report_is_news_unless_it_is_a_copy_or_older() {
    let mut table = table();
    for NewsCase { name, report, reported_at, is_news } in NEWS_CASES {
        expect_that!(report.tell(&mut table, *reported_at), eq(*is_news), "{name}");
    }
}
