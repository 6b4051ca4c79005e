//! Tests which requests have the same digest.

use googletest::prelude::*;
use hickorycross_core::direct::{RequestDigest, RequestIdentity};

const REQUEST: RequestIdentity<'static> = RequestIdentity {
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
    Case { name: "repeated", other: REQUEST, is_same: true },
    Case { name: "caller", other: RequestIdentity { caller: "other", ..REQUEST }, is_same: false },
    Case { name: "method", other: RequestIdentity { method: "PUT", ..REQUEST }, is_same: false },
    Case { name: "host", other: RequestIdentity { host: "b.example", ..REQUEST }, is_same: false },
    Case {
        name: "query",
        other: RequestIdentity { target: "/stream/a", ..REQUEST },
        is_same: false,
    },
    Case { name: "body", other: RequestIdentity { body: b"the bodz", ..REQUEST }, is_same: false },
    Case {
        name: "bytes moved from the method to the caller",
        other: RequestIdentity { caller: "teamP", method: "OST", ..REQUEST },
        is_same: false,
    },
];

/// Guards against refusing a caller's request for a different one that crashed backend servers.
#[gtest]
fn requests_are_the_same_only_if_all_parts_are() {
    for case in CASES {
        let is_same = RequestDigest::of(&REQUEST) == RequestDigest::of(&case.other);
        expect_that!(is_same, eq(case.is_same), "{}", case.name);
    }
}
