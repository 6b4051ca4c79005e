//! Tests the texts of the changes and warnings that operators see for a modified document.

mod common;

use common::modified_example;
use googletest::prelude::*;
use hickorycross_config::{Document, diff, parse, warnings};
use serde_json::{Value, json};

/// A modification of the example document, with the exact lines that it must produce.
struct Case {
    name: &'static str,
    change: fn(&mut Value),
    changes: &'static [&'static str],
    warnings: &'static [&'static str],
}

fn parse_modified(change: fn(&mut Value)) -> Document {
    parse(&modified_example(change)).expect("the change keeps the document valid")
}

fn lines<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

fn remove(list: &mut Value, index: usize) {
    list.as_array_mut().expect("a list").remove(index);
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "nothing", change: |_| {}, changes: &[], warnings: &[] },
    Case { name: "a title", change: |d| d["title"] = json!("Other fleet"),
        changes: &["document: title \"Connection Application Assistant Router Fleet\" -> \"Other fleet\""], warnings: &[] },
    Case { name: "a limit raised", change: |d| d["teams"][0]["limit"]["requests_per_s"] = json!(240),
        changes: &["team clerks-krakow: limit.requests_per_s 120 -> 240"], warnings: &[] },
    Case { name: "limits lowered",
        change: |d| d["teams"][0]["limit"] = json!({"requests_per_s": 60, "burst_requests": 1}),
        changes: &["team clerks-krakow: limit.burst_requests 240 -> 1", "team clerks-krakow: limit.requests_per_s 120 -> 60"],
        warnings: &["team clerks-krakow: limit.requests_per_s lowered from 120 to 60",
            "team clerks-krakow: limit.burst_requests lowered from 240 to 1"] },
    Case { name: "a key replaced", change: |d| d["teams"][0]["key_hashes"][0] = json!("ab".repeat(32)),
        changes: &["team clerks-krakow: key_hashes removed 2d181ff5", "team clerks-krakow: key_hashes added abababab"],
        warnings: &["team clerks-krakow: key 2d181ff5 removed, callers that use it will be refused"] },
    Case { name: "a team removed", change: |d| remove(&mut d["teams"], 9),
        changes: &["team case-archive: removed"],
        warnings: &["team case-archive: removed, its callers will be refused"] },
    Case { name: "a team renamed", change: |d| d["teams"][9]["id"] = json!("archive"),
        changes: &["team case-archive: removed", "team archive: added"],
        warnings: &["team case-archive: removed, its callers will be refused"] },
    Case { name: "a team promoted", change: |d| d["teams"][9]["tier"] = json!("urgent"),
        changes: &["team case-archive: tier basic -> urgent"], warnings: &[] },
    Case { name: "a team demoted", change: |d| d["teams"][0]["tier"] = json!("basic"),
        changes: &["team clerks-krakow: tier urgent -> basic"],
        warnings: &["team clerks-krakow: demoted from tier urgent, rank 0, to tier basic, rank 2"] },
    Case { name: "teams in another order", change: |d| d["teams"].as_array_mut().unwrap().swap(0, 1),
        changes: &["document: teams reordered"], warnings: &[] },
    Case { name: "a balance weight", change: |d| d["balance"]["skew_weight"] = json!(2.5),
        changes: &["balance: skew_weight 1.0 -> 2.5"], warnings: &[] },
    Case { name: "a default made explicit", change: |d| d["tiers"][0] = json!({"id": "urgent", "rank": 0, "first_chunk_target_ms": 800}),
        changes: &[], warnings: &[] },
    Case { name: "a failure domain renamed",
        change: |d| {
            d["failure_domains"][2]["id"] = json!("tarnow");
            for index in [8, 9, 10, 11, 14] { d["backend_servers"][index]["failure_domain"] = json!("tarnow"); }
        },
        changes: &["failure domain rzeszow: removed", "failure domain tarnow: added",
            "backend server runner-rzeszow-1: failure_domain rzeszow -> tarnow", "backend server runner-rzeszow-2: failure_domain rzeszow -> tarnow",
            "backend server runner-rzeszow-3: failure_domain rzeszow -> tarnow", "backend server runner-rzeszow-4: failure_domain rzeszow -> tarnow",
            "backend server case-service-rzeszow: failure_domain rzeszow -> tarnow"],
        warnings: &["failure domain rzeszow: removed, 5 backend servers stood in it"] },
    Case { name: "an engine removed from a group",
        change: |d| { remove(&mut d["backend_servers"], 8); remove(&mut d["model_groups"][2]["backend_servers"], 0); },
        changes: &["backend server runner-rzeszow-1: removed", "model group case-status: backend_servers removed runner-rzeszow-1"],
        warnings: &["backend server runner-rzeszow-1: removed, in use by model group case-status",
            "model group case-status: ranks lowered from 16 to 12"] },
    Case { name: "a service removed from two routes",
        change: |d| {
            remove(&mut d["backend_servers"], 14);
            for index in [3, 4] { remove(&mut d["routes"][index]["target"]["service"]["backend_servers"], 2); }
        },
        changes: &["backend server case-service-rzeszow: removed",
            "route cases: target.service.backend_servers removed case-service-rzeszow",
            "route lodgings: target.service.backend_servers removed case-service-rzeszow"],
        warnings: &["backend server case-service-rzeszow: removed, in use by route cases, route lodgings"] },
    Case { name: "every engine of a group renamed",
        change: |d| for index in 0..4 {
            let id = json!(format!("spare-{index}"));
            d["backend_servers"][8 + index]["id"] = id.clone();
            d["model_groups"][2]["backend_servers"][index] = id;
        },
        changes: &["backend server runner-rzeszow-1: removed", "backend server runner-rzeszow-2: removed",
            "backend server runner-rzeszow-3: removed", "backend server runner-rzeszow-4: removed",
            "backend server spare-0: added", "backend server spare-1: added", "backend server spare-2: added", "backend server spare-3: added",
            "model group case-status: backend_servers removed runner-rzeszow-1", "model group case-status: backend_servers removed runner-rzeszow-2",
            "model group case-status: backend_servers removed runner-rzeszow-3", "model group case-status: backend_servers removed runner-rzeszow-4",
            "model group case-status: backend_servers added spare-0", "model group case-status: backend_servers added spare-1",
            "model group case-status: backend_servers added spare-2", "model group case-status: backend_servers added spare-3"],
        warnings: &["backend server runner-rzeszow-1: removed, in use by model group case-status",
            "backend server runner-rzeszow-2: removed, in use by model group case-status",
            "backend server runner-rzeszow-3: removed, in use by model group case-status",
            "backend server runner-rzeszow-4: removed, in use by model group case-status",
            "model group case-status: none of its backend servers stays, it will stop until the new ones have loaded"] },
    Case { name: "ranks in another order", change: |d| d["model_groups"][0]["backend_servers"].as_array_mut().unwrap().swap(0, 3),
        changes: &["model group site-plans: backend_servers reordered"], warnings: &[] },
    Case { name: "a group and its route removed",
        change: |d| { remove(&mut d["model_groups"], 2); remove(&mut d["routes"], 2); },
        changes: &["model group case-status: removed", "route case-status: removed"],
        warnings: &["model group case-status: removed, requests for its models will be refused",
            "route case-status: removed, requests for it will be refused"] },
    Case { name: "a route becomes idempotent", change: |d| d["routes"][4]["idempotent"] = json!(true),
        changes: &["route lodgings: idempotent false -> true"],
        warnings: &["route lodgings: becomes idempotent, its requests may run more than once"] },
    Case { name: "a route becomes non-idempotent", change: |d| d["routes"][3]["idempotent"] = json!(false),
        changes: &["route cases: idempotent true -> false"], warnings: &[] },
    Case { name: "a route with another target",
        change: |d| d["routes"][2]["target"] = json!({"service": {"path_prefix": "/status/", "backend_servers": ["case-service-krakow"]}}),
        changes: &["route case-status: target.model.groups [\"case-status\"] -> nothing",
            "route case-status: target.service.backend_servers nothing -> [\"case-service-krakow\"]",
            "route case-status: target.service.path_prefix nothing -> /status/"],
        warnings: &[] },
];

#[gtest]
fn each_modification_gives_the_exact_changes_and_warnings() {
    let old = parse_modified(|_| {});
    for case in CASES {
        let new = parse_modified(case.change);
        expect_that!(lines(&diff(&old, &new)), eq(case.changes), "{}", case.name);
        expect_that!(lines(&warnings(&old, &new)), eq(case.warnings), "{}", case.name);
    }
}

#[gtest]
fn changes_never_contain_a_whole_key_hash() {
    // Changes are written to the audit trail. If they contained the list items unshortened, the
    // trail would hold hashes against which leaked keys could be tested.
    let old = parse_modified(|_| {});
    let new = parse_modified(|d| d["teams"][0]["key_hashes"][0] = json!("ab".repeat(32)));
    let changes = diff(&old, &new);
    let text = format!("{changes:?} {}", serde_json::to_string(&changes).expect("serialisable"));
    expect_that!(text, not(contains_substring("ababababa")));
}
