//! What an agent says of a pass that its rank holds.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{HoldClock, HoldEvent};

struct Case {
    name: &'static str,
    /// When the rank was looked at, the last pass begun and the one held.
    looks: &'static [(u64, u64, Option<u64>)],
    events: &'static [HoldEvent],
}

// Guards against a group that stands without a line that says so.
#[gtest]
fn a_hold_is_told_with_its_length() {
    let cases = [
        Case { name: "nothing held", looks: &[(0, 1, None), (20, 2, None)], events: &[] },
        Case {
            name: "let go before the pass",
            looks: &[(0, 5, None), (20, 5, Some(7)), (60, 5, Some(7)), (80, 6, None)],
            events: &[
                HoldEvent::Begun { step: 7 },
                HoldEvent::Ended { step: 7, held_ms: 60, last_pass_ms: 0 },
            ],
        },
        Case {
            name: "the group stands",
            looks: &[(0, 5, Some(7)), (100, 6, Some(7)), (900, 6, Some(7)), (1_000, 7, None)],
            events: &[
                HoldEvent::Begun { step: 7 },
                HoldEvent::Ended { step: 7, held_ms: 1_000, last_pass_ms: 900 },
            ],
        },
        Case {
            name: "one hold after the other",
            looks: &[(0, 5, Some(6)), (50, 6, Some(8)), (70, 6, Some(8)), (90, 7, None)],
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
        let look = |&(at_ms, step, held)| clock.note(BootMs(at_ms), step, held);
        let events: Vec<HoldEvent> = case.looks.iter().filter_map(look).collect();
        expect_that!(events, eq(case.events), "{}", case.name);
    }
}
