//! How long messages go out over a small link.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::LinkPace;

/// What a link of 6 Mbit/s carries in a millisecond.
const LINK_BYTES_PER_MS: u64 = 750;

/// What it holds back before it loses something, with room for other messages.
const MOST_HELD_BYTES: u64 = 40_000;

struct Case {
    name: &'static str,
    messages: u64,
    bytes: u64,
    /// Time in which all are to have left.
    most_ms: u64,
}

const CASES: &[Case] = &[
    Case { name: "changes of a map to 11 agents", messages: 11, bytes: 2_500, most_ms: 10 },
    Case { name: "a whole map to 11 agents", messages: 11, bytes: 6_700, most_ms: 120 },
    Case { name: "a whole map to 23 agents", messages: 23, bytes: 20_000, most_ms: 900 },
    Case { name: "longer than may wait", messages: 3, bytes: 60_000, most_ms: 300 },
];

/// Symptom: a new leader's first change takes 2.8 s, others 0.3 s.
///
/// Events: it tells a whole map of 6.7 KB to 11 agents, each of which passes it on to 11 others, 74 KB in one
/// moment; the link holds 45 KB back and loses the rest, and 95 of 129 agents are told one by one later.
///
/// Cause: messages were sent as fast as they were made.
#[gtest]
fn a_link_holds_what_is_sent_in_a_row() {
    for case in CASES {
        let mut pace = LinkPace::default();
        let (mut now_ms, mut held, mut left_ms) = (10_000, 0_u64, 0);
        for _ in 0..case.messages {
            let wait_ms = pace.wait_ms(BootMs(now_ms), case.bytes);
            now_ms += wait_ms;
            left_ms += wait_ms;
            held = held.saturating_sub(wait_ms * LINK_BYTES_PER_MS) + case.bytes;
            pace.note_sent(BootMs(now_ms), case.bytes);
            expect_that!(held, le(MOST_HELD_BYTES.max(case.bytes)), "{}", case.name);
        }
        expect_that!(left_ms, le(case.most_ms), "{}", case.name);
    }
}

/// After a pause a link is free again.
#[gtest]
fn a_pause_frees_the_link() {
    let mut pace = LinkPace::default();
    pace.note_sent(BootMs(10_000), 60_000);
    expect_that!(pace.wait_ms(BootMs(10_000), 6_000), gt(50));
    expect_that!(pace.wait_ms(BootMs(10_200), 6_000), eq(0));
}
