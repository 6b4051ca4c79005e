//! Tests which requests are refused because they crash backend servers.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, CrashTable, IncarnationDigest, ReportOutcome, RequestDigest, RequestObservation,
    RequestReport,
};

const REQUEST: RequestDigest = RequestDigest(1);
const NOW: BootMs = BootMs(1_000_000);

/// Something that an entry observes or is told about a request.
#[derive(Clone, Copy)]
enum Input {
    /// The backend server with this number ended after it had begun to answer the request.
    Ended(u64),
    /// It ended before it had begun to answer the request.
    EndedNotBegun(u64),
    /// Another entry saw the request answered, this many milliseconds ago.
    AnsweredAgo(u64),
    /// This entry saw the request answered.
    Answered,
    /// The backend server may have ended after it had begun to answer the request.
    Suspected(u64),
    /// A backend server that was suspected of having ended is alive.
    Alive(u64),
}

struct Case {
    name: &'static str,
    inputs: &'static [Input],
    is_refused: bool,
}

use Input::{Alive, Answered, AnsweredAgo, Ended, EndedNotBegun, Suspected};

const CASES: &[Case] = &[
    Case { name: "two ends", inputs: &[Ended(1), Ended(2)], is_refused: false },
    Case { name: "three ends", inputs: &[Ended(1), Ended(2), Ended(3)], is_refused: true },
    Case {
        name: "one end that is reported several times",
        inputs: &[Ended(1), Ended(1), Ended(1), EndedNotBegun(1)],
        is_refused: false,
    },
    Case {
        name: "a request queued at three servers that ended",
        inputs: &[EndedNotBegun(1), EndedNotBegun(2), EndedNotBegun(3)],
        is_refused: false,
    },
    Case {
        name: "a request that crashes engines before they send a head",
        inputs: &[
            EndedNotBegun(1),
            EndedNotBegun(2),
            EndedNotBegun(3),
            EndedNotBegun(4),
            EndedNotBegun(5),
            EndedNotBegun(6),
        ],
        is_refused: true,
    },
    Case {
        name: "a frequent request that this entry sees answered",
        inputs: &[Ended(1), Ended(2), Answered, Ended(3), Ended(4), Ended(5)],
        is_refused: false,
    },
    Case {
        name: "a frequent request that others see answered",
        inputs: &[Ended(1), Ended(2), AnsweredAgo(0), Ended(3)],
        is_refused: false,
    },
    Case {
        name: "an answer older than the ends",
        inputs: &[Ended(1), AnsweredAgo(1), Ended(2), Ended(3)],
        is_refused: true,
    },
    Case {
        name: "a broken connection to a server that is alive",
        inputs: &[Ended(1), Ended(2), Suspected(3), Alive(3)],
        is_refused: false,
    },
    Case {
        name: "a suspected end that another entry confirms",
        inputs: &[Ended(1), Ended(2), Suspected(3), Ended(3), Alive(3)],
        is_refused: true,
    },
];

fn ended(number: u64, had_begun: bool, age_ms: u64) -> RequestReport {
    let seen =
        RequestObservation::BackendEnded { incarnation: IncarnationDigest(number), had_begun };
    RequestReport { digest: REQUEST, seen, age_ms }
}

fn apply(table: &mut CrashTable, input: Input) {
    let answered =
        |age_ms| RequestReport { digest: REQUEST, seen: RequestObservation::Answered, age_ms };
    let _ = match input {
        Ended(number) => table.note(ended(number, true, 0), NOW),
        Suspected(number) => {
            let _ = table.suspect(REQUEST, IncarnationDigest(number), true, NOW);
            ReportOutcome::Known
        }
        EndedNotBegun(number) => table.note(ended(number, false, 0), NOW),
        AnsweredAgo(age_ms) => table.note(answered(age_ms), NOW),
        Answered => {
            let _ = table.note_answered(REQUEST, NOW);
            ReportOutcome::Known
        }
        Alive(number) => {
            table.retract(REQUEST, IncarnationDigest(number));
            ReportOutcome::Known
        }
    };
}

/// Guards against refusing requests that merely ran beside one that crashes backend servers.
#[gtest]
fn a_request_is_refused_only_for_crashes_that_it_explains() {
    for case in CASES {
        let mut table = CrashTable::default();
        case.inputs.iter().for_each(|input| apply(&mut table, *input));
        expect_that!(table.is_refused(REQUEST), eq(case.is_refused), "{}", case.name);
        expect_false!(table.is_refused(RequestDigest(2)), "{}: another request", case.name);
    }
}

/// Guards against an entry that has just started and lacks the observations of the others.
#[gtest]
fn reports_bring_another_entry_to_the_same_state() {
    for case in CASES {
        let (mut one, mut other) = (CrashTable::default(), CrashTable::default());
        case.inputs.iter().for_each(|input| apply(&mut one, *input));
        let reports = one.reports(NOW);
        for report in reports.iter().rev() {
            let _ = other.note(*report, NOW);
        }
        expect_that!(other.is_refused(REQUEST), eq(one.is_refused(REQUEST)), "{}", case.name);
        expect_that!(other.checksum(), eq(one.checksum()), "{}", case.name);
    }
}

/// Guards against a suspicion that other entries take for certain and that nobody retracts.
#[gtest]
fn suspected_ends_count_locally_and_are_not_reported() {
    let mut table = CrashTable::default();
    [Ended(1), Ended(2)].into_iter().for_each(|input| apply(&mut table, input));
    let (reports, checksum) = (table.reports(NOW), table.checksum());
    expect_true!(table.suspect(REQUEST, IncarnationDigest(3), true, NOW));
    expect_true!(table.is_refused(REQUEST));
    expect_that!(table.reports(NOW), eq(&reports));
    expect_that!(table.checksum(), eq(checksum));
    expect_that!(
        table.note(ended(3, true, 0), NOW),
        eq(ReportOutcome::New),
        "the end is now certain"
    );
    expect_that!(table.reports(NOW).len(), eq(reports.len() + 1));
}

/// Guards against a request that one entry saw answered but that stays refused at others.
#[gtest]
fn an_entry_that_saw_an_answer_contradicts_a_reported_end() {
    let mut table = CrashTable::default();
    let _ = table.note_answered(REQUEST, NOW);
    expect_that!(table.note(ended(1, true, 0), NOW), eq(ReportOutcome::Contradicted));
}

/// Guards against a table that grows without bound, or drops a refused request for one that is not.
#[gtest]
fn a_full_table_keeps_refused_requests() {
    let mut table = CrashTable::default();
    [Ended(1), Ended(2), Ended(3)].into_iter().for_each(|input| apply(&mut table, input));
    for request in 2..2_000 {
        let report = RequestReport { digest: RequestDigest(request), ..ended(4, true, 0) };
        let _ = table.note(report, NOW);
    }
    expect_true!(table.is_refused(REQUEST));
    expect_that!(table.reports(NOW).len(), lt(300));
}

/// Guards against a request that stays refused forever, or is dropped while callers still send it.
#[gtest]
fn a_refused_request_expires_once_callers_stop_sending_it() {
    const MINUTE_MS: u64 = 60_000;
    let mut table = CrashTable::default();
    [Ended(1), Ended(2), Ended(3)].into_iter().for_each(|input| apply(&mut table, input));
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
