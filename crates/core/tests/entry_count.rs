//! How many entries a fleet has, as entries tell each other.

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, EntryCount, EntryCountReport};

const HOUR_MS: u64 = 3_600_000;
const START: BootMs = BootMs(2 * HOUR_MS);

/// What an entry notes about the number of entries, and what it then believes.
struct Case {
    name: &'static str,
    /// Numbers, and for how long after the start of the test each one holds.
    notes: &'static [(usize, u64)],
    asked_at_ms: u64,
    entries: usize,
}

const CASES: &[Case] = &[
    Case { name: "nothing noted", notes: &[], asked_at_ms: 0, entries: 1 },
    Case { name: "more entries", notes: &[(3, 0), (6, 10)], asked_at_ms: 20, entries: 6 },
    Case {
        name: "others fall silent",
        notes: &[(400, 0), (1, 60_000)],
        asked_at_ms: 60_000,
        entries: 400,
    },
    Case {
        name: "others have left for over an hour",
        notes: &[(400, 0), (200, HOUR_MS + 1_000)],
        asked_at_ms: HOUR_MS + 1_000,
        entries: 200,
    },
    Case { name: "a huge number", notes: &[(usize::MAX, 0)], asked_at_ms: 0, entries: 4_096 },
];

/// Guards against a limit that is divided among too few while entries do not hear each other, or
/// among too many for ever.
#[gtest]
fn the_largest_number_holds_for_an_hour() {
    for Case { name, notes, asked_at_ms, entries } in CASES {
        let mut count = EntryCount::default();
        for (entries, at_ms) in *notes {
            count.note(*entries, START.after(*at_ms), START.after(*at_ms));
        }
        expect_that!(count.entries(), eq(*entries), "{name}");
        let report = count.report(START.after(*asked_at_ms));
        expect_that!(report.entries as usize, eq(*entries), "{name}");
    }
}

/// Guards against a number that entries tell each other without end.
#[gtest]
fn a_report_keeps_its_age_from_entry_to_entry() {
    let mut first = EntryCount::default();
    first.note(400, START, START);
    let later = START.after(HOUR_MS - 1_000);
    let mut second = EntryCount::default();
    second.note_report(first.report(later), later, later);
    expect_that!(
        second.report(later),
        eq(EntryCountReport { entries: 400, age_ms: HOUR_MS - 1_000 })
    );
    let too_late = START.after(HOUR_MS);
    let mut third = EntryCount::default();
    third.note_report(second.report(too_late), too_late, too_late);
    expect_that!(third.entries(), eq(1));
}
