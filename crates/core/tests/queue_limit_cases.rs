//! Tests how many streams of an entry may wait at the backend servers of a service, in situations
//! where slots, routes or entries are not what they seem.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BackendServer, BackendState, BackendTable, BootMs, QueueLimit, QueueTarget, RequestKind, Route,
    moved_urgency, urgency,
};
use std::collections::VecDeque;
use std::net::SocketAddr;

const SERVICE: &str = "svc";
/// Start of each case, long after the boot.
const START: BootMs = BootMs(1_000_000);
const STEP_MS: u64 = 10;

/// Sends streams until the limit allows no more, and returns how many were sent.
fn send_all(limit: &mut QueueLimit, target: QueueTarget, most: usize, now: BootMs) -> usize {
    let is_sent = |_: &usize| {
        let admits = limit.admits(SERVICE, target, now);
        if admits {
            limit.note_sent(SERVICE, now);
        }
        admits
    };
    (0..most).take_while(is_sent).count()
}

fn route(target_ms: u64) -> Route {
    Route {
        name: "stream".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::ResumableStream,
        backends: Vec::new(),
        max_attempts: 2,
        timeout_ms: 8_000,
        target_latency_ms: target_ms,
        target_gap_ms: Some(120),
        priority: 1,
        public: true,
    }
}

/// A group without any work, used by several entries.
struct IdleGroup {
    name: &'static str,
    servers: usize,
    slots: u32,
    entries: usize,
    /// Time between two requests of the entry; each begins after 100 ms and runs for 2 s.
    every_ms: u64,
}

/// Guards against requests that are refused although the group is idle, because an entry's share of
/// a small group is less than two slots. A refusal comes 50 ms after the arrival.
#[gtest]
fn small_idle_group_takes_requests() {
    let cases = [
        IdleGroup { name: "few entries", servers: 1, slots: 8, entries: 2, every_ms: 200 },
        IdleGroup {
            name: "one slot for each entry",
            servers: 1,
            slots: 8,
            entries: 8,
            every_ms: 200,
        },
        IdleGroup {
            name: "more entries than slots",
            servers: 1,
            slots: 8,
            entries: 16,
            every_ms: 500,
        },
    ];
    for case in cases {
        let mut limit = QueueLimit::default();
        let mut begun_at: VecDeque<BootMs> = VecDeque::new();
        let mut refused = 0;
        for at_ms in (0..2_000).step_by(case.every_ms as usize) {
            let at = START.after(at_ms);
            while begun_at.front().is_some_and(|begun| begun.since(START) <= at_ms) {
                limit.note_begun(SERVICE, 100, begun_at.pop_front().unwrap_or(at));
            }
            let begun = (at_ms / case.every_ms) as u32;
            let target = QueueTarget::new(500, case.servers, case.slots, case.entries, begun);
            if [0, 20, 40].iter().any(|held_ms| limit.admits(SERVICE, target, at.after(*held_ms))) {
                limit.note_sent(SERVICE, at.after(40));
                begun_at.push_back(at.after(140));
            } else {
                refused += 1;
            }
        }
        expect_that!(refused, eq(0), "{}: refused of {}", case.name, 2_000 / case.every_ms);
    }
}

/// Guards against refusals of requests that arrive together at an idle group. Of each entry four open
/// requests are always admitted; none begins before the wait for capacity ends.
#[gtest]
fn known_fault_an_idle_group_refuses_requests_that_arrive_together() {
    // Backend servers, slots of all together, and entries.
    for (servers, slots, entries) in [(8, 64, 2), (8, 64, 8), (1, 8, 2), (1, 8, 16)] {
        let target = QueueTarget::new(500, servers, slots, entries, 0);
        let mut limit = QueueLimit::default();
        let sent: usize =
            [0, 20, 40].iter().map(|ms| send_all(&mut limit, target, 4, START.after(*ms))).sum();
        expect_that!(sent, ge(4), "{servers} backend servers, {slots} slots, {entries} entries");
    }
}

/// An entry with little work at a group whose other slots are used by other entries.
struct SharedGroup {
    name: &'static str,
    entries: usize,
    /// Time between two streams of the entry that begin.
    begins_every_ms: u64,
    /// Time between two requests of the entry.
    every_ms: u64,
    stream_ms: u64,
}

