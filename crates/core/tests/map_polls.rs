//! Tests of which agents a leader polls and what a collecting agent sends.

#[path = "support/rank_status.rs"]
mod rank_status;

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    CountsSample, PollSchedule, RankStatus, Sections, StatusCollection,
};
use indexmap::{IndexMap, IndexSet};
use rank_status::open_rank;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Compressed size of a count in bytes: 4,128 counts take 1.9 KB.
const BYTES_PER_COUNT: f64 = 0.46;

/// Half of the smallest link in use, 6 Mbit/s. The rest is for orders and their outcomes.
const MAX_BYTES_PER_MS: f64 = 375.0;

/// Time within which every rank must be polled once.
const MAX_ROUND_MS: u64 = 200;

/// Interval between two ticks of a leader.
const TICK_MS: u64 = 20;

const BEGIN_MS: u64 = 10_000;
/// Long enough that the first round, which polls all sections at once, has little weight.
const SPAN_MS: u64 = 5_000;

struct Case {
    name: &'static str,
    domains: u8,
    machines: u16,
    counts_per_rank: usize,
}

const CASES: &[Case] = &[
    Case { name: "12 ranks", domains: 3, machines: 12, counts_per_rank: 4 * 72 },
    Case { name: "32 ranks, 60 layers", domains: 2, machines: 32, counts_per_rank: 60 * 256 },
    Case { name: "63 ranks", domains: 3, machines: 63, counts_per_rank: 8 * 252 },
    Case { name: "129 ranks", domains: 5, machines: 129, counts_per_rank: 16 * 258 },
    Case { name: "256 ranks", domains: 5, machines: 256, counts_per_rank: 16 * 512 },
    Case { name: "one failure domain", domains: 1, machines: 129, counts_per_rank: 16 * 258 },
];

fn machines(case: &Case) -> Vec<(String, IpAddr)> {
    let machine = |index: u16| {
        let domain = index % u16::from(case.domains);
        let [high, low] = index.to_be_bytes();
        (format!("domain-{domain}"), IpAddr::V4(Ipv4Addr::new(10, domain as u8, high, low)))
    };
    (0..case.machines).map(machine).collect()
}

/// Polls of a leader in [`SPAN_MS`].
struct PollLog {
    /// Times at which each instance was polled.
    times_ms: IndexMap<IpAddr, Vec<u64>>,
    /// Number of answers that the leader receives.
    answers: usize,
    collectors: IndexSet<IpAddr>,
}

fn poll(case: &Case) -> PollLog {
    let machines = machines(case);
    let domains: IndexMap<IpAddr, &String> = machines.iter().map(|it| (it.1, &it.0)).collect();
    let sections = Sections::of(&machines, case.counts_per_rank);
    let mut polls = PollSchedule::default();
    let mut log = PollLog { times_ms: IndexMap::new(), answers: 0, collectors: IndexSet::new() };
    for now_ms in (BEGIN_MS..BEGIN_MS + SPAN_MS).step_by(TICK_MS as usize) {
        for it in polls.due(BootMs(now_ms), &sections, false) {
            log.answers += 1;
            log.collectors.insert(it.collector);
            for machine in it.others.iter().chain([&it.collector]) {
                assert_eq!(domains[machine], domains[&it.collector], "{}", case.name);
                log.times_ms.entry(*machine).or_default().push(now_ms);
            }
        }
    }
    log
}

/// Guards against a group of 129 ranks that replaces its leader every second and never changes its
/// map. It happens when the leader polls every agent itself: 129 agents send 4,128 counts each
/// every 0.26 s, 930 KB/s on a link that carries 750 KB/s, and statuses that a change waits for are
/// lost.
#[gtest]
fn statuses_do_not_fill_the_link_of_the_leader() {
    for case in CASES {
        let log = poll(case);
        let bytes = log.answers as f64 * case.counts_per_rank as f64 * BYTES_PER_COUNT;
        expect_that!(
            bytes / SPAN_MS as f64,
            le(MAX_BYTES_PER_MS),
            "{}: bytes per millisecond",
            case.name
        );
    }
}

