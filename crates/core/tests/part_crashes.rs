//! Tests which requests are refused because a part of their prompt crashes backend servers.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BootMs, CallerDigest, IncarnationDigest, PartCrashTable, PartEnd, PartReport, PartVerdict,
    PromptPart, ReportOutcome,
};

const NOW: BootMs = BootMs(10_000_000);

/// Time between two steps of a case.
const STEP_MS: u64 = 500;

/// Time from the beginning of an answer to the crash of its backend server.
const RAN_MS: u64 = 50;

/// Time for which answers speak for the parts of their prompts, and a little more.
const LONG_MS: u64 = 61_000;

/// Something that an entry observes of the parts with these ids, or time that passes.
#[derive(Clone, Copy)]
enum Step {
    /// The backend server with this number ended under a request of the first caller.
    Ended(u64, &'static [u128]),
    /// The same, under a request of the second caller.
    EndedOfOther(u64, &'static [u128]),
    /// The same, but no answer had begun.
    EndedNotBegun(u64, &'static [u128]),
    /// The same, at the same time as the step before.
    EndedAtOnce(u64, &'static [u128]),
    /// A request with these parts was answered.
    Answered(&'static [u128]),
    /// A request with these parts was sent as a trial.
    Tried(&'static [u128]),
    /// This much time passes.
    Passes(u64),
}

use Step::{Answered, Ended, EndedAtOnce, EndedNotBegun, EndedOfOther, Passes, Tried};

/// What is expected of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Allowed,
    Trial,
    Doubtful,
    Refused,
}

use Expected::{Allowed, Doubtful, Refused, Trial};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Requests by their parts, and what is expected of each.
    requests: &'static [(&'static [u128], Expected)],
}

const CASES: &[Case] = &[
    Case { name: "nothing", steps: &[], requests: &[(&[1, 2], Allowed), (&[], Allowed)] },
    Case {
        name: "one end",
        steps: &[Ended(1, &[1])],
        requests: &[(&[1], Trial), (&[2], Allowed), (&[2, 1, 3], Trial)],
    },
    Case {
        name: "one end, and a trial that is under way",
        steps: &[Ended(1, &[1]), Tried(&[1])],
        requests: &[(&[1], Doubtful), (&[2], Allowed)],
    },
    Case {
        name: "two ends one after the other",
        steps: &[Ended(1, &[1]), Ended(2, &[1])],
        requests: &[(&[1], Doubtful), (&[1, 2], Doubtful), (&[2], Allowed)],
    },
    Case {
        name: "three ends one after the other",
        steps: &[Ended(1, &[1]), Ended(2, &[1]), Ended(3, &[1])],
        requests: &[(&[1], Refused), (&[2, 1], Refused), (&[2], Allowed)],
    },
    Case {
        name: "backend servers that end at once for another reason",
        steps: &[Ended(1, &[1]), EndedAtOnce(2, &[1]), EndedAtOnce(3, &[1]), EndedAtOnce(4, &[1])],
        requests: &[(&[1], Trial)],
    },
    Case {
        name: "other parts of the same requests that were answered before",
        steps: &[Answered(&[2, 3]), Ended(1, &[2, 1, 3]), Ended(2, &[2, 1, 3]), Ended(3, &[1, 3])],
        requests: &[(&[1], Refused), (&[2, 3], Allowed)],
    },
    Case {
        name: "other parts of the same requests that are answered afterwards",
        steps: &[Ended(1, &[2, 1]), Ended(2, &[2, 1]), Answered(&[2]), Ended(3, &[2, 1])],
        requests: &[(&[1], Refused), (&[2], Allowed)],
    },
    Case {
        name: "other parts of the same requests of which nothing is known",
        steps: &[Ended(1, &[2, 1]), Ended(2, &[2, 1]), Ended(3, &[2, 1])],
        requests: &[(&[2, 1], Refused), (&[2], Trial), (&[1], Trial)],
    },
    Case {
        name: "parts that differ from request to request",
        steps: &[Ended(1, &[11, 1, 21]), Ended(2, &[12, 1, 22]), Ended(3, &[13, 1, 23])],
        requests: &[(&[14, 1, 24], Refused), (&[11, 21], Allowed), (&[23], Allowed)],
    },
    Case {
        name: "a part that is answered between the ends",
        steps: &[Ended(1, &[1]), Answered(&[1]), Ended(2, &[1]), Answered(&[1]), Ended(3, &[1])],
        requests: &[(&[1], Allowed)],
    },
    Case {
        name: "a part that was answered long ago",
        steps: &[Answered(&[1]), Passes(LONG_MS), Ended(1, &[1]), Ended(2, &[1]), Ended(3, &[1])],
        requests: &[(&[1], Refused)],
    },
    Case {
        name: "requests that waited unbegun",
        steps: &[EndedNotBegun(1, &[1]), EndedNotBegun(2, &[1]), EndedNotBegun(3, &[1])],
        requests: &[(&[1], Trial)],
    },
    Case {
        name: "engines that crash before they send a head",
        steps: &[
            EndedNotBegun(1, &[1]),
            EndedNotBegun(2, &[1]),
            EndedNotBegun(3, &[1]),
            EndedNotBegun(4, &[1]),
            EndedNotBegun(5, &[1]),
            EndedNotBegun(6, &[1]),
        ],
        requests: &[(&[1], Refused)],
    },
    Case {
        name: "a caller that names a part of another's beside what crashes servers",
        steps: &[EndedOfOther(1, &[1]), EndedOfOther(2, &[1]), EndedOfOther(3, &[1])],
        requests: &[(&[1], Trial)],
    },
    Case {
        name: "a part that crashes servers for every caller",
        steps: &[EndedOfOther(1, &[1]), EndedOfOther(2, &[1]), Ended(3, &[1])],
        requests: &[(&[1], Refused)],
    },
    Case {
        name: "a trial after a pause",
        steps: &[Ended(1, &[1]), Ended(2, &[1]), Ended(3, &[1]), Passes(120_000)],
        requests: &[(&[1], Trial)],
    },
    Case {
        name: "a trial that crashes a server again",
        steps: &[
            Ended(1, &[1]),
            Ended(2, &[1]),
            Ended(3, &[1]),
            Passes(120_000),
            Tried(&[1]),
            Ended(4, &[1]),
            Passes(300_000),
        ],
        requests: &[(&[1], Refused)],
    },
    Case {
        name: "a part that is answered again after a change of the model",
        steps: &[
            Ended(1, &[1]),
            Ended(2, &[1]),
            Ended(3, &[1]),
            Passes(120_000),
            Tried(&[1]),
            Answered(&[1]),
        ],
        requests: &[(&[1], Allowed)],
    },
];

fn part(id: u128) -> PromptPart {
    PromptPart { service_digest: 7, id }
}

fn parts(ids: &[u128]) -> Vec<PromptPart> {
    ids.iter().copied().map(part).collect()
}

const CALLER: CallerDigest = CallerDigest(1);
const OTHER_CALLER: CallerDigest = CallerDigest(2);

fn end(number: u64, had_begun: bool, caller: CallerDigest) -> PartEnd {
    let incarnation = IncarnationDigest(number);
    PartEnd { incarnation, caller, had_begun, despite_answers: false, ran_ms: RAN_MS }
}

/// Entries that hear of each other's reports at once.
struct Entries {
    tables: Vec<PartCrashTable>,
    /// The entry that makes the next observation.
    next: usize,
    now: BootMs,
}

impl Entries {
    fn new(count: usize) -> Self {
        Self { tables: vec![PartCrashTable::default(); count], next: 0, now: NOW }
    }

    /// Lets one entry observe a step, and the others hear of it.
    fn apply(&mut self, step: Step) {
        match step {
            EndedAtOnce(..) => {}
            Passes(span_ms) => self.now = self.now.after(span_ms),
            _ => self.now = self.now.after(STEP_MS),
        }
        match step {
            Ended(number, ids) | EndedAtOnce(number, ids) => {
                self.note_ended(ids, end(number, true, CALLER));
            }
            EndedOfOther(number, ids) => self.note_ended(ids, end(number, true, OTHER_CALLER)),
            EndedNotBegun(number, ids) => self.note_ended(ids, end(number, false, CALLER)),
            Answered(ids) => {
                let now = self.now;
                self.observe(ids, |table, part| table.note_answered(part, now, now));
            }
            Tried(ids) => {
                let now = self.now;
                self.observe(ids, |table, part| Some(table.note_tried(part, now)));
            }
            Passes(_) => {}
        }
        self.next = (self.next + 1) % self.tables.len();
    }

    fn note_ended(&mut self, ids: &[u128], end: PartEnd) {
        let now = self.now;
        self.observe(ids, |table, part| table.note_ended_here(part, end, now, now));
    }

    fn observe(
        &mut self,
        ids: &[u128],
        observe: impl Fn(&mut PartCrashTable, PromptPart) -> Option<PartReport>,
    ) {
        for id in ids {
            if let Some(report) = observe(&mut self.tables[self.next], part(*id)) {
                self.spread(report);
            }
        }
    }

    /// Lets all entries hear a report, and the answer of one that knows better.
    fn spread(&mut self, report: PartReport) {
        let now = self.now;
        let contradictions: Vec<PartReport> = self
            .tables
            .iter_mut()
            .filter_map(|table| match table.note(report, now) {
                ReportOutcome::Contradicted => table.answer_report(report.part, now),
                _ => None,
            })
            .collect();
        for contradiction in contradictions {
            self.spread(contradiction);
        }
    }
}

fn verdict(table: &PartCrashTable, ids: &[u128], now: BootMs) -> Expected {
    match table.judge(&parts(ids), CALLER, now) {
        PartVerdict::Allowed => Allowed,
        PartVerdict::Trial { .. } => Trial,
        PartVerdict::Doubtful { .. } => Doubtful,
        PartVerdict::Refused { .. } => Refused,
    }
}

/// Guards against refusing sound requests for a part that they share with those that crash backend
/// servers, and against sending these.
#[gtest]
fn a_request_is_refused_only_for_a_part_that_explains_the_crashes() {
    for case in CASES {
        let mut entries = Entries::new(1);
        case.steps.iter().for_each(|step| entries.apply(*step));
        for (ids, expected) in case.requests {
            let found = verdict(&entries.tables[0], ids, entries.now.after(1));
            expect_that!(found, eq(*expected), "{}: {ids:?}", case.name);
        }
    }
}

/// Guards against entries that decide otherwise than one entry that has seen everything.
#[gtest]
fn entries_that_hear_of_each_other_decide_alike() {
    for case in CASES {
        let mut entries = Entries::new(3);
        case.steps.iter().for_each(|step| entries.apply(*step));
        for (ids, expected) in case.requests {
            for (index, table) in entries.tables.iter().enumerate() {
                let found = verdict(table, ids, entries.now.after(1));
                expect_that!(found, eq(*expected), "{}: {ids:?} at {index}", case.name);
            }
        }
    }
}

/// Guards against an entry that has just started, or comes back, and lacks what the others know.
#[gtest]
fn reports_bring_another_entry_to_the_same_verdicts() {
    for case in CASES {
        let mut entries = Entries::new(1);
        case.steps.iter().for_each(|step| entries.apply(*step));
        let (known, now) = (&entries.tables[0], entries.now.after(1));
        let mut late = PartCrashTable::default();
        for report in known.reports(now) {
            let _ = late.note(report, now);
        }
        expect_that!(late.checksum(), eq(known.checksum()), "{}", case.name);
        for (ids, expected) in case.requests {
            expect_that!(verdict(&late, ids, now), eq(*expected), "{}: {ids:?}", case.name);
        }
    }
}

/// Guards against an entry without memory whose report of a well-known part gets it refused.
#[gtest]
fn an_entry_that_saw_an_answer_contradicts_a_reported_end() {
    let mut entries = Entries::new(2);
    entries.apply(Answered(&[1]));
    for number in 0..4 {
        entries.next = 1;
        entries.apply(Ended(number, &[1]));
    }
    for table in &entries.tables {
        expect_that!(verdict(table, &[1], entries.now), eq(Allowed));
    }
}

/// Guards against a part that was answered for a long time and stays trusted although the model
/// crashes on it since a change.
#[gtest]
fn answers_do_not_speak_for_a_part_forever() {
    for entry_count in [1, 3] {
        let mut entries = Entries::new(entry_count);
        for _ in 0..entry_count {
            entries.apply(Answered(&[1]));
        }
        for number in 0..5 * entry_count as u64 {
            entries.apply(Ended(number, &[1]));
        }
        for table in &entries.tables {
            expect_that!(verdict(table, &[1], entries.now), eq(Refused), "{entry_count} entries");
        }
    }
}

/// Guards against a table that grows without bound, or drops a blamed part for one that is not.
#[gtest]
fn a_full_table_keeps_blamed_parts() {
    let mut entries = Entries::new(1);
    [Ended(1, &[1]), Ended(2, &[1]), Ended(3, &[1])].iter().for_each(|it| entries.apply(*it));
    let now = entries.now;
    let table = &mut entries.tables[0];
    for id in 100..3_000 {
        let _ = table.note_ended_here(part(id), end(4, true, CALLER), now, now);
    }
    expect_that!(verdict(table, &[1], now), eq(Refused));
    expect_that!(table.reports(now).len(), lt(300));
}

/// Guards against ends of one part that use up memory and the network.
#[gtest]
fn the_ends_of_one_part_are_bounded() {
    let mut entries = Entries::new(1);
    for number in 0..100 {
        entries.apply(Ended(number, &[1]));
    }
    expect_that!(entries.tables[0].reports(entries.now).len(), le(10));
    expect_that!(verdict(&entries.tables[0], &[1], entries.now), eq(Refused));
}

/// Guards against trials that all entries begin at once after a pause.
#[gtest]
fn a_trial_at_one_entry_stops_those_of_others() {
    let mut entries = Entries::new(3);
    [Ended(1, &[1]), Ended(2, &[1]), Passes(30_000)].iter().for_each(|it| entries.apply(*it));
    for table in &entries.tables {
        expect_that!(verdict(table, &[1], entries.now), eq(Trial));
    }
    entries.apply(Tried(&[1]));
    for table in &entries.tables {
        expect_that!(verdict(table, &[1], entries.now), eq(Doubtful));
    }
}

/// Guards against a part that stays refused forever, or is forgotten while callers still send it.
#[gtest]
fn a_blamed_part_expires_once_callers_stop_sending_it() {
    const MINUTE_MS: u64 = 60_000;
    let mut entries = Entries::new(1);
    [Ended(1, &[1]), Ended(2, &[1]), Ended(3, &[1])].iter().for_each(|it| entries.apply(*it));
    let (table, mut now) = (&mut entries.tables[0], entries.now);
    for _ in 0..30 {
        now = now.after(MINUTE_MS);
        table.note_refused(part(1), now);
        table.expire(now);
    }
    expect_that!(table.ended_server_count(part(1)), eq(3));
    table.expire(now.after(30 * MINUTE_MS));
    expect_that!(verdict(table, &[1], now), eq(Allowed));
}
