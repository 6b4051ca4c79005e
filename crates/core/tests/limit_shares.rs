//! Simulates entries that share the limit of an overloaded backend server, in virtual time.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, IncarnationDigest, LimitGrants, LimitPermits, granting_entry,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddr};

const SERVER: IncarnationDigest = IncarnationDigest(7);
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;
const WINDOW_MS: u64 = 4_000;
const DELAY_MS: u64 = 6;

/// A load on entries that share one limit.
struct Case {
    name: &'static str,
    millirequests_per_s: u64,
    entries: usize,
    /// Requests per second that each entry would send to the backend server; repeated over the
    /// entries.
    wanted_per_s: &'static [f64],
    /// How often the granting entry is replaced.
    replacements: u64,
    /// Smallest fraction of the limit that must be used.
    min_used: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "five entries, one request per second",
        millirequests_per_s: 1_000,
        entries: 5,
        wanted_per_s: &[5.0],
        replacements: 0,
        min_used: 0.7,
    },
    Case {
        name: "one of five has requests",
        millirequests_per_s: 2_000,
        entries: 5,
        wanted_per_s: &[12.0, 0.0, 0.0, 0.0, 0.0],
        replacements: 0,
        min_used: 0.7,
    },
    Case {
        name: "uneven demand",
        millirequests_per_s: 10_000,
        entries: 4,
        wanted_per_s: &[30.0, 1.0, 5.0, 0.2],
        replacements: 0,
        min_used: 0.6,
    },
    Case {
        name: "a large fleet",
        millirequests_per_s: 3_000,
        entries: 400,
        wanted_per_s: &[0.5],
        replacements: 0,
        min_used: 0.3,
    },
    Case {
        name: "the granting entry is replaced",
        millirequests_per_s: 4_000,
        entries: 5,
        wanted_per_s: &[6.0],
        replacements: 10,
        min_used: 0.6,
    },
    Case {
        name: "a limit of zero",
        millirequests_per_s: 0,
        entries: 5,
        wanted_per_s: &[5.0],
        replacements: 0,
        min_used: 0.0,
    },
];

fn address(entry: usize) -> SocketAddr {
    let [.., high, low] = entry.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 8229))
}

/// Returns the times at which the backend server gets requests, and the number of questions asked.
fn simulate(case: &Case) -> (Vec<u64>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut grants = LimitGrants::default();
    let mut permits = vec![LimitPermits::default(); case.entries];
    let (mut arrivals, mut questions) = (Vec::new(), 0);
    let replacement_ms = DURATION_MS / (case.replacements + 1);
    for at in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = BootMs(1_000_000 + at);
        if at > 0 && at % replacement_ms == 0 {
            grants = LimitGrants::default();
        }
        grants.expire(now);
        for (entry, permits) in permits.iter_mut().enumerate() {
            permits.expire(now);
            let wanted_per_s = case.wanted_per_s[entry % case.wanted_per_s.len()];
            if random.random::<f64>() >= wanted_per_s * STEP_MS as f64 / 1_000.0 {
                continue;
            }
            if permits.has_permit(SERVER, now) {
                permits.use_permit(SERVER);
                arrivals.push(at);
            } else if let Some(wanted) = permits.note_denied(SERVER, now) {
                questions += 1;
                let rate = case.millirequests_per_s;
                let granted_at = now.after(DELAY_MS);
                let grant = grants.grant(SERVER, rate, address(entry), wanted, granted_at);
                permits.note_grant(SERVER, grant, now);
            }
        }
    }
    (arrivals, questions)
}

/// Guards against exceeding the limit of a backend server, and against permits that nobody uses.
#[gtest]
fn a_limit_holds_over_all_entries_and_is_used() {
    for case in CASES {
        let (arrivals, questions) = simulate(case);
        let in_window = |from: &u64| {
            arrivals.iter().filter(|at| (*from..from + WINDOW_MS).contains(*at)).count()
        };
        let most = arrivals.iter().map(in_window).max().unwrap_or(0);
        let per_s = case.millirequests_per_s as f64 / 1_000.0;
        expect_that!(most as f64, le(per_s * 1.5 * 4.0 + 5.0), "{}", case.name);
        let total = per_s * DURATION_MS as f64 / 1_000.0;
        expect_that!(
            arrivals.len() as f64,
            ge(total * case.min_used),
            "{}: use of the limit",
            case.name
        );
        let questions_per_s = questions as f64 / (DURATION_MS as f64 / 1_000.0);
        expect_that!(questions_per_s, le(40.0), "{}: questions to the granting entry", case.name);
    }
}

/// Guards against two entries that both grant the permits of one backend server.
#[gtest]
fn all_entries_agree_on_the_granting_entry() {
    for entries in [1, 5, 35, 400] {
        let one = granting_entry(SERVER, (0..entries).map(address));
        let other = granting_entry(SERVER, (0..entries).rev().map(address));
        expect_that!(one, eq(other));
        expect_true!(one.is_some());
    }
    let granting = |server| granting_entry(IncarnationDigest(server), (0..5).map(address));
    expect_true!(
        (0..100).any(|server| granting(server) != granting(0)),
        "backend servers have different granting entries"
    );
}
