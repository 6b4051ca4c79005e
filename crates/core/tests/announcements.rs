//! Tests what backend servers announce about themselves, and which of them are chosen afterwards.

use googletest::prelude::*;
use hickorycross_core::direct::{
    BackendServer, BackendState, BackendTable, BootMs, UnreadableBackoff, parse_backoff_ms,
};

const SERVICE: &str = "svc";

struct ParseCase {
    text: &'static str,
    backoff_ms: Option<u64>,
}

/// Guards against a value that counts as no backoff, or as one of years.
#[gtest]
fn a_backoff_is_a_number_of_seconds_up_to_a_day() {
    let cases = [
        ParseCase { text: "3", backoff_ms: Some(3_000) },
        ParseCase { text: " 0.25 ", backoff_ms: Some(250) },
        ParseCase { text: "0.0001", backoff_ms: Some(1) },
        ParseCase { text: "0", backoff_ms: Some(0) },
        ParseCase { text: "86400", backoff_ms: Some(86_400_000) },
        ParseCase { text: "86401", backoff_ms: None },
        ParseCase { text: "1e300", backoff_ms: None },
        ParseCase { text: "1e400", backoff_ms: None },
        ParseCase { text: "inf", backoff_ms: None },
        ParseCase { text: "NaN", backoff_ms: None },
        ParseCase { text: "-1", backoff_ms: None },
        ParseCase { text: "", backoff_ms: None },
        ParseCase { text: "3 s", backoff_ms: None },
        ParseCase { text: "Wed, 21 Oct 2026 07:28:00 GMT", backoff_ms: None },
    ];
    for case in cases {
        let expected = case.backoff_ms.ok_or(UnreadableBackoff);
        expect_that!(parse_backoff_ms(case.text), eq(expected), "{:?}", case.text);
    }
}

fn server(id: &str, born_ms: u64) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        born_ms,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], id.len() as u16).into(),
        failure_domain: "a".to_owned(),
        slots: 4,
        state: BackendState::Ready,
        listed_at_revision: 1,
    }
}

/// Something that happens to the backend server `one`.
#[derive(Clone, Copy)]
enum Step {
    /// The incarnation with this start time asks at a moment for a backoff of so many milliseconds.
    Backoff { born_ms: u64, at: u64, backoff_ms: u64 },
    /// The incarnation with this start time announces that it is leaving.
    Leaving { born_ms: u64 },
    /// It answers a request.
    Answer,
    /// The store lists the incarnation with this start time as ready.
    Listed { born_ms: u64 },
    /// The store no longer lists it.
    Removed,
    /// The store is read as a whole, and does not list it.
    Missing,
    /// The store's entry cannot be read.
    Unreadable,
}

