//! Tests of which instances a leader polls and reads in a service with many groups.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    PollSchedule, PollScope, Sections, machines_of_group, servers_to_read,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const RANKS: u16 = 129;
const COUNTS_PER_RANK: usize = 16 * 258;
const AGENT_PORT: u16 = 7_340;
const SERVER_PORT: u16 = 8_000;
const TICK_MS: u64 = 20;
const BEGIN_MS: u64 = 10_000;
const SPAN_MS: u64 = 5_000;

/// Returns the instance of a rank of a group.
fn machine(group: u16, rank: u16) -> IpAddr {
    let [high, low] = (group * RANKS + rank).to_be_bytes();
    Ipv4Addr::new(10, 0, high, low).into()
}

fn machines(groups: u16) -> Vec<(String, IpAddr)> {
    let of_group = |group| (0..RANKS).map(move |rank| ("a".to_owned(), machine(group, rank)));
    (0..groups).flat_map(of_group).collect()
}

fn agents(group: u16, known: u16) -> IndexMap<u16, SocketAddr> {
    let agent = |rank| (rank, SocketAddr::new(machine(group, rank), AGENT_PORT));
    (0..known).map(agent).collect()
}

/// Guards against polls that grow with the number of groups times that of instances, and against
/// agents that are polled the more seldom the more groups there are.
#[gtest]
fn polls_of_an_agent_do_not_depend_on_the_number_of_groups() {
    for groups in [1, 2, 5, 10] {
        let agents = agents(0, RANKS);
        let mut scope = PollScope::default();
        let mut polls = PollSchedule::default();
        let mut polled: IndexMap<IpAddr, usize> = IndexMap::new();
        for now in (BEGIN_MS..BEGIN_MS + SPAN_MS).step_by(TICK_MS as usize).map(BootMs) {
            expect_false!(scope.is_whole_service(now, &agents, usize::from(RANKS), false));
            let machines = machines_of_group(machines(groups), &agents);
            let sections = Sections::of(&machines, COUNTS_PER_RANK);
            for section in polls.due(now, &sections, false) {
                for machine in section.others.iter().chain([&section.collector]) {
                    *polled.entry(*machine).or_default() += 1;
                }
            }
        }
        let case = format!("{groups} groups");
        expect_that!(polled.len(), eq(usize::from(RANKS)), "{case}");
        let rounds = (SPAN_MS / 100) as usize;
        for (machine, polls) in polled {
            expect_that!(polls, all!(ge(rounds - 2), le(rounds + 2)), "{case}, {machine}");
        }
    }
}

struct ScopeCase {
    name: &'static str,
    /// Ranks whose agents are known.
    known: u16,
    has_silent_ranks: bool,
    /// Most ticks of each 100 in which all instances of the service are polled.
    least_percent: usize,
    most_percent: usize,
}

const SCOPE_CASES: &[ScopeCase] = &[
    ScopeCase {
        name: "a leader that has just begun",
        known: 0,
        has_silent_ranks: true,
        least_percent: 100,
        most_percent: 100,
    },
    ScopeCase {
        name: "an agent was never heard",
        known: RANKS - 1,
        has_silent_ranks: true,
        least_percent: 100,
        most_percent: 100,
    },
    ScopeCase {
        name: "all are heard",
        known: RANKS,
        has_silent_ranks: false,
        least_percent: 0,
        most_percent: 0,
    },
    ScopeCase {
        name: "one has gone silent",
        known: RANKS,
        has_silent_ranks: true,
        least_percent: 10,
        most_percent: 25,
    },
];

/// Guards against a rank that restarts on another instance and is not found there.
#[gtest]
fn a_missing_rank_is_looked_for_on_all_instances() {
    for case in SCOPE_CASES {
        let agents = agents(0, case.known);
        let mut scope = PollScope::default();
        let times = (BEGIN_MS..BEGIN_MS + SPAN_MS).step_by(TICK_MS as usize).map(BootMs);
        let whole: Vec<bool> = times
            .map(|now| {
                let ranks = usize::from(RANKS);
                scope.is_whole_service(now, &agents, ranks, case.has_silent_ranks)
            })
            .collect();
        let percent = whole.iter().filter(|it| **it).count() * 100 / whole.len();
        let expected = all!(ge(case.least_percent), le(case.most_percent));
        expect_that!(percent, expected, "{}", case.name);
        if case.least_percent > 0 {
            expect_true!(whole[0], "{}: at once", case.name);
        }
    }
}

struct ReadCase {
    name: &'static str,
    /// Ranks whose agents were heard.
    known: u16,
    silent: &'static [u16],
    most: usize,
}

const READ_CASES: &[ReadCase] = &[
    ReadCase { name: "one was heard", known: RANKS, silent: &[7], most: 5 },
    ReadCase { name: "several were heard", known: RANKS, silent: &[7, 8, 9], most: 7 },
    ReadCase { name: "one was never heard", known: RANKS - 1, silent: &[RANKS - 1], most: 32 },
    ReadCase { name: "none was heard", known: 0, silent: &[0, 1], most: 32 },
];

/// Guards against an agent that opens a thousand connections at once: one rank of its group is silent,
/// and it reads all servers of the service, since it never hears those of other groups.
#[gtest]
fn few_servers_are_read_as_an_agent_goes_silent() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for groups in [1, 5, 10] {
        let servers = machines(groups);
        let servers: Vec<SocketAddr> =
            servers.iter().map(|(_, it)| SocketAddr::new(*it, SERVER_PORT)).collect();
        for case in READ_CASES {
            let agents = agents(0, case.known);
            let read = servers_to_read(case.silent, &agents, &servers, &mut random);
            let name = format!("{groups} groups, {}", case.name);
            expect_that!(read.len(), le(case.most), "{name}");
            for rank in case.silent.iter().filter(|rank| **rank < case.known) {
                let server = SocketAddr::new(machine(0, *rank), SERVER_PORT);
                expect_true!(read.contains(&server), "{name}: rank {rank}");
            }
        }
    }
}
