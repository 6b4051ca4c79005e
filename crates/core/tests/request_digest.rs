//! Which requests count as the same.

use googletest::prelude::*;
use hickorycross_core::direct::{RequestDigest, RequestIdentity};

const ONE: RequestIdentity<'static> = RequestIdentity {
    caller: "team",
    method: "POST",
    host: "app.example",
    target: "/stream/a?b=c",
    body: b"the body",
};

struct Case {
    name: &'static str,
    other: RequestIdentity<'static>,
    is_same: bool,
}

const CASES: &[Case] = &[
    Case { name: "sent again", other: ONE, is_same: true },
    Case { name: "caller", other: RequestIdentity { caller: "other", ..ONE }, is_same: false },
    Case { name: "method", other: RequestIdentity { method: "PUT", ..ONE }, is_same: false },
    Case { name: "host", other: RequestIdentity { host: "b.example", ..ONE }, is_same: false },
    Case { name: "query", other: RequestIdentity { target: "/stream/a", ..ONE }, is_same: false },
    Case { name: "body", other: RequestIdentity { body: b"the bodz", ..ONE }, is_same: false },
    Case {
        name: "a part's end is not the next one's beginning",
        other: RequestIdentity { caller: "teamP", method: "OST", ..ONE },
        is_same: false,
    },
];

/// Guards against callers who are refused for what another one has sent.
#[gtest]
fn requests_are_the_same_only_in_all_their_parts() {
    for case in CASES {
        let is_same = RequestDigest::of(&ONE) == RequestDigest::of(&case.other);
        expect_that!(is_same, eq(case.is_same), "{}", case.name);
    }
}
