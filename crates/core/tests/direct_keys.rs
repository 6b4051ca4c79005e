//! Tests until when API keys are checked against the configuration in force when the store
//! withholds notifications or becomes unreachable.

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, Catalog, CatalogState, max_catalog_age_for_keys_ms};

const REVOKE_MS: u64 = 5_000;
const WATCH_MS: u64 = 1_000;
/// Time for which the store may accept changes without notifying its watchers before it disconnects
/// them.
const NOTIFY_DELAY_MS: u64 = 1_000;
const ANSWER_MS: u64 = 4;
const VERSION: u64 = 7;

/// A store in which a key is revoked around an outage.
struct Case {
    name: &'static str,
    /// When it stops notifying its watchers.
    silent_from_ms: u64,
    /// When it becomes unreachable for good.
    down_from_ms: u64,
    /// When the key is revoked.
    revoked_at_ms: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "down before the revocation",
        silent_from_ms: u64::MAX,
        down_from_ms: 10_000,
        revoked_at_ms: 10_001,
    },
    Case {
        name: "silent, then down",
        silent_from_ms: 10_000,
        down_from_ms: 11_000,
        revoked_at_ms: 10_001,
    },
    Case {
        name: "down while silent",
        silent_from_ms: 10_000,
        down_from_ms: 10_700,
        revoked_at_ms: 10_300,
    },
];

/// Returns the catalog state of an entry whose first watch starts at `first_at_ms`, once the store
/// sends nothing more.
fn watch_store(case: &Case, first_at_ms: u64) -> CatalogState {
    let mut state = CatalogState::default();
    let _ = state.offer(Catalog { version: VERSION, ..Catalog::default() });
    let mut sent_at_ms = first_at_ms;
    loop {
        let end_at_ms = sent_at_ms + WATCH_MS;
        let silent_until_ms = case.silent_from_ms.saturating_add(NOTIFY_DELAY_MS);
        let is_disconnected = (sent_at_ms..end_at_ms).contains(&silent_until_ms);
        let is_notified =
            case.revoked_at_ms < case.silent_from_ms && case.revoked_at_ms < end_at_ms;
        if end_at_ms >= case.down_from_ms || is_disconnected || is_notified {
            return state;
        }
        state.confirm(VERSION, BootMs(sent_at_ms));
        sent_at_ms = end_at_ms + ANSWER_MS;
    }
}

/// Guards against requests that run with a key revoked longer ago than the bound allows.
///
/// The store revokes the key while it does not notify its watchers, and then fails. A watch without
/// a change must not count as proof for that time.
#[gtest]
fn no_key_outlives_its_bound() {
    let bound_ms = max_catalog_age_for_keys_ms(REVOKE_MS, WATCH_MS);
    for case in CASES {
        for first_at_ms in 5_000..5_000 + WATCH_MS + ANSWER_MS {
            let state = watch_store(case, first_at_ms);
            let invalid_from = BootMs(case.revoked_at_ms + REVOKE_MS);
            expect_false!(
                state.is_fresh(invalid_from, bound_ms),
                "{}, watched from {first_at_ms}",
                case.name
            );
        }
    }
}

/// Guards against callers with valid keys who are refused 1.5 s after the store fails, though they
/// may be served for 5 s.
///
/// The last completed watch started up to two watch lengths before the failure. Subtracting the
/// notification delay on top, although the watch itself is that long, would make the bound too
/// short.
#[gtest]
fn callers_are_served_for_half_of_the_bound_while_the_store_is_down() {
    let case = &CASES[0];
    for first_at_ms in 5_000..5_000 + WATCH_MS + ANSWER_MS {
        let state = watch_store(case, first_at_ms);
        let now = BootMs(case.down_from_ms + REVOKE_MS / 2 - 2 * ANSWER_MS);
        let bound_ms = max_catalog_age_for_keys_ms(REVOKE_MS, WATCH_MS);
        expect_true!(state.is_fresh(now, bound_ms), "watched from {first_at_ms}");
    }
}

/// A watch shorter than the notification delay of the store confirms the catalog for less time.
#[gtest]
fn a_short_watch_shortens_the_bound() {
    expect_that!(
        max_catalog_age_for_keys_ms(REVOKE_MS, 400),
        eq(max_catalog_age_for_keys_ms(REVOKE_MS, WATCH_MS) - 600)
    );
}
