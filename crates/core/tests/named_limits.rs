//! What is believed of backend servers that name how many requests they take.

use googletest::prelude::*;
use hickorycross_core::direct::{BackendLimits, BootMs, IncarnationDigest, LimitReport};

const SERVER: IncarnationDigest = IncarnationDigest(1);
const NOW: BootMs = BootMs(1_000_000);

/// Words on one backend server in the order in which they arrive.
struct Case {
    name: &'static str,
    /// Thousandths of a request a second, and the word's age.
    reports: &'static [(Option<u64>, u64)],
    believed: Option<u64>,
    /// Whether others are to be told of the last word.
    is_news: bool,
}

const CASES: &[Case] = &[
    Case { name: "never in need", reports: &[(None, 0)], believed: None, is_news: false },
    Case { name: "in need", reports: &[(Some(1_100), 0)], believed: Some(1_100), is_news: true },
    Case {
        name: "said again",
        reports: &[(Some(1_100), 9), (Some(1_100), 0)],
        believed: Some(1_100),
        is_news: false,
    },
    Case {
        name: "lowered",
        reports: &[(Some(1_100), 9), (Some(700), 0)],
        believed: Some(700),
        is_news: true,
    },
    Case { name: "over", reports: &[(Some(1_100), 9), (None, 0)], believed: None, is_news: true },
    Case {
        name: "an answer that was overtaken",
        reports: &[(Some(1_100), 5), (None, 9)],
        believed: Some(1_100),
        is_news: false,
    },
    Case {
        name: "slight changes that add up",
        reports: &[(Some(1_000), 9), (Some(960), 8), (Some(920), 7)],
        believed: Some(920),
        is_news: true,
    },
    Case { name: "nothing at all", reports: &[(Some(0), 0)], believed: Some(0), is_news: true },
];

/// Guards against entries that go by an older word than another one has.
#[gtest]
fn the_newest_word_holds() {
    for case in CASES {
        let mut limits = BackendLimits::default();
        let mut is_news = false;
        for (millirequests_per_s, age_ms) in case.reports {
            let (incarnation, age_ms) = (SERVER, *age_ms);
            let millirequests_per_s = *millirequests_per_s;
            let report = LimitReport { incarnation, millirequests_per_s, age_ms };
            is_news = limits.note(report, NOW);
        }
        expect_that!(limits.millirequests_per_s(SERVER), eq(case.believed), "{}", case.name);
        expect_that!(is_news, eq(case.is_news), "{}", case.name);
        let mut other = BackendLimits::default();
        for report in limits.reports(NOW) {
            let _ = other.note(report, NOW);
        }
        expect_that!(
            other.checksum(),
            eq(limits.checksum()),
            "{}: told to another entry",
            case.name
        );
    }
}