impl Step {
    fn apply(self, table: &mut BackendTable) {
        match self {
            Self::Backoff { born_ms, at, backoff_ms } => {
                let until = BootMs(at).after(backoff_ms);
                table.note_backoff(&server("one", born_ms), until, BootMs(at));
            }
            Self::Leaving { born_ms } => {
                table.note_announced_leaving(&server("one", born_ms), BootMs(0));
            }
            Self::Answer => table.note_success(&server("one", 0)),
            Self::Listed { born_ms } => {
                table.put(server("one", born_ms));
            }
            Self::Removed => {
                table.remove("one");
            }
            Self::Missing => {
                table.replace_all(vec![server("other", 1)], BootMs(0), None);
            }
            Self::Unreadable => {
                table.note_unreadable("one");
            }
        }
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// The last moment at which the backend server gets no requests; none if it gets some from the
    /// start. Later ones are sent there.
    kept_free_until: Option<u64>,
}

/// A moment after every backoff of the cases.
const MUCH_LATER: u64 = 10_000_000;

const CASES: &[Case] = &[
    Case { name: "nothing", steps: &[], kept_free_until: None },
    Case {
        name: "a backoff",
        steps: &[Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 }],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "a shorter one after it",
        steps: &[
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Backoff { born_ms: 5, at: 200, backoff_ms: 10 },
        ],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "a longer one after it",
        steps: &[
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Backoff { born_ms: 5, at: 200, backoff_ms: 4_000 },
        ],
        kept_free_until: Some(4_199),
    },
    Case {
        name: "an answer to an earlier request",
        steps: &[Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 }, Step::Answer],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "dropped and listed again",
        steps: &[
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Removed,
            Step::Listed { born_ms: 5 },
        ],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "announced while it was not listed",
        steps: &[
            Step::Removed,
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Listed { born_ms: 5 },
        ],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "unreadable and listed again",
        steps: &[
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Unreadable,
            Step::Listed { born_ms: 5 },
        ],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "listed without a start time",
        steps: &[
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Removed,
            Step::Listed { born_ms: 0 },
        ],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "restarted",
        steps: &[
            Step::Backoff { born_ms: 5, at: 100, backoff_ms: 3_000 },
            Step::Leaving { born_ms: 5 },
            Step::Listed { born_ms: 6 },
        ],
        kept_free_until: None,
    },
    Case {
        name: "restarted, after its start time became known",
        steps: &[
            Step::Backoff { born_ms: 0, at: 100, backoff_ms: 600_000 },
            Step::Leaving { born_ms: 0 },
            Step::Listed { born_ms: 5 },
            Step::Listed { born_ms: 6 },
        ],
        kept_free_until: None,
    },
    Case {
        name: "a late answer of the incarnation before a restart",
        steps: &[
            Step::Listed { born_ms: 6 },
            Step::Backoff { born_ms: 6, at: 100, backoff_ms: 3_000 },
            Step::Leaving { born_ms: 5 },
            Step::Backoff { born_ms: 5, at: 200, backoff_ms: 600_000 },
        ],
        kept_free_until: Some(3_099),
    },
    Case {
        name: "the first answer heard is of the incarnation before a restart",
        steps: &[
            Step::Listed { born_ms: 6 },
            Step::Leaving { born_ms: 5 },
            Step::Backoff { born_ms: 5, at: 200, backoff_ms: 600_000 },
        ],
        kept_free_until: None,
    },
    Case {
        name: "leaving",
        steps: &[Step::Leaving { born_ms: 5 }],
        kept_free_until: Some(MUCH_LATER),
    },
    Case {
        name: "leaving, dropped and listed again",
        steps: &[Step::Leaving { born_ms: 5 }, Step::Removed, Step::Listed { born_ms: 5 }],
        kept_free_until: Some(MUCH_LATER),
    },
    Case {
        name: "leaving, missing in a listing and listed again",
        steps: &[Step::Leaving { born_ms: 5 }, Step::Missing, Step::Listed { born_ms: 5 }],
        kept_free_until: Some(MUCH_LATER),
    },
    Case {
        name: "leaving, announced while it was not listed",
        steps: &[Step::Removed, Step::Leaving { born_ms: 5 }, Step::Listed { born_ms: 5 }],
        kept_free_until: Some(MUCH_LATER),
    },
    Case {
        name: "leaving, and an earlier incarnation is listed again",
        steps: &[Step::Leaving { born_ms: 5 }, Step::Removed, Step::Listed { born_ms: 4 }],
        kept_free_until: Some(MUCH_LATER),
    },
];

/// Guards against requests to a backend server that is leaving or asked for a backoff, whatever the
/// store lists in the meantime, and against a restarted one that gets none.
#[gtest]
fn announcements_bind_the_incarnation_that_made_them() {
    for case in CASES {
        let mut table = BackendTable::new("a");
        table.put(server("one", 5));
        case.steps.iter().for_each(|step| step.apply(&mut table));
        table.remove("other");
        let is_chosen = |at: u64| table.choose(SERVICE, &[], BootMs(at), 0.0).is_some();
        expect_that!(
            is_chosen(case.kept_free_until.unwrap_or(0)),
            eq(case.kept_free_until.is_none()),
            "{}",
            case.name
        );
        let expects_return = case.kept_free_until.is_none_or(|until| until < MUCH_LATER);
        let next = case.kept_free_until.map_or(0, |until| until + 1);
        expect_that!(is_chosen(next), eq(expects_return), "{}: afterwards", case.name);
    }
}

/// Guards against a request to the only backend server that is left, as to one that is paused,
/// although it asked for a backoff.
#[gtest]
fn a_backoff_holds_when_no_other_backend_server_is_left() {
    let mut table = BackendTable::new("a");
    table.put(server("one", 5));
    table.put(server("second", 5));
    table.note_backoff(&server("one", 5), BootMs(3_000), BootMs(0));
    let chosen = |tried: &[String]| {
        let choice = table.choose(SERVICE, tried, BootMs(1_000), 0.5);
        choice.map(|choice| choice.server.id)
    };
    expect_that!(chosen(&[]), some(eq("second")));
    expect_that!(chosen(&["second".to_owned()]), none());
}
