//! Tests how requests are handled while a group is unavailable, and after its recovery.

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

/// Returns the availability at `now_ms` of a group in an outage.
///
/// A rank stops responding at 10 s. The group rejects requests from 11.5 s on and recovers at 12.2
/// s.
fn availability_at(now_ms: u64) -> GroupAvailability {
    let mut availability = GroupAvailability::default();
    availability.note_sent(BootMs(1_000), 0);
    for event_ms in (1_100..=10_000).step_by(50) {
        availability.note_event(BootMs(event_ms));
    }
    if now_ms >= 11_500 {
        expect_true!(availability.note_rejected(BootMs(11_500)));
    }
    availability
}

struct RecoveryTimeCase {
    name: &'static str,
    now_ms: u64,
    open: u32,
    back_at_ms: Option<u64>,
}

/// Guards against retry times that do not match when the group recovers.
///
/// A rank stops responding, all ranks stall, and then they reject requests until the group has
/// formed again. The estimate has to follow these phases.
#[gtest]
fn the_expected_recovery_follows_the_phase_of_the_outage() {
    let cases = [
        RecoveryTimeCase { name: "making progress", now_ms: 10_400, open: 9, back_at_ms: None },
        RecoveryTimeCase { name: "stalled", now_ms: 10_600, open: 9, back_at_ms: Some(12_250) },
        RecoveryTimeCase { name: "no open requests", now_ms: 10_600, open: 0, back_at_ms: None },
        RecoveryTimeCase { name: "rejecting", now_ms: 11_600, open: 0, back_at_ms: Some(12_250) },
        RecoveryTimeCase { name: "overdue", now_ms: 13_500, open: 0, back_at_ms: Some(15_500) },
    ];
    for case in cases {
        let availability = availability_at(case.now_ms);
        let expected_back_at =
            availability.expected_back_at(BootMs(case.now_ms), case.open, OUTAGE);
        expect_that!(expected_back_at, eq(case.back_at_ms.map(BootMs)), "{}", case.name);
    }
}

/// Guards against hundreds of callers who use up their attempts on a group that rejects all of
/// them.
///
/// The group rejects requests for 0.7 s while 100 requests per second arrive. One probe in 80 ms is
/// enough to notice its recovery.
#[gtest]
fn few_requests_are_sent_to_a_rejecting_group() {
    let mut availability = availability_at(11_500);
    let mut sent = 0;
    for now in (11_500..12_200).step_by(10).map(BootMs) {
        match availability.send_permission(now, 0, OUTAGE) {
            SendPermission::Probe => {
                sent += 1;
                expect_true!(availability.note_rejected(now));
            }
            SendPermission::Unavailable { retry_at, .. } => expect_that!(retry_at, gt(now)),
            SendPermission::Allowed => panic!("the group rejects requests"),
        }
    }
    expect_that!(sent, all!(ge(7), le(9)));
    availability.note_accepted(BootMs(12_225));
    expect_that!(
        availability.send_permission(BootMs(12_226), 1, OUTAGE),
        eq(SendPermission::Allowed)
    );
}

/// Guards against new requests that are still late 2 s after the recovery of a group.
///
/// If 250 waiting requests were sent at once, they would take every slot, and processing their
/// prompts would make passes three times as long. So late requests get a third of the slots at
/// first.
#[gtest]
fn late_requests_leave_slots_free_after_an_outage() {
    let mut availability = availability_at(11_500);
    expect_that!(availability.late_share(BootMs(11_600), 0.0), eq(1.0), "not recovered yet");
    availability.note_event(BootMs(12_200));
    expect_that!(availability.late_share(BootMs(12_200), 0.0), near(0.35, 0.01));
    expect_that!(availability.late_share(BootMs(12_700), 0.0), near(0.675, 0.01));
    expect_that!(availability.late_share(BootMs(13_200), 0.0), eq(1.0));
    expect_that!(availability.late_share(BootMs(12_200), 0.25), near(0.5, 0.01));
    expect_that!(
        availability.late_share(BootMs(12_200), 0.5),
        eq(1.0),
        "its caller is about to give up"
    );
}

/// A group of 63 ranks that has recovered, and its callers.
struct Recovery {
    name: &'static str,
    /// Callers that wait when the group recovers.
    waiting: u64,
    /// Longest time that they have waited.
    waited_ms: u64,
    /// New callers per second.
    new_per_s: u64,
    /// Whether all callers can be served before they give up.
    serves_all: bool,
}

const SLOTS: usize = 630;
/// Time that a stream uses its slot: 23 events in passes of 0.1 s.
const STREAM_MS: u64 = 2_300;
const RECOVERED_AT_MS: u64 = 12_200;

impl Recovery {
    /// Returns when each caller arrived. Waiting callers are not served in order of arrival; here
    /// the latest are first.
    fn arrivals(&self) -> Vec<u64> {
        let step_ms = self.waited_ms as f64 / self.waiting as f64;
        let waiting = (0..self.waiting).map(|it| RECOVERED_AT_MS - (it as f64 * step_ms) as u64);
        let new = (0..3_000 * self.new_per_s / 1_000).map(|it| it * 1_000 / self.new_per_s);
        waiting.chain(new.map(|after_ms| RECOVERED_AT_MS + after_ms)).collect()
    }

