//! Which agents entries are told of, because nothing is heard of them.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    LastContact, Reachability, SilenceDetector, machines_to_monitor,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Pause between looks.
const LOOK_MS: u64 = 100;

fn machine(index: usize) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(index).unwrap()).into()
}

/// Looks from `from_ms` to `to_ms` at machines, each heard at every look until its moment in `until_ms`;
/// nothing was ever heard of those without one. Gives what was told, with the machine's index.
fn look(
    unheard: &mut SilenceDetector,
    from_ms: u64,
    to_ms: u64,
    until_ms: &[Option<u64>],
) -> Vec<(usize, bool)> {
    let mut told = Vec::new();
    for at_ms in (from_ms..=to_ms).step_by(LOOK_MS as usize) {
        let others: Vec<LastContact> = (0..)
            .zip(until_ms)
            .map(|(index, until_ms)| LastContact {
                machine: machine(index),
                heard_at: until_ms.map(|until_ms| BootMs(until_ms.min(at_ms))),
                replaced_at: None,
            })
            .collect();
        for Reachability { machine: it, is_heard } in unheard.update(BootMs(at_ms), &others) {
            told.push(((0..until_ms.len()).position(|i| machine(i) == it).unwrap(), is_heard));
        }
    }
    told
}

struct Case {
    name: &'static str,
    /// Until when each machine is heard; none if it never was.
    until_ms: &'static [Option<u64>],
    told: &'static [(usize, bool)],
}

const LONG: Option<u64> = Some(1_000_000);

const CASES: &[Case] = &[
    Case { name: "all are heard", until_ms: &[LONG, LONG, LONG], told: &[] },
    Case { name: "one goes silent", until_ms: &[LONG, Some(1_500), LONG], told: &[(1, false)] },
    Case { name: "one never started", until_ms: &[LONG, None, LONG], told: &[] },
    Case {
        name: "two of three, which is rather the own link",
        until_ms: &[Some(1_500), Some(1_500), LONG],
        told: &[],
    },
    Case { name: "lost polls", until_ms: &[LONG, Some(1_800), LONG], told: &[] },
];

/// Symptom: callers leave whose requests wait at a frozen machine, and work is begun for them when it wakes.
///
/// Events: the machine of a rank freezes; nothing that waits there answers or breaks.
///
/// Cause: entries tell silence from a slow group after 1.5 s only, of the 2 s that callers wait.
#[gtest]
fn entries_are_told_of_agents_that_go_silent() {
    for case in CASES {
        let mut unheard = SilenceDetector::default();
        let told = look(&mut unheard, 1_000, 2_100, case.until_ms);
        expect_that!(told, eq(case.told), "{}", case.name);
    }
}

/// It is said again while the silence lasts, and taken back when the agent is heard.
#[gtest]
fn what_was_told_is_kept_up_and_taken_back() {
    let mut unheard = SilenceDetector::default();
    let silent = [LONG, Some(1_000)];
    let told = look(&mut unheard, 1_000, 4_000, &silent);
    expect_that!(told, elements_are![eq(&(1, false)), eq(&(1, false))]);
    expect_that!(look(&mut unheard, 4_100, 4_500, &[LONG, LONG]), elements_are![eq(&(1, true))]);
}

/// Symptom: a machine that wakes tells entries that all others are silent.
///
/// Events: the leader's own machine freezes for 4 s; when it wakes, what it heard last is 4 s old.
///
/// Cause: silence that is counted while the one who listens sleeps.
#[gtest]
fn a_leader_that_has_slept_tells_nothing() {
    let mut unheard = SilenceDetector::default();
    let _ = look(&mut unheard, 1_000, 2_000, &[LONG]);
    expect_that!(look(&mut unheard, 6_000, 6_300, &[Some(2_000)]), is_empty());
}

/// Symptom: entries are told of a frozen leader half a second after another one has taken its place.
///
/// Events: a leader goes silent while a rank holds a pass for it; the agent beside that rank, which it asked
/// every 20 ms, takes its place after 0.1 s.
///
/// Cause: the new leader listens for as long as to any other agent, though it knows already.
#[gtest]
fn a_leader_that_was_given_up_is_told_of_at_once() {
    let mut unheard = SilenceDetector::default();
    let given_up = LastContact {
        machine: machine(0),
        heard_at: Some(BootMs(1_000)),
        replaced_at: Some(BootMs(1_100)),
    };
    let told = unheard.update(BootMs(1_120), &[given_up]);
    expect_that!(told, elements_are![eq(&Reachability { machine: machine(0), is_heard: false })]);
    let woken = LastContact { heard_at: Some(BootMs(5_000)), ..given_up };
    let told = unheard.update(BootMs(5_010), &[woken]);
    expect_that!(told, elements_are![eq(&Reachability { machine: machine(0), is_heard: true })]);
}

struct Group {
    name: &'static str,
    /// Machines of the agents of the group, by rank.
    ranks: &'static [usize],
    given_up: Option<usize>,
    heard: &'static [usize],
}

const OWN: usize = 0;

const GROUPS: &[Group] = &[
    Group {
        name: "the own machine is not listened to",
        ranks: &[0, 1, 2],
        given_up: None,
        heard: &[1, 2],
    },
    Group { name: "two ranks on one machine", ranks: &[0, 1, 1], given_up: None, heard: &[1] },
    Group {
        name: "a leader that was never asked",
        ranks: &[0, 2],
        given_up: Some(1),
        heard: &[2, 1],
    },
    Group { name: "nobody has answered yet", ranks: &[], given_up: None, heard: &[] },
];

/// Symptom: the busiest agent of a fleet of 300 machines calls entries 480 times a second.
///
/// Events: a service has many groups; a leader hears agents of another one now and then, while it collects.
///
/// Cause: all machines of the service listened to as if they were of the own group, found silent, and told of.
#[gtest]
fn a_leader_listens_to_its_own_group() {
    for group in GROUPS {
        let agent = |index: &usize| SocketAddr::from((machine(*index), 7_340));
        let ranks = (0..).zip(group.ranks.iter().map(agent)).collect();
        let machines = machines_to_monitor(&ranks, group.given_up.map(machine), machine(OWN));
        let expected: Vec<IpAddr> = group.heard.iter().copied().map(machine).collect();
        expect_that!(machines.into_iter().collect::<Vec<_>>(), eq(&expected), "{}", group.name);
    }
}
