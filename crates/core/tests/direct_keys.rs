//! Until when keys are judged by the configuration in force, beside a store that goes deaf or away.

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, Catalog, CatalogState, max_catalog_age_for_keys_ms};

const REVOKE_MS: u64 = 5_000;
const WATCH_MS: u64 = 1_000;
/// Time for which the store takes changes without telling its watchers, before it cuts them off.
const DEAF_MS: u64 = 1_000;
const ANSWER_MS: u64 = 4;
const VERSION: u64 = 7;

/// A store at one moment of which a key is taken away.
struct Case {
    name: &'static str,
    /// When it begins to be deaf, and when it goes away for good.
    deaf_from_ms: u64,
    away_from_ms: u64,
    /// When the key is taken away.
    revoked_at_ms: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "away before the change",
        deaf_from_ms: u64::MAX,
        away_from_ms: 10_000,
        revoked_at_ms: 10_001,
    },
    Case {
        name: "deaf, and away when that ends",
        deaf_from_ms: 10_000,
        away_from_ms: 11_000,
        revoked_at_ms: 10_001,
    },
    Case {
        name: "deaf, and away in the middle",
        deaf_from_ms: 10_000,
        away_from_ms: 10_700,
        revoked_at_ms: 10_300,
    },
];

/// The belief of an entry whose first watch is sent at `first_at_ms`, when nothing more comes.
fn believe(case: &Case, first_at_ms: u64) -> CatalogState {
    let mut belief = CatalogState::default();
    let _ = belief.offer(Catalog { version: VERSION, ..Catalog::default() });
    let mut sent_at_ms = first_at_ms;
    loop {
        let end_at_ms = sent_at_ms + WATCH_MS;
        let deaf_until_ms = case.deaf_from_ms.saturating_add(DEAF_MS);
        let is_cut = (sent_at_ms..end_at_ms).contains(&deaf_until_ms);
        let is_told = case.revoked_at_ms < case.deaf_from_ms && case.revoked_at_ms < end_at_ms;
        if end_at_ms >= case.away_from_ms || is_cut || is_told {
            return belief;
        }
        belief.confirm(VERSION, BootMs(sent_at_ms));
        sent_at_ms = end_at_ms + ANSWER_MS;
    }
}

/// Symptom: a request runs though its key was taken away longer ago than the bound allows.
///
/// Events: the store takes a key away while it tells its watchers nothing, and is lost after that.
///
/// Cause: a watch that heard nothing because it was deaf, taken for proof.
#[gtest]
fn no_key_outlives_its_bound() {
    let bound_ms = max_catalog_age_for_keys_ms(REVOKE_MS, WATCH_MS);
    for case in CASES {
        for first_at_ms in 5_000..5_000 + WATCH_MS + ANSWER_MS {
            let belief = believe(case, first_at_ms);
            let dead_at = BootMs(case.revoked_at_ms + REVOKE_MS);
            expect_false!(
                belief.is_fresh(dead_at, bound_ms),
                "{}, watched from {first_at_ms}",
                case.name
            );
        }
    }
}

/// Symptom: callers with good keys are refused 1.5 s after the store is lost, of 5 s in which they may be served.
///
/// Events: the store is away for seconds; the last watch that ended was sent up to two of its spans before.
///
/// Cause: the time for which a watch may be deaf, taken off though the watch is that long itself.
#[gtest]
fn callers_are_served_for_half_of_the_bound_while_the_store_is_away() {
    let case = &CASES[0];
    for first_at_ms in 5_000..5_000 + WATCH_MS + ANSWER_MS {
        let belief = believe(case, first_at_ms);
        let now = BootMs(case.away_from_ms + REVOKE_MS / 2 - 2 * ANSWER_MS);
        let bound_ms = max_catalog_age_for_keys_ms(REVOKE_MS, WATCH_MS);
        expect_true!(belief.is_fresh(now, bound_ms), "watched from {first_at_ms}");
    }
}

/// A watch that is shorter than the store may be deaf is not believed as long.
#[gtest]
fn a_short_watch_is_believed_less() {
    expect_that!(
        max_catalog_age_for_keys_ms(REVOKE_MS, 400),
        eq(max_catalog_age_for_keys_ms(REVOKE_MS, WATCH_MS) - 600)
    );
}
