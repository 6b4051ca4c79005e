//! Tests of which agents are reported to the entries as silent.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    LastContact, Reachability, SilenceDetector, machines_to_monitor,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Time in which a leader polls each agent once.
const ROUND_MS: u64 = 100;

/// Interval between two updates.
const UPDATE_MS: u64 = 100;

fn machine(index: usize) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, u8::try_from(index).unwrap()).into()
}

/// Runs updates from `from_ms` to `to_ms`. Each instance is heard at every update until its time in
/// `heard_until_ms`, or never if it has none. Returns the reports with the index of the instance.
fn run_updates(
    detector: &mut SilenceDetector,
    from_ms: u64,
    to_ms: u64,
    heard_until_ms: &[Option<u64>],
) -> Vec<(usize, bool)> {
    let mut reports = Vec::new();
    for at_ms in (from_ms..=to_ms).step_by(UPDATE_MS as usize) {
        let others: Vec<LastContact> = (0..)
            .zip(heard_until_ms)
            .map(|(index, heard_until_ms)| LastContact {
                machine: machine(index),
                heard_at: heard_until_ms.map(|heard_until_ms| BootMs(heard_until_ms.min(at_ms))),
                replaced_at: None,
            })
            .collect();
        for Reachability { machine: it, is_heard } in
            detector.update(BootMs(at_ms), &others, ROUND_MS)
        {
            reports.push((
                (0..heard_until_ms.len()).position(|i| machine(i) == it).unwrap(),
                is_heard,
            ));
        }
    }
    reports
}

struct Case {
    name: &'static str,
    /// Until when each instance is heard; none if it never was.
    heard_until_ms: &'static [Option<u64>],
    reports: &'static [(usize, bool)],
}

const ALWAYS: Option<u64> = Some(1_000_000);

const CASES: &[Case] = &[
    Case { name: "all agents respond", heard_until_ms: &[ALWAYS, ALWAYS, ALWAYS], reports: &[] },
    Case {
        name: "one agent goes silent",
        heard_until_ms: &[ALWAYS, Some(1_500), ALWAYS],
        reports: &[(1, false)],
    },
    Case { name: "one agent never started", heard_until_ms: &[ALWAYS, None, ALWAYS], reports: &[] },
    Case {
        name: "two of three are silent, so the local link is suspect",
        heard_until_ms: &[Some(1_500), Some(1_500), ALWAYS],
        reports: &[],
    },
    Case { name: "lost polls", heard_until_ms: &[ALWAYS, Some(1_800), ALWAYS], reports: &[] },
];

/// Guards against callers that abandon requests queued at a frozen instance, which begins to work
/// on them when it resumes. Entries alone detect a silent instance after 1.5 s of the 2 s that
/// callers wait.
#[gtest]
fn silent_agents_are_reported() {
    for case in CASES {
        let mut detector = SilenceDetector::default();
        let reports = run_updates(&mut detector, 1_000, 2_100, case.heard_until_ms);
        expect_that!(reports, eq(case.reports), "{}", case.name);
    }
}

/// A report is repeated while the silence lasts, and withdrawn when the agent is heard again.
#[gtest]
fn reports_are_repeated_and_withdrawn() {
    let mut detector = SilenceDetector::default();
    let silent = [ALWAYS, Some(1_000)];
    let reports = run_updates(&mut detector, 1_000, 4_000, &silent);
    expect_that!(reports, elements_are![eq(&(1, false)), eq(&(1, false))]);
    expect_that!(
        run_updates(&mut detector, 4_100, 4_500, &[ALWAYS, ALWAYS]),
        elements_are![eq(&(1, true))]
    );
}

/// Guards against a leader that reports all other agents as silent when its own instance resumes
/// after a freeze of 4 s, because silence was counted during the freeze.
#[gtest]
fn a_leader_that_was_suspended_reports_nothing() {
    let mut detector = SilenceDetector::default();
    let _ = run_updates(&mut detector, 1_000, 2_000, &[ALWAYS]);
    expect_that!(run_updates(&mut detector, 6_000, 6_300, &[Some(2_000)]), is_empty());
}

