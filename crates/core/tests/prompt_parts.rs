//! Tests which parts of a prompt are read from a request.

use googletest::prelude::*;
use hickorycross_core::direct::PromptPart;

struct Case {
    name: &'static str,
    list: &'static str,
    ids: &'static [u128],
}

const CASES: &[Case] = &[
    Case { name: "no parts", list: "", ids: &[] },
    Case { name: "only commas", list: ",, ,", ids: &[] },
    Case { name: "only the request's own part", list: "5c:800", ids: &[] },
    Case { name: "three parts", list: "5c:800,91bd:410,e4:250", ids: &[0x5c, 0x91bd] },
    Case {
        name: "spaces and upper case",
        list: " 5C:800 , 91BD : 410 ,e4:1",
        ids: &[0x5c, 0x91bd],
    },
    Case { name: "a comma at the end", list: "5c:800,91bd:410,", ids: &[0x5c] },
    Case { name: "a part that is listed twice", list: "5c:1,5c:1,7:1,5c:1,e4:2", ids: &[0x5c, 7] },
    Case { name: "the own part is listed before", list: "e4:1,5c:1,e4:1", ids: &[0xe4, 0x5c] },
    Case {
        name: "entries that cannot be parsed",
        list: "5c:800,nohex:1,:3,7,8:,9:x,+a:1,91bd:410,e4:2",
        ids: &[0x5c, 0x91bd],
    },
    Case { name: "an entry that cannot be parsed at the end", list: "5c:800,what", ids: &[0x5c] },
    Case { name: "zero and leading zeros", list: "0:1,000:1,05c:1,e4:1", ids: &[0, 0x5c] },
    Case {
        name: "the longest id that is used as it is",
        list: "ffffffffffffffffffffffffffffffff:1,e4:1",
        ids: &[u128::MAX],
    },
];

fn ids(list: &str) -> Vec<u128> {
    PromptPart::parse_shared("svc", list).iter().map(|part| part.id).collect()
}

/// Guards against blaming a part that a request does not have, or missing one that it has.
#[gtest]
fn all_parts_but_the_last_are_read() {
    for case in CASES {
        expect_that!(ids(case.list), eq(case.ids), "{}", case.name);
    }
}

/// Guards against parts with long ids that are not told apart.
#[gtest]
fn ids_that_are_too_long_are_told_apart() {
    let (one, other) = ("a".repeat(40), "b".repeat(40));
    let found = ids(&format!("{one}:1,{other}:1,{}:1,e4:1", one.to_uppercase()));
    expect_that!(found.len(), eq(2));
    expect_that!(found[0], not(eq(found[1])));
}

/// Guards against a caller that invents parts to use up memory.
#[gtest]
fn the_number_of_parts_is_bounded() {
    let distinct: String = (0..10_000).map(|id| format!("{id:x}:1,")).collect();
    expect_that!(ids(&distinct).len(), eq(64));
    let repeated = "5c:1,".repeat(10_000);
    expect_that!(ids(&repeated), eq(&vec![0x5c]));
}

/// Guards against blaming a part at a service whose model can answer on it.
#[gtest]
fn services_are_told_apart() {
    let list = "5c:800,e4:1";
    let (one, other) = (PromptPart::parse_shared("a", list), PromptPart::parse_shared("b", list));
    expect_that!(one, not(eq(&other)));
}
