//! What callers get while a group is away, and after that.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BackendShare, BootMs, GroupAvailability, InitialTimeouts, OutageDurations, RequestKind, Route,
    SendPermission, event_wait_deadline, patience_used, retry_after_ms, urgency,
};

const OUTAGE: OutageDurations = OutageDurations { stall_ms: 1_500, forming_ms: 600 };

fn route() -> Route {
    Route {
        name: "stream".to_owned(),
        host: "a".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::ResumableStream,
        timeout_ms: 8_000,
        target_latency_ms: 400,
        target_gap_ms: Some(120),
        priority: 1,
        backends: vec![BackendShare { service: "svc".to_owned(), weight: 1 }],
        max_attempts: 2,
        public: false,
    }
}

/// A rank falls silent at 10 s; its group turns requests away from 11.5 s on and is back at 12.2 s.
fn outlook_at(now_ms: u64) -> GroupAvailability {
    let mut outlook = GroupAvailability::default();
    outlook.note_sent(BootMs(1_000), 0);
    for event_ms in (1_100..=10_000).step_by(50) {
        outlook.note_event(BootMs(event_ms));
    }
    if now_ms >= 11_500 {
        expect_true!(outlook.note_rejected(BootMs(11_500)));
    }
    outlook
}

struct StandingCase {
    name: &'static str,
    now_ms: u64,
    open: u32,
    back_at_ms: Option<u64>,
}

/// Symptom: callers are sent back after times that have nothing to do with when the group is back.
///
/// Events: a rank falls silent; all ranks stall; then they turn requests away until the group has formed.
///
/// Cause: one fixed time for all moments of an outage.
#[gtest]
fn a_group_is_expected_back_by_how_it_stands() {
    let cases = [
        StandingCase { name: "passes", now_ms: 10_400, open: 9, back_at_ms: None },
        StandingCase { name: "stalls", now_ms: 10_600, open: 9, back_at_ms: Some(12_250) },
        StandingCase { name: "nothing is open", now_ms: 10_600, open: 0, back_at_ms: None },
        StandingCase { name: "broken", now_ms: 11_600, open: 0, back_at_ms: Some(12_250) },
        StandingCase { name: "overdue", now_ms: 13_500, open: 0, back_at_ms: Some(15_500) },
    ];
    for case in cases {
        let outlook = outlook_at(case.now_ms);
        let expected_back_at = outlook.expected_back_at(BootMs(case.now_ms), case.open, OUTAGE);
        expect_that!(expected_back_at, eq(case.back_at_ms.map(BootMs)), "{}", case.name);
    }
}

/// Symptom: hundreds of callers use up their tries on a group that turns all of them away.
///
/// Events: the group is broken for 0.7 s; 100 requests a second come; then it takes requests again.
///
/// Cause: sending each request to see for itself. One in 80 ms is enough to notice the return.
#[gtest]
fn few_requests_are_sent_to_a_broken_group() {
    let mut outlook = outlook_at(11_500);
    let mut sent = 0;
    for now in (11_500..12_200).step_by(10).map(BootMs) {
        match outlook.send_permission(now, 0, OUTAGE) {
            SendPermission::Probe => {
                sent += 1;
                expect_true!(outlook.note_rejected(now));
            }
            SendPermission::Unavailable { retry_at, .. } => expect_that!(retry_at, gt(now)),
            SendPermission::Allowed => panic!("it is broken"),
        }
    }
    expect_that!(sent, all!(ge(7), le(9)));
    outlook.note_accepted(BootMs(12_225));
    expect_that!(outlook.send_permission(BootMs(12_226), 1, OUTAGE), eq(SendPermission::Allowed));
}