/// A leader uses statuses of at most one second, and a shift of demand must be detected soon.
#[gtest]
fn every_rank_is_polled_often() {
    for case in CASES {
        let log = poll(case);
        expect_that!(log.times_ms.len(), eq(usize::from(case.machines)), "{}", case.name);
        for (machine, times_ms) in &log.times_ms {
            let longest = times_ms.windows(2).map(|pair| pair[1] - pair[0]).max();
            let within = some(le(MAX_ROUND_MS + TICK_MS));
            expect_that!(longest, within, "{} {machine}", case.name);
        }
    }
}

/// Guards against a section of a group that goes unheard while one of its instances is frozen. It
/// happens when the same agent collects in each round.
#[gtest]
fn agents_take_turns_as_collector() {
    let case = &CASES[3];
    let sections = Sections::of(&machines(case), case.counts_per_rank);
    let log = poll(case);
    expect_that!(log.collectors.len(), ge(sections.len() * 5));
}

fn status(rank: u16, counts: &[u32]) -> RankStatus {
    RankStatus { counts: CountsSample { unit: 10, counts: counts.to_vec() }, ..open_rank(rank, 3) }
}

fn agent(rank: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + rank))
}

struct CollectionCase {
    name: &'static str,
    counts: &'static [&'static [u32]],
    /// Expected sums, in choices.
    sums: &'static [u32],
    is_complete: bool,
}

/// A collecting agent sends the sum of the choices of its section. An agent that has just started
/// sends no choices.
#[gtest]
fn counts_of_a_section_are_summed() {
    let cases = [
        CollectionCase { name: "no status", counts: &[], sums: &[], is_complete: false },
        CollectionCase {
            name: "two of three",
            counts: &[&[1, 2], &[3, 4]],
            sums: &[40, 60],
            is_complete: false,
        },
        CollectionCase {
            name: "all",
            counts: &[&[1, 2], &[3, 4], &[5, 6]],
            sums: &[90, 120],
            is_complete: true,
        },
        CollectionCase {
            name: "the first agent has just started",
            counts: &[&[], &[3, 4], &[5, 6]],
            sums: &[80, 100],
            is_complete: true,
        },
    ];
    for case in cases {
        let mut collection = StatusCollection::new(BootMs(BEGIN_MS), 7, 3);
        for (rank, counts) in (0..).zip(case.counts) {
            collection.add(agent(rank), status(rank, counts));
        }
        expect_that!(collection.is_complete(), eq(case.is_complete), "{}", case.name);
        let Some(collected) = collection.finish(BootMs(BEGIN_MS + TICK_MS)) else {
            expect_that!(case.counts, is_empty(), "{}", case.name);
            continue;
        };
        expect_that!(collected.section, eq(7));
        let agents: Vec<SocketAddr> = collected.statuses.iter().map(|it| it.0).collect();
        expect_that!(agents, eq(&(0..case.counts.len() as u16).map(agent).collect::<Vec<_>>()));
        let CountsSample { unit, counts } = collected.counts;
        expect_that!(counts.len(), eq(case.sums.len()), "{}", case.name);
        for (count, sum) in counts.iter().zip(case.sums) {
            // Rounding changes a sum by at most half of the unit, which is a quarter of the mean.
            expect_that!((unit * count).abs_diff(*sum), le(unit.div_ceil(2)), "{}", case.name);
        }
    }
}

/// Guards against a leader that waits for a map that all ranks have, or takes an old pass for the
/// current one. It happens when an agent that collected its section freezes for 4 s and then sends
/// the statuses from before the freeze.
#[gtest]
fn statuses_collected_before_a_freeze_are_discarded() {
    for (age_ms, is_sent) in [(0, true), (60, true), (4_000, false)] {
        let mut collection = StatusCollection::new(BootMs(BEGIN_MS), 7, 2);
        collection.add(agent(0), status(0, &[1, 2]));
        let collected = collection.finish(BootMs(BEGIN_MS + age_ms));
        expect_that!(collected.is_some(), eq(is_sent), "after {age_ms} ms");
    }
}