    /// Returns the number of callers that give up without an answer.
    fn simulate(&self) -> usize {
        let mut availability = availability_at(11_500);
        availability.note_event(BootMs(RECOVERED_AT_MS));
        let route = route();
        let (mut callers, mut ends_ms) = (self.arrivals(), Vec::new());
        let mut lost = 0;
        for now_ms in (RECOVERED_AT_MS..RECOVERED_AT_MS + 5_000).step_by(10) {
            let now = BootMs(now_ms);
            ends_ms.retain(|end_ms| *end_ms > now_ms);
            callers.retain(|arrived_ms| {
                let arrived = BootMs(*arrived_ms);
                let waited_ms = now.since(arrived);
                if now_ms < *arrived_ms {
                    return true;
                }
                if now > event_wait_deadline(&route, arrived) {
                    lost += 1;
                    return false;
                }
                let is_late = waited_ms >= route.target_latency_ms;
                let used = patience_used(&route, arrived, now);
                let part = if is_late { availability.late_share(now, used) } else { 1.0 };
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
        new_per_s: 220,
        serves_all: true,
    },
    Recovery {
        name: "after 1.5 s",
        waiting: 330,
        waited_ms: 1_500,
        new_per_s: 220,
        serves_all: true,
    },
    Recovery {
        name: "more callers than slots",
        waiting: 900,
        waited_ms: 1_500,
        new_per_s: 220,
        serves_all: false,
    },
];

/// Guards against callers who give up shortly after the recovery although the group has free slots.
///
/// Slots kept free for new requests must not be withheld from callers that have no time left to
/// wait.
#[gtest]
fn waiting_callers_are_served_before_they_give_up() {
    for recovery in RECOVERIES {
        let lost = recovery.simulate();
        expect_that!(lost == 0, eq(recovery.serves_all), "{}: {lost} lost", recovery.name);
    }
}

/// A rejection by one full rank is no outage while streams of the group get events.
#[gtest]
fn a_full_rank_is_not_an_unavailable_group() {
    let mut availability = availability_at(10_000);
    expect_false!(availability.note_rejected(BootMs(10_100)));
    expect_that!(
        availability.send_permission(BootMs(10_110), 9, OUTAGE),
        eq(SendPermission::Allowed)
    );
}

struct RetryAfterCase {
    name: &'static str,
    back_in_ms: u64,
    left_ms: u64,
    /// The results with the smallest and the largest draw.
    retry_after_ms: (u64, u64),
}

/// Guards against callers who retry all at once, too early or never.
///
/// All requests held up by a stall are refused at the same moment, and each caller waits for at
/// most a third of its remaining timeout.
#[gtest]
fn retries_are_spread_over_the_time_that_callers_wait() {
    let cases = [
        RetryAfterCase {
            name: "soon",
            back_in_ms: 700,
            left_ms: 8_000,
            retry_after_ms: (700, 2_200),
        },
        RetryAfterCase {
            name: "late",
            back_in_ms: 2_500,
            left_ms: 8_000,
            retry_after_ms: (2_346, 2_646),
        },
        RetryAfterCase {
            name: "unknown",
            back_in_ms: 9_000,
            left_ms: 8_000,
            retry_after_ms: (2_346, 2_646),
        },
        RetryAfterCase {
            name: "little left",
            back_in_ms: 700,
            left_ms: 600,
            retry_after_ms: (0, 180),
        },
    ];
    for case in cases {
        let delay_ms = |draw| retry_after_ms(case.back_in_ms, draw, case.left_ms);
        let (least_ms, most_ms) = case.retry_after_ms;
        expect_that!(delay_ms(0.0), eq(least_ms), "{}", case.name);
        expect_that!(delay_ms(0.999_999), all!(le(most_ms), ge(most_ms - 2)), "{}", case.name);
    }
}

/// A caller gives up after 2 s, four first-event targets or eight gap targets, whichever is
/// longest; a fifth of that is reserved for the event.
#[gtest]
fn a_stream_waits_as_long_as_its_caller_does() {
    let since = BootMs(1_000);
    expect_that!(event_wait_deadline(&route(), since), eq(BootMs(2_600)));
    let slow = Route { target_latency_ms: 1_000, ..route() };
    expect_that!(event_wait_deadline(&slow, since), eq(BootMs(4_200)));
    let pausing = Route { target_gap_ms: Some(500), ..route() };
    expect_that!(event_wait_deadline(&pausing, since), eq(BootMs(4_200)));
}

/// Guards against new requests queued behind hundreds that are late in any case.
///
/// Requests retried after a refusal have less time left than new ones, which distinguishes them. A
/// less urgent team must still never be served before a more urgent one.
#[gtest]
fn new_requests_go_before_late_ones_of_their_team() {
    let mut timeouts = InitialTimeouts::default();
    expect_that!(
        timeouts.note(5_900, &route()),
        eq(2_100),
        "compared with the timeout of the route at first"
    );
    for _ in 0..30 {
        expect_that!(timeouts.note(8_000, &route()), eq(0));
    }
    expect_that!(timeouts.note(7_980, &route()), eq(0), "transit time is ignored");
    let retried_ms = timeouts.note(6_900, &route());
    expect_that!(retried_ms, eq(1_100));
    let of = |priority, used_ms| urgency(priority, 2, used_ms, &route(), false);
    expect_that!(of(1, 0), lt(of(1, retried_ms)));
    expect_that!(of(1, retried_ms), lt(of(2, 0)));
    expect_that!(
        of(1, 0),
        lt(urgency(1, 2, 0, &route(), true)),
        "a resumed stream is late already"
    );
    let of_many = |priority, used_ms| urgency(priority, 9, used_ms, &route(), false);
    expect_that!(of_many(5, 1_000), lt(of_many(6, 0)), "priority decides with many priorities");
    expect_that!(of_many(5, 1_000), eq(of_many(5, 0)));
}
