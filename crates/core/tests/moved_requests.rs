//! Plays a busy group one of whose machines freezes, and checks what callers of that machine get.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, RequestKind, Route, escalated_urgency, pass_wait_deadline, patience_used, urgency,
};

/// A pass of a group whose demand has just shifted.
const PASS_MS: u64 = 200;
/// Requests that a rank begins in a pass.
const BEGUN_IN_PASS: usize = 2;
/// Time between two fresh requests that reach a rank: as many as it begins, so that its queue stays as it is.
const FRESH_EVERY_MS: u64 = PASS_MS / BEGUN_IN_PASS as u64;
/// Fresh requests in the queue of a rank when the machine freezes.
const QUEUED: u64 = 6;
/// Time after which callers leave that got no event.
const PATIENCE_MS: u64 = 2_000;
const TARGET_MS: u64 = 500;
/// Priority of all of them, and the lowest of the catalog.
const PRIORITY: u8 = 1;
const LOWEST_PRIORITY: u8 = 2;
const PLAY_MS: u64 = 4_000;

struct Case {
    name: &'static str,
    /// How long ago its caller sent the request when its rank is found to be frozen.
    asked_before_ms: u64,
}

const CASES: &[Case] = &[
    Case { name: "sent to the rank at once", asked_before_ms: 600 },
    Case { name: "waited for a pass before", asked_before_ms: 850 },
    Case { name: "waited for as long as a late one does", asked_before_ms: 1_100 },
];

struct Waiting {
    asked_at: BootMs,
    at_rank_from: BootMs,
    is_moved: bool,
}

fn route() -> Route {
    Route {
        name: "stream".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::ResumableStream,
        backends: Vec::new(),
        max_attempts: 2,
        timeout_ms: 8_000,
        target_latency_ms: TARGET_MS,
        target_gap_ms: Some(120),
        priority: PRIORITY,
        public: true,
    }
}

impl Waiting {
    /// Its place in the rank's queue: urgency as of its arrival there, then the time of that.
    fn place(&self, route: &Route) -> (u8, u64) {
        let used_ms = self.at_rank_from.since(self.asked_at);
        let urgency = urgency(PRIORITY, LOWEST_PRIORITY, used_ms, route, false);
        let patience_used = patience_used(route, self.asked_at, self.at_rank_from);
        (
            escalated_urgency(urgency, LOWEST_PRIORITY, patience_used, self.is_moved),
            self.at_rank_from.0,
        )
    }
}

/// When the moved request begins at its second rank, after its caller asked.
fn begun_after_ms(case: &Case) -> u64 {
    let route = route();
    let found_at = BootMs(10_000);
    let asked_at = found_at.before(case.asked_before_ms);
    let moved = Waiting {
        asked_at,
        at_rank_from: pass_wait_deadline(&route, found_at, true, true),
        is_moved: true,
    };
    let fresh = |at: BootMs| Waiting { asked_at: at, at_rank_from: at, is_moved: false };
    let queued = (1..=QUEUED).map(|it| fresh(found_at.before(it * FRESH_EVERY_MS)));
    let mut waiting: Vec<Waiting> = queued.chain([moved]).collect();
    for elapsed_ms in (0..PLAY_MS).step_by(FRESH_EVERY_MS as usize) {
        let now = found_at.after(elapsed_ms);
        waiting.push(fresh(now));
        if !elapsed_ms.is_multiple_of(PASS_MS) {
            continue;
        }
        waiting.sort_by_key(|it| (it.at_rank_from > now, it.place(&route)));
        let begun = waiting.drain(..BEGUN_IN_PASS.min(waiting.len()));
        if begun.into_iter().any(|it| it.is_moved && it.at_rank_from <= now) {
            return now.since(asked_at);
        }
    }
    PLAY_MS
}

// Guards against callers that leave though their request was moved away from a frozen machine: it waited for a
// pass once more and lay behind fresh requests until its caller had no patience left.
#[gtest]
fn a_moved_request_begins_before_its_caller_leaves() {
    for case in CASES {
        expect_that!(begun_after_ms(case), lt(PATIENCE_MS - PASS_MS), "{}", case.name);
    }
}

// Guards against fresh requests that wait behind late ones whose callers have patience left.
#[gtest]
fn only_callers_about_to_leave_are_hastened() {
    let late = urgency(PRIORITY, LOWEST_PRIORITY, TARGET_MS, &route(), false);
    let fresh = urgency(PRIORITY, LOWEST_PRIORITY, 0, &route(), false);
    expect_that!(escalated_urgency(late, LOWEST_PRIORITY, 0.3, false), gt(fresh));
    expect_that!(escalated_urgency(late, LOWEST_PRIORITY, 0.6, false), eq(fresh));
    expect_that!(escalated_urgency(late, LOWEST_PRIORITY, 0.3, true), eq(fresh));
    expect_that!(
        escalated_urgency(late, LOWEST_PRIORITY, 0.6, false),
        gt(urgency(0, LOWEST_PRIORITY, 900, &route(), false))
    );
    expect_that!(
        escalated_urgency(7, 9, 0.9, true),
        eq(7),
        "many priorities have one urgency each"
    );
}
