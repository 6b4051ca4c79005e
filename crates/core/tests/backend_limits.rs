//! Tests which announced limit of a backend server an entry applies.

use googletest::prelude::*;
use hickorycross_core::direct::{BackendLimits, BootMs, IncarnationDigest, LimitReport};

const SERVER: IncarnationDigest = IncarnationDigest(1);
const NOW: BootMs = BootMs(1_000_000);

/// Reports on one backend server in the order in which they arrive.
struct Case {
    name: &'static str,
    /// Limit in thousandths of a request per second, and age of the report in milliseconds.
    reports: &'static [(Option<u64>, u64)],
    applied: Option<u64>,
    /// Whether the last report is to be sent to other entries.
    is_news: bool,
}

const CASES: &[Case] = &[
    Case { name: "never limited", reports: &[(None, 0)], applied: None, is_news: false },
    Case { name: "limited", reports: &[(Some(1_100), 0)], applied: Some(1_100), is_news: true },
    Case {
        name: "repeated",
        reports: &[(Some(1_100), 9), (Some(1_100), 0)],
        applied: Some(1_100),
        is_news: false,
    },
    Case {
        name: "lowered",
        reports: &[(Some(1_100), 9), (Some(700), 0)],
        applied: Some(700),
        is_news: true,
    },
    Case {
        name: "limit withdrawn",
        reports: &[(Some(1_100), 9), (None, 0)],
        applied: None,
        is_news: true,
    },
    Case {
        name: "an older report that arrives late",
        reports: &[(Some(1_100), 5), (None, 9)],
        applied: Some(1_100),
        is_news: false,
    },
    Case {
        name: "small changes that add up",
        reports: &[(Some(1_000), 9), (Some(960), 8), (Some(920), 7)],
        applied: Some(920),
        is_news: true,
    },
    Case { name: "a limit of zero", reports: &[(Some(0), 0)], applied: Some(0), is_news: true },
];

/// Guards against entries that apply an older report than others have.
#[gtest]
fn the_newest_report_applies() {
    for case in CASES {
        let mut limits = BackendLimits::default();
        let mut is_news = false;
        for (millirequests_per_s, age_ms) in case.reports {
            let (incarnation, age_ms) = (SERVER, *age_ms);
            let millirequests_per_s = *millirequests_per_s;
            let report = LimitReport { incarnation, millirequests_per_s, age_ms };
            is_news = limits.note(report, NOW);
        }
        expect_that!(limits.millirequests_per_s(SERVER), eq(case.applied), "{}", case.name);
        expect_that!(is_news, eq(case.is_news), "{}", case.name);
        let mut other = BackendLimits::default();
        for report in limits.reports(NOW) {
            let _ = other.note(report, NOW);
        }
        expect_that!(
            other.checksum(),
            eq(limits.checksum()),
            "{}: sent to another entry",
            case.name
        );
    }
}