/// Symptom: 2 s after a group is back, callers who come fresh are still late.
///
/// Events: 250 requests that have waited are sent at once; they take every slot, and reading their
/// prompts makes passes three times as long.
///
/// Cause: sending all that there is room for. Late requests get a third of the slots at first.
#[gtest]
fn late_requests_leave_room_after_an_outage() {
    let mut outlook = outlook_at(11_500);
    expect_that!(outlook.late_share(BootMs(11_600), 0.0), eq(1.0), "not back yet");
    outlook.note_event(BootMs(12_200));
    expect_that!(outlook.late_share(BootMs(12_200), 0.0), near(0.35, 0.01));
    expect_that!(outlook.late_share(BootMs(12_700), 0.0), near(0.675, 0.01));
    expect_that!(outlook.late_share(BootMs(13_200), 0.0), eq(1.0));
    expect_that!(outlook.late_share(BootMs(12_200), 0.25), near(0.5, 0.01));
    expect_that!(outlook.late_share(BootMs(12_200), 0.5), eq(1.0), "it waits no longer");
}

/// A group of 63 ranks that has come back, and callers of it.
struct Recovery {
    name: &'static str,
    /// Callers that wait when the group is back, for up to so long.
    waiting: u64,
    waited_ms: u64,
    /// Callers that come fresh in a second.
    fresh_per_s: u64,
    /// Whether all of them can be served before they leave.
    serves_all: bool,
}

const SLOTS: usize = 630;
/// Time that a stream keeps its slot: 23 events, a pass of 0.1 s each.
const STREAM_MS: u64 = 2_300;
const BACK_AT_MS: u64 = 12_200;

impl Recovery {
    /// When each caller came. Those that wait do not look for room in the order in which they came; here the
    /// last ones do so first.
    fn callers(&self) -> Vec<u64> {
        let step_ms = self.waited_ms as f64 / self.waiting as f64;
        let waiting = (0..self.waiting).map(|it| BACK_AT_MS - (it as f64 * step_ms) as u64);
        let fresh = (0..3_000 * self.fresh_per_s / 1_000).map(|it| it * 1_000 / self.fresh_per_s);
        waiting.chain(fresh.map(|after_ms| BACK_AT_MS + after_ms)).collect()
    }

    /// Callers that leave unserved.
    fn play(&self) -> usize {
        let mut outlook = outlook_at(11_500);
        outlook.note_event(BootMs(BACK_AT_MS));
        let route = route();
        let (mut callers, mut ends_ms) = (self.callers(), Vec::new());
        let mut lost = 0;
        for now_ms in (BACK_AT_MS..BACK_AT_MS + 5_000).step_by(10) {
            let now = BootMs(now_ms);
            ends_ms.retain(|end_ms| *end_ms > now_ms);
            callers.retain(|came_ms| {
                let came = BootMs(*came_ms);
                let waited_ms = now.since(came);
                if now_ms < *came_ms {
                    return true;
                }
                if now > event_wait_deadline(&route, came) {
                    lost += 1;
                    return false;
                }
                let is_late = waited_ms >= route.target_latency_ms;
                let used = patience_used(&route, came, now);
                let part = if is_late { outlook.late_share(now, used) } else { 1.0 };
                if ends_ms.len() as f64 >= SLOTS as f64 * part {
                    return true;
                }
                ends_ms.push(now_ms + STREAM_MS);
                false
            });
        }
        lost
    }
}

const RECOVERIES: &[Recovery] = &[
    Recovery {
        name: "after 1 s",
        waiting: 220,
        waited_ms: 1_000,
        fresh_per_s: 220,
        serves_all: true,
    },
    Recovery {
        name: "after 1.5 s",
        waiting: 330,
        waited_ms: 1_500,
        fresh_per_s: 220,
        serves_all: true,
    },
    Recovery {
        name: "more than there are slots for",
        waiting: 900,
        waited_ms: 1_500,
        fresh_per_s: 220,
        serves_all: false,
    },
];

/// Symptom: callers who have waited for a group leave without an answer a moment after it is back, though it
/// has slots free for them.
///
/// Events: a group is away for some seconds; hundreds of callers wait for it, others come.
///
/// Cause: room that is kept for those who come, from those who have no time left to wait for it.
#[gtest]
fn callers_who_have_waited_are_served_before_they_leave() {
    for recovery in RECOVERIES {
        let lost = recovery.play();
        expect_that!(lost == 0, eq(recovery.serves_all), "{}: {lost} lost", recovery.name);
    }
}

