//! Tests what entries tell each other of the list of backend servers.

use googletest::prelude::*;
use hickorycross_core::direct::{ListingChange, ListingHistory, ListingUpdate};

fn gone(name: &str) -> ListingChange {
    ListingChange::Gone(name.to_owned())
}

fn update(as_of: u64, names: &[&str]) -> ListingUpdate {
    ListingUpdate { changes: names.iter().map(|name| gone(name)).collect(), as_of }
}

fn history() -> ListingHistory {
    let mut history = ListingHistory::default();
    history.restart(10);
    history.extend(update(20, &["a", "b"]));
    history.extend(update(30, &[]));
    history.extend(update(40, &["c"]));
    history
}

struct Case {
    name: &'static str,
    after: u64,
    /// The names in the update, or `None` if the whole list is needed.
    names: Option<&'static [&'static str]>,
}

const CASES: &[Case] = &[
    Case { name: "knows nothing", after: 0, names: None },
    Case { name: "knows a list from before the first kept change", after: 9, names: None },
    Case { name: "knows the list at the start", after: 10, names: Some(&["a", "b", "c"]) },
    Case { name: "is within an update", after: 15, names: Some(&["a", "b", "c"]) },
    Case { name: "lacks the last update", after: 20, names: Some(&["c"]) },
    Case {
        name: "lacks the last update, and knows of a later revision",
        after: 35,
        names: Some(&["c"]),
    },
    Case { name: "lacks nothing", after: 40, names: Some(&[]) },
];

/// Guards against a whole list for each process that lacks one change, which grows with the square of
/// the fleet.
#[gtest]
fn a_process_gets_the_changes_that_it_lacks() {
    for case in CASES {
        let expected = case.names.map(|names| update(40, names));
        expect_that!(history().since(case.after), eq(&expected), "{}", case.name);
    }
}

#[gtest]
fn an_update_that_is_known_changes_nothing() {
    let mut history = history();
    history.extend(update(40, &["d"]));
    history.extend(update(25, &["e"]));
    expect_that!(history.since(10), some(eq(&update(40, &["a", "b", "c"]))));
}

/// Guards against a history that grows without bound, and against one that passes a part of an update
/// on as the whole of it.
#[gtest]
fn old_changes_are_dropped_by_whole_updates() {
    let mut history = ListingHistory::default();
    history.restart(1);
    for as_of in 2..2_000 {
        history.extend(update(as_of, &["a", "b", "c"]));
    }
    expect_that!(history.since(1), none());
    let kept_from = (1..2_000).find(|after| history.since(*after).is_some());
    let kept_from = kept_from.expect("the last updates are kept");
    expect_that!(kept_from, gt(1_000));
    let kept = history.since(kept_from).map(|update| update.changes.len());
    let updates = usize::try_from(1_999 - kept_from).expect("a small number");
    expect_that!(kept, some(eq(3 * updates)));
}