/// Guards against a queue of seconds at the ranks of a full group, because an entry takes slots for
/// free that the streams of other entries use.
#[gtest]
fn known_fault_slots_that_other_entries_use_count_as_free() {
    let cases = [
        SharedGroup {
            name: "quarter of its share",
            entries: 8,
            begins_every_ms: 100,
            every_ms: 50,
            stream_ms: 1_600,
        },
        SharedGroup {
            name: "little of its share",
            entries: 8,
            begins_every_ms: 250,
            every_ms: 100,
            stream_ms: 1_600,
        },
        SharedGroup {
            name: "alone, as it knows no peer",
            entries: 1,
            begins_every_ms: 100,
            every_ms: 50,
            stream_ms: 1_600,
        },
    ];
    for case in cases {
        let mut limit = QueueLimit::default();
        let (mut waiting, mut running) = (VecDeque::new(), VecDeque::new());
        let (mut longest_ms, mut longest_queue) = (0, 0);
        for at_ms in (0..20_000).step_by(STEP_MS as usize) {
            let now = START.after(at_ms);
            running.retain(|begun: &BootMs| now.since(*begun) < case.stream_ms);
            if at_ms.is_multiple_of(case.begins_every_ms)
                && let Some(sent) = waiting.pop_front()
            {
                let waited_ms = now.since(sent);
                limit.note_begun(SERVICE, waited_ms, now);
                running.push_back(now);
                longest_ms = longest_ms.max(if at_ms > 10_000 { waited_ms } else { 0 });
            }
            let target = QueueTarget::new(500, 64, 512, case.entries, running.len() as u32);
            if at_ms.is_multiple_of(case.every_ms) && limit.admits(SERVICE, target, now) {
                limit.note_sent(SERVICE, now);
                waiting.push_back(now);
            }
            longest_queue = longest_queue.max(waiting.len());
        }
        expect_that!(longest_ms, le(700), "{}: {longest_queue} waited", case.name);
    }
}

/// Two routes to one service, the first of which uses it first.
struct TwoRoutes {
    name: &'static str,
    first_target_ms: u64,
    second_target_ms: u64,
}

/// Guards against a route whose requests are all refused while those of a route with a longer
/// target fill the queues that both share.
#[gtest]
fn routes_with_other_targets_get_their_part() {
    let cases = [
        TwoRoutes { name: "same target", first_target_ms: 500, second_target_ms: 500 },
        TwoRoutes { name: "longer target first", first_target_ms: 2_000, second_target_ms: 500 },
        TwoRoutes { name: "much longer", first_target_ms: 10_000, second_target_ms: 500 },
    ];
    for case in cases {
        let mut limit = QueueLimit::default();
        let mut waiting = VecDeque::new();
        let mut sent = [0, 0];
        for at_ms in (0..30_000).step_by(STEP_MS as usize) {
            let now = START.after(at_ms);
            if at_ms.is_multiple_of(50)
                && let Some(at) = waiting.pop_front()
            {
                limit.note_begun(SERVICE, now.since(at), now);
            }
            // Twice as many requests as begin, in turn of both routes. No slot is free.
            if at_ms % 50 >= 20 {
                continue;
            }
            let index = usize::from(at_ms % 20 != 0);
            let target_ms = [case.first_target_ms, case.second_target_ms][index];
            let target = QueueTarget::new(target_ms, 8, 64, 2, 32);
            if limit.admits(SERVICE, target, now) {
                limit.note_sent(SERVICE, now);
                waiting.push_back(now);
                sent[index] += usize::from(at_ms >= 10_000);
            }
        }
        expect_that!(sent[1] * 4, ge(sent[0]), "{}: sent {sent:?}", case.name);
    }
}

/// Guards against a moved request that waits behind new ones of its priority once more.
#[gtest]
fn known_fault_a_moved_request_of_the_highest_priority_has_no_precedence() {
    for (priority, lowest) in [(0, 2), (1, 2), (2, 2), (1, 4), (4, 4)] {
        let new = urgency(priority, lowest, 0, &route(500), false);
        let moved = moved_urgency(priority, lowest);
        expect_that!(moved, lt(new), "priority {priority} of 0 to {lowest}");
    }
}

