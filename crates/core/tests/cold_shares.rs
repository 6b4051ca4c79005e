//! Tests that entries keep the limit of a cold server by their own shares, without a question.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, COUNTING_MS, ColdAccess, ColdFigures, ColdShares, EntryCount, IncarnationDigest,
    LimitGrants, WarmUp,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const SERVER: IncarnationDigest = IncarnationDigest(7);
const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8_229);
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

/// Time for which an entry that restarts is away.
const DOWN_MS: u64 = 200;

/// An entry that sends to a cold server as much as it may.
struct Sender {
    started_at: BootMs,
    shares: ColdShares,
}

/// Sends as many requests as an entry may, and returns their number.
fn send_all(
    sender: &mut Sender,
    warm_up: &WarmUp,
    entries: usize,
    grants: &mut LimitGrants,
    now: BootMs,
) -> u32 {
    let age_ms = now.since(sender.started_at);
    let counted = (age_ms >= COUNTING_MS).then_some(entries);
    let mut sent = 0;
    match ColdAccess::of(warm_up, counted, age_ms) {
        ColdAccess::Wait => {}
        ColdAccess::Share(share) => {
            while sender.shares.admits_at(SERVER, share, now) == Some(now) {
                sender.shares.note_sent(SERVER, now);
                sent += 1;
            }
        }
        ColdAccess::Permits => {
            sent = grants.grant_cold(SERVER, warm_up.rate(), ADDRESS, u32::MAX, now).permits;
        }
    }
    sent
}

/// Guards against entries that use their shares again after a restart, and permits in between.
#[gtest]
fn entries_that_restart_keep_the_limit_of_a_cold_server() {
    for entries in [3, 14, 23, 40] {
        for restart_every_ms in [850, 1_000, 3_000] {
            let (figures, _) = ColdFigures::new(3.0, 28.0);
            let warm_up = WarmUp::new(figures, 1.5, 5.0).expect("a limit");
            let sender = || Sender { started_at: BootMs(0), shares: ColdShares::default() };
            let mut senders: Vec<Sender> = (0..entries).map(|_| sender()).collect();
            // The first entry goes on, and has granted permits for long.
            let mut grants = LimitGrants::default();
            let _ = grants.grant_cold(SERVER, warm_up.rate(), ADDRESS, 0, BootMs(1_000));
            let mut sent_at = Vec::new();
            for at_ms in (0..SPAN_MS).step_by(STEP_MS as usize) {
                let now = BootMs(10_000 + at_ms);
                if at_ms > 0 && at_ms.is_multiple_of(restart_every_ms) {
                    for sender in &mut senders[1..] {
                        let started_at = now.after(DOWN_MS);
                        *sender = Sender { started_at, shares: ColdShares::default() };
                    }
                }
                for sender in senders.iter_mut().filter(|sender| sender.started_at <= now) {
                    let sent = send_all(sender, &warm_up, entries, &mut grants, now);
                    sent_at.extend((0..sent).map(|_| now));
                }
            }
            let in_window = |from: &BootMs| {
                sent_at.iter().filter(|at| **at >= *from && at.since(*from) < WINDOW_MS).count()
            };
            let most = sent_at.iter().map(in_window).max().unwrap_or(0);
            println!("{entries} entries, every {restart_every_ms} ms: {most}");
            expect_that!(most, le(47), "{entries} entries, every {restart_every_ms} ms");
        }
    }
}
