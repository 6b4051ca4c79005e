//! Tests of the rate limit for long messages on a small link.

use googletest::prelude::*;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::LinkPace;

/// Bytes per millisecond that a link of 6 Mbit/s carries.
const LINK_BYTES_PER_MS: u64 = 750;

/// Bytes that the link queues before it drops any, less some room for other messages.
const MAX_QUEUED_BYTES: u64 = 40_000;

struct Case {
    name: &'static str,
    messages: u64,
    bytes: u64,
    /// Time within which all messages must be sent.
    max_ms: u64,
}

const CASES: &[Case] = &[
    Case { name: "changes of a map to 11 agents", messages: 11, bytes: 2_500, max_ms: 10 },
    Case { name: "a complete map to 11 agents", messages: 11, bytes: 6_700, max_ms: 120 },
    Case { name: "a complete map to 23 agents", messages: 23, bytes: 20_000, max_ms: 900 },
    Case { name: "longer than the backlog limit", messages: 3, bytes: 60_000, max_ms: 300 },
];

/// Guards against a first change of a new leader that takes 2.8 s instead of 0.3 s. It happens when
/// messages are sent as fast as they are created: the leader sends a complete map of 6.7 KB to 11
/// agents, each of which relays it to 11 others. That is 74 KB at once on a link that queues 45 KB
/// and drops the rest, and 95 of 129 agents receive their map one by one later.
#[gtest]
fn a_burst_stays_within_the_queue_of_the_link() {
    for case in CASES {
        let mut pace = LinkPace::default();
        let (mut now_ms, mut queued, mut elapsed_ms) = (10_000, 0_u64, 0);
        for _ in 0..case.messages {
            let wait_ms = pace.wait_ms(BootMs(now_ms), case.bytes);
            now_ms += wait_ms;
            elapsed_ms += wait_ms;
            queued = queued.saturating_sub(wait_ms * LINK_BYTES_PER_MS) + case.bytes;
            pace.note_sent(BootMs(now_ms), case.bytes);
            expect_that!(queued, le(MAX_QUEUED_BYTES.max(case.bytes)), "{}", case.name);
        }
        expect_that!(elapsed_ms, le(case.max_ms), "{}", case.name);
    }
}

/// After a pause the backlog is gone.
#[gtest]
fn a_pause_drains_the_backlog() {
    let mut pace = LinkPace::default();
    pace.note_sent(BootMs(10_000), 60_000);
    expect_that!(pace.wait_ms(BootMs(10_000), 6_000), gt(50));
    expect_that!(pace.wait_ms(BootMs(10_200), 6_000), eq(0));
}