/// One rank that is full is no outage: others make passes.
#[gtest]
fn a_full_rank_is_not_a_broken_group() {
    let mut outlook = outlook_at(10_000);
    expect_false!(outlook.note_rejected(BootMs(10_100)));
    expect_that!(outlook.send_permission(BootMs(10_110), 9, OUTAGE), eq(SendPermission::Allowed));
}

struct ComeBackCase {
    name: &'static str,
    back_in_ms: u64,
    left_ms: u64,
    /// The times told with the least and the most draw.
    told_ms: (u64, u64),
}

/// Symptom: callers come back all at once, or too early, or never.
///
/// Events: all that a stall has held up is refused in one moment; each caller waits for a third of the
/// time that it has left, and for no longer.
///
/// Cause: one time for all, or one that the caller would not wait for.
#[gtest]
fn callers_come_back_spread_over_what_they_wait_for() {
    let cases = [
        ComeBackCase { name: "soon", back_in_ms: 700, left_ms: 8_000, told_ms: (700, 2_200) },
        ComeBackCase { name: "late", back_in_ms: 2_500, left_ms: 8_000, told_ms: (2_346, 2_646) },
        ComeBackCase {
            name: "unknown",
            back_in_ms: 9_000,
            left_ms: 8_000,
            told_ms: (2_346, 2_646),
        },
        ComeBackCase { name: "little left", back_in_ms: 700, left_ms: 600, told_ms: (0, 180) },
    ];
    for case in cases {
        let told = |draw| retry_after_ms(case.back_in_ms, draw, case.left_ms);
        let (least_ms, most_ms) = case.told_ms;
        expect_that!(told(0.0), eq(least_ms), "{}", case.name);
        expect_that!(told(0.999_999), all!(le(most_ms), ge(most_ms - 2)), "{}", case.name);
    }
}

/// A caller that waits for a stream leaves after 2 s, four targets or eight pauses, whichever is longest.
#[gtest]
fn a_stream_is_waited_for_as_long_as_its_caller_waits() {
    let since = BootMs(1_000);
    expect_that!(event_wait_deadline(&route(), since), eq(BootMs(2_600)));
    let slow = Route { target_latency_ms: 1_000, ..route() };
    expect_that!(event_wait_deadline(&slow, since), eq(BootMs(4_200)));
    let pausing = Route { target_gap_ms: Some(500), ..route() };
    expect_that!(event_wait_deadline(&pausing, since), eq(BootMs(4_200)));
}

/// Symptom: a fresh request waits behind hundreds that are late whatever is done.
///
/// Events: requests come back after a refusal with less time left than they had; others come fresh.
///
/// Cause: one urgency for both. A less urgent team is never served before a more urgent one for it.
#[gtest]
fn fresh_requests_go_before_late_ones_of_their_team() {
    let mut deadlines = InitialTimeouts::default();
    expect_that!(deadlines.note(5_900, &route()), eq(2_100), "by the route's time at first");
    for _ in 0..30 {
        expect_that!(deadlines.note(8_000, &route()), eq(0));
    }
    expect_that!(deadlines.note(7_980, &route()), eq(0), "the way here takes its time");
    let back_ms = deadlines.note(6_900, &route());
    expect_that!(back_ms, eq(1_100));
    let of = |priority, used_ms| urgency(priority, 2, used_ms, &route(), false);
    expect_that!(of(1, 0), lt(of(1, back_ms)));
    expect_that!(of(1, back_ms), lt(of(2, 0)));
    expect_that!(of(1, 0), lt(urgency(1, 2, 0, &route(), true)), "its pauses are broken already");
    let of_many = |priority, used_ms| urgency(priority, 9, used_ms, &route(), false);
    expect_that!(of_many(5, 1_000), lt(of_many(6, 0)), "many priorities stay apart");
    expect_that!(of_many(5, 1_000), eq(of_many(5, 0)));
}
