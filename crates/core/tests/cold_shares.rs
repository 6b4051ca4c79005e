//! Tests that entries keep the limit of a cold server by their own shares, without a question.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, ColdFigures, ColdShares, EntryCount, IncarnationDigest, WarmUp,
};

const SERVER: IncarnationDigest = IncarnationDigest(7);
const STEP_MS: u64 = 10;
const SPAN_MS: u64 = 5_000;
const WINDOW_MS: u64 = 1_000;

struct Case {
    name: &'static str,
    cold_per_s: f64,
    cold_over: f64,
    cold_slack: f64,
    entries: usize,
    /// Entries that each of them has counted.
    counted: usize,
}

/// Returns the number by which entries divide a limit that were `entries`, of which each then hears
/// `heard` for a minute.
fn counted_after_cut(entries: usize, heard: usize) -> usize {
    let mut count = EntryCount::default();
    count.note(entries, BootMs(10_000), BootMs(10_000));
    count.note(heard, BootMs(70_000), BootMs(70_000));
    count.entries()
}

/// Guards against more requests to a cold server than it takes, while every entry sends as much as
/// it can, also after a network partition in which each half counts only itself.
#[gtest]
fn shares_of_all_entries_keep_the_limit() {
    let case = |name, cold_per_s, entries, counted| Case {
        name,
        cold_per_s,
        cold_over: 1.5,
        cold_slack: 5.0,
        entries,
        counted,
    };
    let cases = [
        case("one entry", 10.0, 1, 1),
        case("three entries", 10.0, 3, 3),
        case("fourteen entries", 28.0, 14, 14),
        case("two halves", 28.0, 14, 7),
        case("two halves with little", 10.0, 14, 7),
        case("four parts", 28.0, 12, counted_after_cut(12, 3)),
        case("all cut off from each other", 28.0, 7, counted_after_cut(7, 1)),
        case("more entries than requests", 10.0, 48, 48),
        Case { cold_slack: 0.0, ..case("no slack", 1.0, 2, 1) },
    ];
    for case in cases {
        let (figures, _) = ColdFigures::new(3.0, case.cold_per_s);
        let warm_up = WarmUp::new(figures, case.cold_over, case.cold_slack).expect("a limit");
        let share = warm_up.share_requests(case.counted);
        let mut entries = vec![ColdShares::default(); case.entries];
        let mut sent_at = Vec::new();
        for at_ms in (0..SPAN_MS).step_by(STEP_MS as usize) {
            let now = BootMs(10_000 + at_ms);
            for entry in &mut entries {
                while entry.admits_at(SERVER, share, now) == Some(now) {
                    entry.note_sent(SERVER, now);
                    sent_at.push(now);
                }
            }
        }
        let in_window = |from: &BootMs| {
            sent_at.iter().filter(|at| **at >= *from && at.since(*from) < WINDOW_MS).count()
        };
        let most = sent_at.iter().map(in_window).max().unwrap_or(0) as f64;
        let limit = case.cold_per_s * case.cold_over + case.cold_slack;
        expect_that!(most, le(limit), "{}", case.name);
        let uses_share = share == 0 || most >= (case.entries as f64 * f64::from(share));
        expect_true!(uses_share, "{}: what the entries may send is sent", case.name);
    }
}

/// Guards against a share that never becomes free again, or frees too early.
#[gtest]
fn a_share_is_free_again_after_its_span() {
    let mut shares = ColdShares::default();
    let start = BootMs(10_000);
    expect_that!(shares.admits_at(SERVER, 0, start), none());
    expect_that!(shares.admits_at(SERVER, 2, start), some(eq(start)));
    shares.note_sent(SERVER, start);
    shares.note_sent(SERVER, start.after(300));
    let later = start.after(400);
    expect_that!(shares.admits_at(SERVER, 2, later), some(eq(start.after(1_200))));
    expect_that!(shares.admits_at(SERVER, 1, later), some(eq(start.after(1_500))));
    expect_that!(shares.admits_at(SERVER, 2, start.after(1_200)), some(eq(start.after(1_200))));
    shares.expire(start.after(2_000));
    expect_that!(shares.admits_at(SERVER, 1, start.after(2_000)), some(eq(start.after(2_000))));
}
