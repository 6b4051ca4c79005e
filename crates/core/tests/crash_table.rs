//! Which requests are refused because backend servers end under them.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, CrashTable, IncarnationDigest, ReportOutcome, RequestDigest, RequestObservation,
    RequestReport,
};

const REQUEST: RequestDigest = RequestDigest(1);
const NOW: BootMs = BootMs(1_000_000);

/// What an entry hears, in this order.
#[derive(Clone, Copy)]
enum Heard {
    /// A backend server of this number ended under the request that was at work there.
    Ended(u64),
    /// One ended that had the request in its queue.
    EndedUnbegun(u64),
    /// Another entry saw it answered, so long ago.
    AnsweredAgo(u64),
    /// This entry saw it answered.
    Answered,
    /// One may have ended under the request that was at work there.
    Suspected(u64),
    /// One that may have ended lives.
    Lives(u64),
}

struct Case {
    name: &'static str,
    heard: &'static [Heard],
    is_refused: bool,
}

use Heard::{Answered, AnsweredAgo, Ended, EndedUnbegun, Lives, Suspected};

const CASES: &[Case] = &[
    Case { name: "two ends", heard: &[Ended(1), Ended(2)], is_refused: false },
    Case { name: "three ends", heard: &[Ended(1), Ended(2), Ended(3)], is_refused: true },
    Case {
        name: "one end that is told thrice",
        heard: &[Ended(1), Ended(1), Ended(1), EndedUnbegun(1)],
        is_refused: false,
    },
    Case {
        name: "a bystander in three queues",
        heard: &[EndedUnbegun(1), EndedUnbegun(2), EndedUnbegun(3)],
        is_refused: false,
    },
    Case {
        name: "a request that ends engines before they have sent a head",
        heard: &[
            EndedUnbegun(1),
            EndedUnbegun(2),
            EndedUnbegun(3),
            EndedUnbegun(4),
            EndedUnbegun(5),
            EndedUnbegun(6),
        ],
        is_refused: true,
    },
    Case {
        name: "a popular request that this entry sees answered",
        heard: &[Ended(1), Ended(2), Answered, Ended(3), Ended(4), Ended(5)],
        is_refused: false,
    },
    Case {
        name: "a popular request that others see answered",
        heard: &[Ended(1), Ended(2), AnsweredAgo(0), Ended(3)],
        is_refused: false,
    },
    Case {
        name: "an answer from before",
        heard: &[Ended(1), AnsweredAgo(1), Ended(2), Ended(3)],
        is_refused: true,
    },
    Case {
        name: "a connection that broke though its backend server lives",
        heard: &[Ended(1), Ended(2), Suspected(3), Lives(3)],
        is_refused: false,
    },
    Case {
        name: "a third end that others are certain of",
        heard: &[Ended(1), Ended(2), Suspected(3), Ended(3), Lives(3)],
        is_refused: true,
    },
];

fn ended(number: u64, had_begun: bool, age_ms: u64) -> RequestReport {
    let seen =
        RequestObservation::BackendEnded { incarnation: IncarnationDigest(number), had_begun };
    RequestReport { digest: REQUEST, seen, age_ms }
}

fn hear(table: &mut CrashTable, heard: Heard) {
    let answered =
        |age_ms| RequestReport { digest: REQUEST, seen: RequestObservation::Answered, age_ms };
    let _ = match heard {
        Ended(number) => table.note(ended(number, true, 0), NOW),
        Suspected(number) => {
            let _ = table.suspect(REQUEST, IncarnationDigest(number), true, NOW);
            ReportOutcome::Known
        }
        EndedUnbegun(number) => table.note(ended(number, false, 0), NOW),
        AnsweredAgo(age_ms) => table.note(answered(age_ms), NOW),
        Answered => {
            let _ = table.note_answered(REQUEST, NOW);
            ReportOutcome::Known
        }
        Lives(number) => {
            table.retract(REQUEST, IncarnationDigest(number));
            ReportOutcome::Known
        }
    };
}

/// Guards against callers who are refused for what ran beside their request.
#[gtest]
fn a_request_is_refused_for_ends_that_only_it_explains() {
    for case in CASES {
        let mut table = CrashTable::default();
        case.heard.iter().for_each(|heard| hear(&mut table, *heard));
        expect_that!(table.is_refused(REQUEST), eq(case.is_refused), "{}", case.name);
        expect_false!(table.is_refused(RequestDigest(2)), "{}: another request", case.name);
    }
}

/// Guards against an entry that has just started and takes its empty table for the truth.
#[gtest]
fn what_one_entry_knows_makes_another_one_know_the_same() {
    for case in CASES {
        let (mut one, mut other) = (CrashTable::default(), CrashTable::default());
        case.heard.iter().for_each(|heard| hear(&mut one, *heard));
        let reports = one.reports(NOW);
        for report in reports.iter().rev() {
            let _ = other.note(*report, NOW);
        }
        expect_that!(other.is_refused(REQUEST), eq(one.is_refused(REQUEST)), "{}", case.name);
        expect_that!(other.checksum(), eq(one.checksum()), "{}", case.name);
    }
}

/// Guards against a mere suspicion that other entries take for certain, and nobody takes back.
#[gtest]
fn what_is_only_suspected_holds_here_and_is_not_told() {
    let mut table = CrashTable::default();
    [Ended(1), Ended(2)].into_iter().for_each(|heard| hear(&mut table, heard));
    let (reports, sum) = (table.reports(NOW), table.checksum());
    expect_true!(table.suspect(REQUEST, IncarnationDigest(3), true, NOW));
    expect_true!(table.is_refused(REQUEST));
    expect_that!(table.reports(NOW), eq(&reports));
    expect_that!(table.checksum(), eq(sum));
    expect_that!(table.note(ended(3, true, 0), NOW), eq(ReportOutcome::New), "it is certain now");
    expect_that!(table.reports(NOW).len(), eq(reports.len() + 1));
}

/// Guards against one entry's answered request that stays refused at others.
#[gtest]
fn an_entry_that_has_seen_an_answer_contradicts() {
    let mut table = CrashTable::default();
    let _ = table.note_answered(REQUEST, NOW);
    expect_that!(table.note(ended(1, true, 0), NOW), eq(ReportOutcome::Contradicted));
}

/// Guards against a table that grows without bound, or forgets a refused request for ones that are not.
#[gtest]
fn a_full_table_keeps_what_it_refuses() {
    let mut table = CrashTable::default();
    [Ended(1), Ended(2), Ended(3)].into_iter().for_each(|heard| hear(&mut table, heard));
    for request in 2..2_000 {
        let report = RequestReport { digest: RequestDigest(request), ..ended(4, true, 0) };
        let _ = table.note(report, NOW);
    }
    expect_true!(table.is_refused(REQUEST));
    expect_that!(table.reports(NOW).len(), lt(300));
}

/// Guards against a request that is refused for good, and one that is forgotten while it keeps coming.
#[gtest]
fn a_request_is_forgotten_once_it_stays_away() {
    const MINUTE_MS: u64 = 60_000;
    let mut table = CrashTable::default();
    [Ended(1), Ended(2), Ended(3)].into_iter().for_each(|heard| hear(&mut table, heard));
    let mut now = NOW;
    for _ in 0..30 {
        now = now.after(MINUTE_MS);
        table.note_refused(REQUEST, now);
        table.expire(now);
    }
    expect_true!(table.is_refused(REQUEST));
    table.expire(now.after(30 * MINUTE_MS));
    expect_false!(table.is_refused(REQUEST));
}
