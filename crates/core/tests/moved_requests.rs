//! Simulates a busy group with an instance that freezes, and checks when requests moved away from
//! it begin.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, RequestKind, Route, escalated_urgency, moved_urgency, pass_wait_deadline,
    patience_used, urgency,
};

/// Duration of a pass of a group whose demand has just shifted.
const PASS_MS: u64 = 200;
/// Requests that a rank begins in a pass.
const BEGUN_PER_PASS: usize = 2;
/// Time between two new requests at a rank. As many arrive as it begins, so its queue keeps its
/// length.
const NEW_EVERY_MS: u64 = PASS_MS / BEGUN_PER_PASS as u64;
/// New requests in the queue of a rank when the other instance freezes.
const QUEUED: u64 = 6;
/// Time after which callers without an event give up.
const PATIENCE_MS: u64 = 2_000;
const TARGET_MS: u64 = 500;
/// Priority of all requests.
const PRIORITY: u8 = 1;
/// The least urgent priority of the catalog.
const LOWEST_PRIORITY: u8 = 2;
const DURATION_MS: u64 = 4_000;

struct Case {
    name: &'static str,
    /// Age of the request when its rank is found to be frozen.
    age_ms: u64,
}

const CASES: &[Case] = &[
    Case { name: "sent to the rank at once", age_ms: 600 },
    Case { name: "waited for a pass first", age_ms: 850 },
    Case { name: "waited as long as a late request", age_ms: 1_100 },
];

struct Waiting {
    sent_at: BootMs,
    queued_at: BootMs,
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
    /// Returns its sort key in the rank's queue: urgency at arrival, then arrival time.
    fn queue_key(&self, route: &Route) -> (u8, u64) {
        let used_ms = self.queued_at.since(self.sent_at);
        let urgency = urgency(PRIORITY, LOWEST_PRIORITY, used_ms, route, false);
        let patience_used = patience_used(route, self.sent_at, self.queued_at);
        (
            escalated_urgency(urgency, LOWEST_PRIORITY, patience_used, self.is_moved),
            self.queued_at.0,
        )
    }
}

/// Returns how long after its caller sent it the moved request begins at its second rank.
fn time_to_begin_ms(case: &Case) -> u64 {
    let route = route();
    let found_at = BootMs(10_000);
    let sent_at = found_at.before(case.age_ms);
    let moved = Waiting {
        sent_at,
        queued_at: pass_wait_deadline(&route, found_at, true, true),
        is_moved: true,
    };
    let new = |at: BootMs| Waiting { sent_at: at, queued_at: at, is_moved: false };
    let queued = (1..=QUEUED).map(|it| new(found_at.before(it * NEW_EVERY_MS)));
    let mut waiting: Vec<Waiting> = queued.chain([moved]).collect();
    for elapsed_ms in (0..DURATION_MS).step_by(NEW_EVERY_MS as usize) {
        let now = found_at.after(elapsed_ms);
        waiting.push(new(now));
        if !elapsed_ms.is_multiple_of(PASS_MS) {
            continue;
        }
        waiting.sort_by_key(|it| (it.queued_at > now, it.queue_key(&route)));
        let begun = waiting.drain(..BEGUN_PER_PASS.min(waiting.len()));
        if begun.into_iter().any(|it| it.is_moved && it.queued_at <= now) {
            return now.since(sent_at);
        }
    }
    DURATION_MS
}

/// Guards against callers that give up although their request was moved away from a frozen
/// instance.
///
/// The request must not wait for a pass once more, nor be queued behind new requests until its
/// caller's patience is used up.
#[gtest]
fn a_moved_request_begins_before_its_caller_gives_up() {
    for case in CASES {
        expect_that!(time_to_begin_ms(case), lt(PATIENCE_MS - PASS_MS), "{}", case.name);
    }
}

/// Guards against new requests that wait behind late ones whose callers have patience left.
#[gtest]
fn urgency_is_raised_only_for_callers_about_to_give_up() {
    let late = urgency(PRIORITY, LOWEST_PRIORITY, TARGET_MS, &route(), false);
    let new = urgency(PRIORITY, LOWEST_PRIORITY, 0, &route(), false);
    expect_that!(escalated_urgency(late, LOWEST_PRIORITY, 0.3, false), gt(new));
    expect_that!(escalated_urgency(late, LOWEST_PRIORITY, 0.6, false), eq(new));
    expect_that!(escalated_urgency(late, LOWEST_PRIORITY, 0.3, true), eq(new));
    expect_that!(
        escalated_urgency(late, LOWEST_PRIORITY, 0.6, false),
        gt(urgency(0, LOWEST_PRIORITY, 900, &route(), false))
    );
    expect_that!(
        escalated_urgency(7, 9, 0.9, true),
        eq(7),
        "with many priorities each has one urgency"
    );
}

struct MovedCase {
    name: &'static str,
    priority: u8,
    lowest_priority: u8,
    /// Whether the moved request goes before new ones of its priority.
    goes_first: bool,
}

/// Guards against moved requests that wait behind new ones at their second backend server until
/// their callers give up.
#[gtest]
fn a_moved_request_goes_before_new_ones_of_its_priority() {
    let cases = [
        MovedCase { name: "middle priority", priority: 1, lowest_priority: 2, goes_first: true },
        MovedCase { name: "lowest priority", priority: 4, lowest_priority: 4, goes_first: true },
        MovedCase { name: "highest priority", priority: 0, lowest_priority: 2, goes_first: false },
        MovedCase { name: "many priorities", priority: 7, lowest_priority: 9, goes_first: false },
    ];
    for case in cases {
        let MovedCase { name, priority, lowest_priority, goes_first } = case;
        let of_new = |priority| urgency(priority, lowest_priority, 0, &route(), false);
        let moved = moved_urgency(priority, lowest_priority);
        expect_that!(moved, le(of_new(priority)), "{name}");
        expect_that!(moved < of_new(priority), eq(goes_first), "{name}");
        if let Some(higher) = priority.checked_sub(1) {
            expect_that!(moved, gt(of_new(higher)), "{name}: a higher priority goes first");
        }
    }
}
