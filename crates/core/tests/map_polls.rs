//! Whom a leader asks, and what an agent that collects for it tells.

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

/// Bytes that a count takes on its way, deflated: 4,128 counts take 1.9 KB.
const BYTES_PER_COUNT: f64 = 0.46;

/// Half of the smallest link in use, 6 Mbit/s. The rest is for orders and their ends.
const MOST_BYTES_PER_MS: f64 = 375.0;

/// Time in which every rank is to be heard once.
const MOST_ROUND_MS: u64 = 200;

/// Pause between two looks of a leader.
const TICK_MS: u64 = 20;

const BEGIN_MS: u64 = 10_000;
/// Long enough that the first round, in which all are asked at once, does not count.
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

/// What a leader asks in [`SPAN_MS`].
struct Asked {
    /// When each machine was asked.
    times_ms: IndexMap<IpAddr, Vec<u64>>,
    /// Answers that the leader hears.
    answers: usize,
    collectors: IndexSet<IpAddr>,
}

fn ask(case: &Case) -> Asked {
    let machines = machines(case);
    let domains: IndexMap<IpAddr, &String> = machines.iter().map(|it| (it.1, &it.0)).collect();
    let sections = Sections::of(&machines, case.counts_per_rank);
    let mut polls = PollSchedule::default();
    let mut asked = Asked { times_ms: IndexMap::new(), answers: 0, collectors: IndexSet::new() };
    for now_ms in (BEGIN_MS..BEGIN_MS + SPAN_MS).step_by(TICK_MS as usize) {
        for it in polls.due(BootMs(now_ms), &sections, false) {
            asked.answers += 1;
            asked.collectors.insert(it.collector);
            for machine in it.others.iter().chain([&it.collector]) {
                assert_eq!(domains[machine], domains[&it.collector], "{}", case.name);
                asked.times_ms.entry(*machine).or_default().push(now_ms);
            }
        }
    }
    asked
}

/// Symptom: a group of 129 ranks changes its leader every second, and its map never.
///
/// Events: 129 agents tell 4,128 counts each every 0.26 s; the leader's link, which carries 750 KB a
/// second, is offered 930 and loses what is over, also the statuses that a change waits for.
///
/// Cause: the leader heard every agent itself, whatever its link takes.
#[gtest]
fn a_leaders_link_is_not_filled_by_statuses() {
    for case in CASES {
        let asked = ask(case);
        let bytes = asked.answers as f64 * case.counts_per_rank as f64 * BYTES_PER_COUNT;
        expect_that!(
            bytes / SPAN_MS as f64,
            le(MOST_BYTES_PER_MS),
            "{}: bytes a millisecond",
            case.name
        );
    }
}

/// A leader decides upon statuses of at most a second, and a shift of demand is to be seen soon.
#[gtest]
fn every_rank_is_heard_often() {
    for case in CASES {
        let asked = ask(case);
        expect_that!(asked.times_ms.len(), eq(usize::from(case.machines)), "{}", case.name);
        for (machine, times_ms) in &asked.times_ms {
            let longest = times_ms.windows(2).map(|pair| pair[1] - pair[0]).max();
            let within = some(le(MOST_ROUND_MS + TICK_MS));
            expect_that!(longest, within, "{} {machine}", case.name);
        }
    }
}

/// Symptom: a section of a group is not heard while one of its machines is frozen.
///
/// Events: the agent that collects for its section freezes for some seconds.
///
/// Cause: the same agent was asked in each round.
#[gtest]
fn agents_collect_by_turns() {
    let case = &CASES[3];
    let sections = Sections::of(&machines(case), case.counts_per_rank);
    let asked = ask(case);
    expect_that!(asked.collectors.len(), ge(sections.len() * 5));
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
    /// The sums, in choices.
    sums: &'static [u32],
    is_complete: bool,
}

/// An agent tells what its section chose together; one that has just started tells no choices.
#[gtest]
fn counts_of_a_section_are_summed() {
    let cases = [
        CollectionCase { name: "nobody", counts: &[], sums: &[], is_complete: false },
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
            name: "the first has just started",
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
            // Rounded to half of the unit, which is a quarter of the mean.
            expect_that!((unit * count).abs_diff(*sum), le(unit.div_ceil(2)), "{}", case.name);
        }
    }
}

/// Symptom: a leader waits for a map that all ranks have, or takes a pass that is over for the present one.
///
/// Events: an agent has heard its section; its machine freezes for 4 s before the leader is told.
///
/// Cause: what ranks had said before the freeze was told as news after it.
#[gtest]
fn what_was_collected_before_a_freeze_is_not_told() {
    for (age_ms, is_told) in [(0, true), (60, true), (4_000, false)] {
        let mut collection = StatusCollection::new(BootMs(BEGIN_MS), 7, 2);
        collection.add(agent(0), status(0, &[1, 2]));
        let collected = collection.finish(BootMs(BEGIN_MS + age_ms));
        expect_that!(collected.is_some(), eq(is_told), "after {age_ms} ms");
    }
}