/// Guards against a report of a frozen leader that comes half a second after another agent has
/// replaced it. The agent of the holder polls that leader every 20 ms and takes over after 0.1 s,
/// so it need not wait as long as for other agents.
#[gtest]
fn a_replaced_leader_is_reported_at_once() {
    let mut detector = SilenceDetector::default();
    let replaced = LastContact {
        machine: machine(0),
        heard_at: Some(BootMs(1_000)),
        replaced_at: Some(BootMs(1_100)),
    };
    let reports = detector.update(BootMs(1_120), &[replaced], ROUND_MS);
    expect_that!(
        reports,
        elements_are![eq(&Reachability { machine: machine(0), is_heard: false })]
    );
    let woken = LastContact { heard_at: Some(BootMs(5_000)), ..replaced };
    let reports = detector.update(BootMs(5_010), &[woken], ROUND_MS);
    expect_that!(reports, elements_are![eq(&Reachability { machine: machine(0), is_heard: true })]);
}

/// How long an agent goes unheard whose polls are lost for a while.
struct RoundCase {
    round_ms: u64,
    silent_ms: u64,
    is_reported: bool,
}

const ROUND_CASES: &[RoundCase] = &[
    RoundCase { round_ms: 60, silent_ms: 300, is_reported: false },
    RoundCase { round_ms: 100, silent_ms: 300, is_reported: false },
    RoundCase { round_ms: 100, silent_ms: 400, is_reported: true },
    RoundCase { round_ms: 137, silent_ms: 420, is_reported: false },
    RoundCase { round_ms: 200, silent_ms: 600, is_reported: false },
    RoundCase { round_ms: 200, silent_ms: 800, is_reported: true },
];

/// Guards against healthy agents of a large group that are reported as silent whenever two polls in a
/// row are lost, since each is polled less often there.
#[gtest]
fn an_agent_is_silent_after_some_rounds_of_polls() {
    for RoundCase { round_ms, silent_ms, is_reported } in ROUND_CASES {
        let mut detector = SilenceDetector::default();
        let mut reports = Vec::new();
        for at_ms in (1_000..=2_000 + silent_ms).step_by(UPDATE_MS as usize) {
            let heard_at = Some(BootMs(at_ms.min(2_000)));
            let others = [LastContact { machine: machine(0), heard_at, replaced_at: None }];
            reports.extend(detector.update(BootMs(at_ms), &others, *round_ms));
        }
        expect_that!(!reports.is_empty(), eq(*is_reported), "{round_ms}, {silent_ms} ms");
    }
}

struct GroupCase {
    name: &'static str,
    /// Instances of the agents of the group, by rank.
    ranks: &'static [usize],
    replaced: Option<usize>,
    monitored: &'static [usize],
}

const OWN: usize = 0;

const GROUP_CASES: &[GroupCase] = &[
    GroupCase {
        name: "the own instance is not monitored",
        ranks: &[0, 1, 2],
        replaced: None,
        monitored: &[1, 2],
    },
    GroupCase {
        name: "two ranks on one instance",
        ranks: &[0, 1, 1],
        replaced: None,
        monitored: &[1],
    },
    GroupCase {
        name: "a replaced leader that was never polled",
        ranks: &[0, 2],
        replaced: Some(1),
        monitored: &[2, 1],
    },
    GroupCase { name: "no agent has answered yet", ranks: &[], replaced: None, monitored: &[] },
];

/// Guards against an agent in a fleet of 300 instances that calls entries 480 times per second. It
/// happens when a leader, which occasionally hears agents of other groups, monitors all instances
/// of the service and reports those of other groups as silent.
#[gtest]
fn a_leader_monitors_only_its_own_group() {
    for group in GROUP_CASES {
        let agent = |index: &usize| SocketAddr::from((machine(*index), 7_340));
        let ranks = (0..).zip(group.ranks.iter().map(agent)).collect();
        let machines = machines_to_monitor(&ranks, group.replaced.map(machine), machine(OWN));
        let expected: Vec<IpAddr> = group.monitored.iter().copied().map(machine).collect();
        expect_that!(machines.into_iter().collect::<Vec<_>>(), eq(&expected), "{}", group.name);
    }
}
