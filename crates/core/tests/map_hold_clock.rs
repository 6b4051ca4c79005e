//! Tests of the durations that an agent reports for a held pass.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{HoldClock, HoldEvent};

struct Case {
    name: &'static str,
    /// Time of each report, the last pass that has begun and the held pass.
    reports: &'static [(u64, u64, Option<u64>)],
    events: &'static [HoldEvent],
}

// Guards against a stalled group that leaves no trace in the log.
#[gtest]
fn the_end_of_a_hold_reports_its_duration() {
    let cases = [
        Case { name: "nothing held", reports: &[(0, 1, None), (20, 2, None)], events: &[] },
        Case {
            name: "released before the pass",
            reports: &[(0, 5, None), (20, 5, Some(7)), (60, 5, Some(7)), (80, 6, None)],
            events: &[
                HoldEvent::Begun { step: 7 },
                HoldEvent::Ended { step: 7, held_ms: 60, last_pass_ms: 0 },
            ],
        },
        Case {
            name: "the group stalls",
            reports: &[(0, 5, Some(7)), (100, 6, Some(7)), (900, 6, Some(7)), (1_000, 7, None)],
            events: &[
                HoldEvent::Begun { step: 7 },
                HoldEvent::Ended { step: 7, held_ms: 1_000, last_pass_ms: 900 },
            ],
        },
        Case {
            name: "consecutive holds",
            reports: &[(0, 5, Some(6)), (50, 6, Some(8)), (70, 6, Some(8)), (90, 7, None)],
            events: &[
                HoldEvent::Begun { step: 6 },
                HoldEvent::Ended { step: 6, held_ms: 50, last_pass_ms: 50 },
                HoldEvent::Begun { step: 8 },
                HoldEvent::Ended { step: 8, held_ms: 20, last_pass_ms: 0 },
            ],
        },
    ];
    for case in cases {
        let mut clock = HoldClock::default();
        let observe = |&(at_ms, step, held)| clock.note(BootMs(at_ms), step, held);
        let events: Vec<HoldEvent> = case.reports.iter().filter_map(observe).collect();
        expect_that!(events, eq(case.events), "{}", case.name);
    }
}
