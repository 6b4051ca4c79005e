//! Property tests of the event splitter and the pass tracker, with a fixed seed.

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, EventSplitter, PassTracker};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Time without a pass after which sends are not limited.
const UNLIMITED_AFTER_MS: u64 = 600;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Guards against lost or incomplete events when bytes arrive in pieces of any length, also split
/// within a line ending.
#[gtest]
fn events_are_the_same_however_their_bytes_arrive() {
    let event = ("[a-z ]{0,12}", 0_u64..1_000, proptest::bool::ANY);
    let input = (vec(event, 0..8), vec(1_usize..20, 1..8), "[a-z:]{0,6}");
    let result = runner().run(&input, |(events, lengths, incomplete)| {
        let written = |(text, id, is_crlf): &(String, u64, bool)| {
            let end = if *is_crlf { "\r\n" } else { "\n" };
            format!("id: {id}{end}data: x{text}{end}{end}")
        };
        let mut bytes: Vec<u8> = events.iter().map(written).collect::<String>().into_bytes();
        bytes.extend(incomplete.as_bytes());
        let mut splitter = EventSplitter::default();
        let mut read = Vec::new();
        let mut rest = &bytes[..];
        for length in lengths.iter().cycle() {
            let (piece, after) = rest.split_at((*length).min(rest.len()));
            splitter.push(piece);
            read.extend(std::iter::from_fn(|| splitter.next_event()));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        let ids: Vec<u64> = read.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(ids, events.iter().map(|(_, id, _)| *id).collect::<Vec<_>>());
        let whole: Vec<u8> = read.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(&whole[..], &bytes[..bytes.len() - incomplete.len()]);
        prop_assert_eq!(splitter.incomplete_bytes(), incomplete.len());
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against requests held back by an outdated allowance, after the group stalled or when this
/// entry has no streams.
#[gtest]
fn sends_are_not_limited_without_recent_passes() {
    let step = (1_u64..700, 0_usize..4, 1_usize..1_000_000);
    let input = (vec(step, 0..40), proptest::option::of(1_u64..1_000));
    let result = runner().run(&input, |(steps, target_gap_ms)| {
        let mut passes = PassTracker::default();
        let mut now = BootMs(10_000);
        for (pause_ms, requests, bytes) in steps {
            now = now.after(pause_ms);
            let _ = passes.note_event(now, target_gap_ms);
            (0..requests).for_each(|_| passes.note_sent(bytes));
        }
        prop_assert!(passes.may_send(now.after(UNLIMITED_AFTER_MS)));
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
