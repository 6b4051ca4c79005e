//! Tests of the audit trail: the chain of records and the check for gaps and alterations.

use googletest::prelude::*;
use hickorycross_config::Stamp;
use hickorycross_core::UnixMs;
use hickorycross_core::audit::{Actor, AuditRecord, Change};
use hickorycross_runtime::trail::{MAX_RECORDS, Trail, TrailEntry, TrailFault, check};

const RECORDS: u64 = 6;

fn trail(records: u64) -> Trail {
    let trail = Trail::default();
    for number in 0..records {
        let change =
            Change::SignIn { operator: format!("operator-{number}"), accepted: number % 2 == 0 };
        trail.write(AuditRecord::new(UnixMs(1_000 + number), Stamp::NONE, change));
    }
    trail
}

/// A change to the entries of a trail, and the expected result of the check.
struct Case {
    name: &'static str,
    tamper: fn(&mut Vec<TrailEntry>),
    found: Option<TrailFault>,
}

const CASES: [Case; 6] = [
    Case { name: "unchanged", tamper: |_| {}, found: None },
    Case {
        name: "one record is missing",
        tamper: |entries| {
            entries.remove(3);
        },
        found: Some(TrailFault::Missing { expected: 4, found: 5 }),
    },
    Case {
        name: "one record is missing and the others are renumbered",
        tamper: |entries| {
            entries.remove(3);
            (1..).zip(entries).for_each(|(number, entry)| entry.sequence = number);
        },
        found: Some(TrailFault::Altered { sequence: 4 }),
    },
    Case {
        name: "changed actor",
        tamper: |entries| entries[2].record.actor = Actor::System,
        found: Some(TrailFault::Altered { sequence: 3 }),
    },
    Case {
        name: "changed time",
        tamper: |entries| entries[4].record.at = UnixMs(9),
        found: Some(TrailFault::Altered { sequence: 5 }),
    },
    Case {
        name: "two records swapped",
        tamper: |entries| entries.swap(1, 2),
        found: Some(TrailFault::Missing { expected: 2, found: 3 }),
    },
];

/// Guards against undetected loss of audit records.
///
/// Single lines of a log can be lost or edited after they were written. Without the check, an
/// operator's action could be missing from the trail with no sign of it.
#[gtest]
fn missing_and_altered_records_are_detected() -> googletest::Result<()> {
    for case in &CASES {
        let mut entries = trail(RECORDS).since(0);
        (case.tamper)(&mut entries);
        expect_that!(check(&entries), eq(case.found), "{}", case.name);
    }
    Ok(())
}

#[gtest]
fn dropping_the_oldest_records_leaves_no_gap() -> googletest::Result<()> {
    let written = MAX_RECORDS as u64 + 10;
    let entries = trail(written).since(0);
    expect_that!(entries.len(), eq(MAX_RECORDS));
    expect_that!(entries[0].sequence, eq(11));
    expect_that!(check(&entries), none());
    Ok(())
}