/// Guards against moved requests that are as urgent as late ones of a higher priority.
#[gtest]
fn known_fault_a_moved_request_is_level_with_late_ones_of_a_higher_priority() {
    for (priority, lowest) in [(1, 2), (2, 2)] {
        let late = urgency(priority - 1, lowest, 600, &route(500), false);
        let moved = moved_urgency(priority, lowest);
        expect_that!(moved, gt(late), "priority {priority} of 0 to {lowest}");
    }
}

/// Guards against an entry that grows with each stream of a service that is not a group, for which
/// the limit is never asked.
#[gtest]
fn streams_of_other_services_take_no_memory() {
    let mut limit = QueueLimit::default();
    let mut size_after = |streams: u64| {
        for at_ms in 0..streams {
            let now = START.after(at_ms * 1_000);
            limit.note_sent(SERVICE, now);
            limit.note_begun(SERVICE, 1, now);
        }
        format!("{limit:?}").len()
    };
    let few = size_after(100);
    let many = size_after(10_000);
    expect_that!(many, le(2 * few));
}

/// Guards against an entry that fails, or takes the group for full, while a backend server that was
/// not listed for a moment is back: fewer requests would be open than have not begun.
#[gtest]
fn known_fault_open_requests_are_fewer_than_those_not_begun_after_a_gap_in_the_listing() {
    let server = BackendServer {
        id: "one".to_owned(),
        born_ms: 5,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 1)),
        failure_domain: "a".to_owned(),
        slots: 4,
        state: BackendState::Ready,
        listed_at_revision: 0,
    };
    let mut table = BackendTable::new("a");
    table.put(server.clone());
    table.note_sent(&server);
    table.note_stream_sent(&server);
    table.note_stream_begun(&server);
    table.remove("one");
    table.put(server.clone());
    table.note_sent(&server);
    table.note_stream_sent(&server);
    table.note_ended(&server);
    table.note_stream_ended(&server, true);
    expect_that!(table.outstanding(SERVICE), ge(table.not_begun(SERVICE)));
}

/// Waits after a stall of the group.
struct Recovery {
    name: &'static str,
    /// Time between two streams of the entry after the stall.
    every_ms: u64,
}

/// Guards against an entry with little work whose limit stays halved long after a stall.
#[gtest]
fn limit_recovers_from_a_stall_in_time() {
    let cases = [
        Recovery { name: "many streams", every_ms: 50 },
        Recovery { name: "few streams", every_ms: 1_000 },
    ];
    for case in cases {
        let mean_streams = |has_stalled: bool| {
            let mut limit = QueueLimit::default();
            for _ in 0..if has_stalled { 6 } else { 0 } {
                limit.note_sent(SERVICE, START);
                limit.note_begun(SERVICE, 2_500, START);
            }
            for at_ms in (0..20_000).step_by(case.every_ms as usize) {
                limit.note_sent(SERVICE, START.after(at_ms));
                limit.note_begun(SERVICE, 100, START.after(at_ms));
            }
            let target = QueueTarget::new(500, 8, 64, 1, 64);
            limit.admits(SERVICE, target, START.after(20_000));
            limit.mean_streams(SERVICE).unwrap_or_default()
        };
        let (before, after) = (mean_streams(false), mean_streams(true));
        expect_that!(after, ge(0.9 * before), "{}: 20 s after the stall", case.name);
    }
}

/// Guards against streams that all entries together send at once to a group that has just formed,
/// when they see no peers, as after a start or behind a partition.
#[gtest]
fn known_fault_entries_without_peers_fill_all_queues() {
    // Entries, and how many each of them counts as live.
    for (entries, seen) in [(8, 8), (8, 4), (8, 1)] {
        let sent: usize = (0..entries)
            .map(|_| {
                let target = QueueTarget::new(500, 8, 64, seen, 0);
                send_all(&mut QueueLimit::default(), target, 100, START)
            })
            .sum();
        expect_that!(sent, le(64), "{entries} entries, each sees {seen}");
    }
}
