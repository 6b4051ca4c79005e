//! Tests that invalid documents are rejected, with the exact path, value and text of each fault.

mod common;

use common::modified_example;
use googletest::prelude::*;
use hickorycross_config::{Document, Fault, parse, validate};
use serde_json::{Value, json};

/// A modification that makes the example invalid, with the one fault that it must produce.
struct Case {
    name: &'static str,
    change: fn(&mut Value),
    path: &'static str,
    found: &'static str,
    allowed: &'static str,
}

impl Case {
    fn expected_fault(&self) -> Fault {
        Fault {
            path: self.path.to_owned(),
            value: self.found.to_owned(),
            allowed: self.allowed.to_owned(),
        }
    }
}

fn faults_of(bytes: &[u8]) -> Vec<Fault> {
    parse(bytes).err().unwrap_or_default()
}

fn remove(object: &mut Value, key: &str) {
    object.as_object_mut().expect("an object").remove(key);
}

fn remove_route(document: &mut Value, index: usize) {
    document["routes"].as_array_mut().unwrap().remove(index);
}

fn repeat(value: &Value, times: usize) -> Value {
    Value::Array(vec![value.clone(); times])
}

const ID: &str = "1 to 64 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit";
const MODEL: &str = "1 to 128 of A-Z, a-z, 0-9 and '._:/@+-', beginning with a letter or digit";
const PATH: &str =
    "a path that begins and ends with '/', with segments of A-Z, a-z, 0-9 and '._~-' between";
const ENGINE: &str = "an id of backend_servers of kind engine";
const SERVICE: &str = "an id of backend_servers of kind service";

/// Faults of presence, type and unknown fields.
#[rustfmt::skip]
const STRUCTURE: &[Case] = &[
    Case { name: "a missing field", change: |d| remove(&mut d["teams"][2], "tier"),
        path: "teams[2].tier", found: "nothing", allowed: ID },
    Case { name: "a missing section", change: |d| remove(d, "balance"),
        path: "balance", found: "nothing", allowed: "an object" },
    Case { name: "a missing nested number", change: |d| remove(&mut d["teams"][2]["limit"], "burst_requests"),
        path: "teams[2].limit.burst_requests", found: "nothing", allowed: "an integer from 1 to 1000000" },
    Case { name: "an unknown field", change: |d| d["balance"]["skew"] = json!(1),
        path: "balance.skew", found: "an unknown field with a number",
        allowed: "the fields rebalance_cost_weight, skew_weight, weight_store_bytes_per_s" },
    Case { name: "an unknown field with an odd name", change: |d| d["teams"][0]["limit"]["per second"] = json!("9"),
        path: "teams[0].limit[\"per second\"]", found: "an unknown field with a text of 1 characters",
        allowed: "the fields burst_requests, requests_per_s" },
    Case { name: "an API key beside its hash", change: |d| d["failure_domains"][0]["key"] = json!("secret"),
        path: "failure_domains[0].key", found: "an unknown field with a text of 6 characters",
        allowed: "the fields id, region" },
    Case { name: "an API key in place of its hash", change: |d| d["teams"][1]["key_hashes"][0] = json!("secret"),
        path: "teams[1].key_hashes[0]", found: "a text of 6 characters", allowed: "64 hexadecimal digits" },
    Case { name: "a text for a number", change: |d| d["backend_servers"][3]["slots"] = json!("32"),
        path: "backend_servers[3].slots", found: "\"32\"", allowed: "an integer from 1 to 65536" },
    Case { name: "a fraction for an integer", change: |d| d["backend_servers"][3]["slots"] = json!(1.5),
        path: "backend_servers[3].slots", found: "1.5", allowed: "an integer from 1 to 65536" },
    Case { name: "a negative count", change: |d| d["backend_servers"][3]["queue_slots"] = json!(-1),
        path: "backend_servers[3].queue_slots", found: "-1", allowed: "an integer from 0 to 65536" },
    Case { name: "a number beyond 64 bits", change: |d| d["model_groups"][0]["expert_bytes"] = json!(1e30),
        path: "model_groups[0].expert_bytes", found: "1e+30", allowed: "an integer from 1 to 68719476736" },
    Case { name: "a number for a flag", change: |d| d["routes"][4]["idempotent"] = json!(0),
        path: "routes[4].idempotent", found: "0", allowed: "true or false" },
    Case { name: "null for a list", change: |d| d["teams"][0]["key_hashes"] = json!(null),
        path: "teams[0].key_hashes", found: "null", allowed: "a list from 1 to 16 entries" },
    Case { name: "an object for a list", change: |d| d["model_groups"] = json!({}),
        path: "model_groups", found: "an object", allowed: "a list from 0 to 512 entries" },
    Case { name: "a list for the document", change: |d| *d = json!([]),
        path: "$", found: "a list", allowed: "an object" },
    Case { name: "an unknown kind", change: |d| d["backend_servers"][0]["kind"] = json!("gpu"),
        path: "backend_servers[0].kind", found: "\"gpu\"", allowed: "one of engine, service" },
    Case { name: "an unknown target", change: |d| d["routes"][0]["target"] = json!({"models": {}}),
        path: "routes[0].target", found: "an object", allowed: "one of model, service" },
    Case { name: "two targets", change: |d| d["routes"][0]["target"]["service"] = json!({}),
        path: "routes[0].target.service", found: "an unknown field with an object", allowed: "the fields model" },
    Case { name: "a newer schema", change: |d| { d["schema_version"] = json!(2); d["teams"] = json!("moved"); },
        path: "schema_version", found: "2", allowed: "1 to 1; a newer release wrote this document" },
];

/// Faults of range, length and syntax.
#[rustfmt::skip]
const RANGES: &[Case] = &[
    Case { name: "schema zero", change: |d| d["schema_version"] = json!(0),
        path: "schema_version", found: "0", allowed: "an integer from 1 to 1" },
    Case { name: "no title", change: |d| d["title"] = json!(""),
        path: "title", found: "\"\"", allowed: "a text from 1 to 200 characters" },
    Case { name: "a long title", change: |d| d["title"] = json!("ż".repeat(201)),
        path: "title", found: concat!("\"żżżżżżżżżżżżżżżżżżżżżżżżżżżżżżżż", "żżżżżżżżżżżżżżżżżżżżżżżżżżżżżżżż\" and more"),
        allowed: "a text from 1 to 200 characters" },
    Case { name: "no key", change: |d| d["teams"][0]["key_hashes"] = json!([]),
        path: "teams[0].key_hashes", found: "0 entries", allowed: "a list from 1 to 16 entries" },
    Case { name: "no models", change: |d| d["model_groups"][1]["models"] = json!([]),
        path: "model_groups[1].models", found: "0 entries", allowed: "a list from 1 to 64 entries" },
    Case { name: "no servers of a route", change: |d| d["routes"][3]["target"]["service"]["backend_servers"] = json!([]),
        path: "routes[3].target.service.backend_servers", found: "0 entries", allowed: "a list from 1 to 4096 entries" },
    Case { name: "an id in capitals", change: |d| d["failure_domains"][0]["region"] = json!("South"),
        path: "failure_domains[0].region", found: "\"South\"", allowed: ID },
    Case { name: "an id that begins with a dash", change: |d| d["failure_domains"][0]["region"] = json!("-south"),
        path: "failure_domains[0].region", found: "\"-south\"", allowed: ID },
    Case { name: "an id with a line break", change: |d| d["failure_domains"][0]["region"] = json!("south\n"),
        path: "failure_domains[0].region", found: "\"south\\n\"", allowed: ID },
    Case { name: "an empty id", change: |d| d["routes"][0]["id"] = json!(""),
        path: "routes[0].id", found: "\"\"", allowed: ID },
    Case { name: "a model with a space", change: |d| d["model_groups"][0]["models"][0] = json!("a b"),
        path: "model_groups[0].models[0]", found: "\"a b\"", allowed: MODEL },
    Case { name: "no version of weights", change: |d| d["model_groups"][0]["weights_version"] = json!(""),
        path: "model_groups[0].weights_version", found: "\"\"", allowed: MODEL },
    Case { name: "no rate", change: |d| d["teams"][0]["limit"]["requests_per_s"] = json!(0),
        path: "teams[0].limit.requests_per_s", found: "0", allowed: "an integer from 1 to 1000000" },
    Case { name: "no first chunk", change: |d| d["tiers"][0]["first_chunk_target_ms"] = json!(0),
        path: "tiers[0].first_chunk_target_ms", found: "0", allowed: "an integer from 1 to 600000" },
    Case { name: "a rank beyond a byte", change: |d| d["tiers"][0]["rank"] = json!(256),
        path: "tiers[0].rank", found: "256", allowed: "an integer from 0 to 255" },
    Case { name: "a floor beyond 16 bits", change: |d| d["tiers"][0]["floor_permille"] = json!(70_000),
        path: "tiers[0].floor_permille", found: "70000", allowed: "an integer from 0 to 999" },
    Case { name: "no layers", change: |d| d["model_groups"][0]["layers"] = json!(0),
        path: "model_groups[0].layers", found: "0", allowed: "an integer from 1 to 256" },
    Case { name: "a key horizon below its minimum", change: |d| d["routes"][4]["key_horizon_ms"] = json!(99),
        path: "routes[4].key_horizon_ms", found: "99", allowed: "an integer from 100 to 86400000" },
    Case { name: "a retry budget above half", change: |d| d["routes"][4]["retry_budget_permille"] = json!(501),
        path: "routes[4].retry_budget_permille", found: "501", allowed: "an integer from 0 to 500" },
    Case { name: "a negative weight", change: |d| d["balance"]["skew_weight"] = json!(-0.5),
        path: "balance.skew_weight", found: "-0.5", allowed: "a number from 0 to 100" },
    Case { name: "a weight above its maximum", change: |d| d["balance"]["rebalance_cost_weight"] = json!(100.5),
        path: "balance.rebalance_cost_weight", found: "100.5", allowed: "a number from 0 to 100" },
    Case { name: "no weight store", change: |d| d["balance"]["weight_store_bytes_per_s"] = json!(0),
        path: "balance.weight_store_bytes_per_s", found: "0", allowed: "an integer from 1 to 10000000000000" },
    Case { name: "a path without a trailing slash", change: |d| d["routes"][3]["target"]["service"]["path_prefix"] = json!("/cases"),
        path: "routes[3].target.service.path_prefix", found: "\"/cases\"", allowed: PATH },
    Case { name: "a path without a leading slash", change: |d| d["routes"][3]["target"]["service"]["path_prefix"] = json!("cases/"),
        path: "routes[3].target.service.path_prefix", found: "\"cases/\"", allowed: PATH },
    Case { name: "the root, which shadows the model API", change: |d| d["routes"][3]["target"]["service"]["path_prefix"] = json!("/"),
        path: "routes[3].target.service.path_prefix", found: "\"/\"", allowed: PATH },
    Case { name: "a path with a parent segment", change: |d| d["routes"][3]["target"]["service"]["path_prefix"] = json!("/a/../b/"),
        path: "routes[3].target.service.path_prefix", found: "\"/a/../b/\"", allowed: PATH },
];

/// Faults between fields.
#[rustfmt::skip]
const RULES: &[Case] = &[
    Case { name: "a repeated domain", change: |d| { let domain = d["failure_domains"][0].clone(); d["failure_domains"].as_array_mut().unwrap().push(domain); },
        path: "failure_domains[3].id", found: "\"krakow\"", allowed: "a value other than that of failure_domains[0].id" },
    Case { name: "a repeated team", change: |d| d["teams"][4]["id"] = json!("clerks-krakow"),
        path: "teams[4].id", found: "\"clerks-krakow\"", allowed: "a value other than that of teams[0].id" },
    Case { name: "a repeated route", change: |d| d["routes"][4]["id"] = json!("cases"),
        path: "routes[4].id", found: "\"cases\"", allowed: "a value other than that of routes[3].id" },
    Case { name: "a repeated tier rank", change: |d| d["tiers"][2]["rank"] = json!(0),
        path: "tiers[2].rank", found: "0", allowed: "a value other than that of tiers[0].rank" },
    Case { name: "a key of two teams", change: |d| d["teams"][1]["key_hashes"][0] = d["teams"][0]["key_hashes"][0].clone(),
        path: "teams[1].key_hashes[0]", found: "2d181ff5…", allowed: "a value other than that of teams[0].key_hashes[0]" },
    Case { name: "a model of two groups", change: |d| d["model_groups"][1]["models"][1] = json!("site-plan-review"),
        path: "model_groups[1].models[1]", found: "\"site-plan-review\"", allowed: "a value other than that of model_groups[0].models[0]" },
    Case { name: "a server of two groups", change: |d| d["model_groups"][1]["backend_servers"][0] = json!("runner-krakow-1"),
        path: "model_groups[1].backend_servers[0]", found: "\"runner-krakow-1\"", allowed: "a value other than that of model_groups[0].backend_servers[0]" },
    Case { name: "a server twice in a route", change: |d| d["routes"][3]["target"]["service"]["backend_servers"][1] = json!("case-service-krakow"),
        path: "routes[3].target.service.backend_servers[1]", found: "\"case-service-krakow\"",
        allowed: "a value other than that of routes[3].target.service.backend_servers[0]" },
    Case { name: "a path of two routes", change: |d| d["routes"][4]["target"]["service"]["path_prefix"] = json!("/cases/"),
        path: "routes[4].target.service.path_prefix", found: "\"/cases/\"",
        allowed: "a value other than that of routes[3].target.service.path_prefix" },
    Case { name: "a group of two routes", change: |d| d["routes"][1]["target"]["model"]["groups"][0] = json!("site-plans"),
        path: "routes[1].target.model.groups[0]", found: "\"site-plans\"", allowed: "a value other than that of routes[0].target.model.groups[0]" },
    Case { name: "groups of one route with distinct models",
        change: |d| { remove_route(d, 1); d["routes"][0]["target"]["model"]["groups"] = json!(["site-plans", "drafting"]); },
        path: "routes[0].target.model.groups[1]", found: "\"drafting\"", allowed: "a group with the same models as site-plans" },
    Case { name: "no groups", change: |d| d["routes"][0]["target"]["model"]["groups"] = json!([]),
        path: "routes[0].target.model.groups", found: "0 entries", allowed: "a list from 1 to 512 entries" },
    Case { name: "no such tier", change: |d| d["teams"][2]["tier"] = json!("gold"),
        path: "teams[2].tier", found: "\"gold\"", allowed: "an id of tiers" },
    Case { name: "no such failure domain", change: |d| d["backend_servers"][2]["failure_domain"] = json!("lublin"),
        path: "backend_servers[2].failure_domain", found: "\"lublin\"", allowed: "an id of failure_domains" },
    Case { name: "no such engine", change: |d| d["model_groups"][0]["backend_servers"][3] = json!("runner-9"),
        path: "model_groups[0].backend_servers[3]", found: "\"runner-9\"", allowed: ENGINE },
    Case { name: "a service in a group", change: |d| d["model_groups"][0]["backend_servers"][3] = json!("case-service-krakow"),
        path: "model_groups[0].backend_servers[3]", found: "\"case-service-krakow\"", allowed: ENGINE },
    Case { name: "an engine as a service", change: |d| d["routes"][4]["target"]["service"]["backend_servers"][0] = json!("runner-krakow-1"),
        path: "routes[4].target.service.backend_servers[0]", found: "\"runner-krakow-1\"", allowed: SERVICE },
    Case { name: "no such group", change: |d| d["routes"][0]["target"]["model"]["groups"][0] = json!("plans"),
        path: "routes[0].target.model.groups[0]", found: "\"plans\"", allowed: "an id of model_groups" },
    Case { name: "floors that sum to the whole", change: |d| d["tiers"][0]["floor_permille"] = json!(800),
        path: "tiers", found: "a sum of floor_permille of 1000", allowed: "a sum below 1000" },
    Case { name: "too many ranks", change: |d| d["model_groups"][0]["ranks_per_server"] = json!(9),
        path: "model_groups[0].ranks_per_server", found: "9 for 36 ranks", allowed: "at most 32 ranks over all backend servers" },
    Case { name: "too few expert slots", change: |d| d["model_groups"][0]["expert_slots_per_rank"] = json!(7),
        path: "model_groups[0].expert_slots_per_rank", found: "7 for 224 slots", allowed: "at least 8: 256 experts on 32 ranks" },
    Case { name: "deadlines out of order", change: |d| d["routes"][4]["default_deadline_ms"] = json!(60001),
        path: "routes[4].default_deadline_ms", found: "60001", allowed: "at most max_deadline_ms, 60000" },
    Case { name: "a path of the model API", change: |d| d["routes"][3]["target"]["service"]["path_prefix"] = json!("/v1/"),
        path: "routes[3].target.service.path_prefix", found: "\"/v1/\"", allowed: "a path outside /v1/, which is the model API's" },
    Case { name: "a path inside the model API", change: |d| d["routes"][3]["target"]["service"]["path_prefix"] = json!("/v1/cases/"),
        path: "routes[3].target.service.path_prefix", found: "\"/v1/cases/\"", allowed: "a path outside /v1/, which is the model API's" },
];

#[gtest]
fn each_fault_is_reported_alone_and_exactly() {
    // Guards against checks that are missing, report a fault twice or name the wrong path, so that
    // the operator's form is rejected with a message about another field or none.
    for case in STRUCTURE.iter().chain(RANGES).chain(RULES) {
        let faults = faults_of(&modified_example(case.change));
        expect_that!(faults, eq(&vec![case.expected_fault()]), "{}", case.name);
    }
}

#[gtest]
fn faults_of_several_fields_are_reported_together() {
    // A parser that stops at the first field of the wrong type would make the operator correct one
    // fault per attempt.
    struct SeveralFaults {
        name: &'static str,
        change: fn(&mut Value),
        paths: &'static [&'static str],
    }
    let cases = [
        SeveralFaults {
            name: "structure in two entities and one field twice",
            change: |d| {
                d["teams"][2]["limit"]["burst_requests"] = json!("many");
                remove(&mut d["teams"][2], "tier");
                d["routes"][1]["idempotent"] = json!("yes");
                d["tiers"][0]["rank"] = json!(-1);
            },
            paths: &[
                "routes[1].idempotent",
                "teams[2].limit.burst_requests",
                "teams[2].tier",
                "tiers[0].rank",
            ],
        },
        SeveralFaults {
            name: "a floor of the whole, which also makes the sum too large",
            change: |d| d["tiers"][0]["floor_permille"] = json!(1000),
            paths: &["tiers[0].floor_permille", "tiers"],
        },
        SeveralFaults {
            name: "a range and a reference",
            change: |d| {
                d["teams"][2]["limit"]["burst_requests"] = json!(0);
                d["teams"][3]["tier"] = json!("gold");
            },
            paths: &["teams[2].limit.burst_requests", "teams[3].tier"],
        },
    ];
    for case in cases {
        let faults = faults_of(&modified_example(case.change));
        let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
        expect_that!(paths, eq(case.paths), "{}", case.name);
    }
}

#[gtest]
fn lists_above_their_bound_are_refused() {
    // Without an upper bound, a generated document with an excessively long list would be accepted
    // and fill the memory of every process.
    let bytes = modified_example(|d| d["tiers"] = repeat(&d["tiers"][0], 17));
    let faults = faults_of(&bytes);
    expect_that!(
        faults[0].to_string(),
        eq("tiers: found 17 entries, allowed is a list from 1 to 16 entries")
    );
}

#[gtest]
fn malformed_bytes_are_refused() {
    // A lenient parser would adopt a part of a document that is truncated, has trailing bytes,
    // repeats a key or exceeds the platform's size limit.
    struct InvalidBytes {
        name: &'static str,
        bytes: Vec<u8>,
        fault: &'static str,
    }
    let good = String::from_utf8(modified_example(|_| {})).expect("JSON is text");
    let cases = [
        InvalidBytes {
            name: "truncated",
            bytes: b"{\"title\": ".to_vec(),
            fault: "$: found line 1 column 10, allowed is JSON; the parser reports: EOF while parsing a value at line 1 column 10",
        },
        InvalidBytes {
            name: "trailing bytes",
            bytes: b"{} {}".to_vec(),
            fault: "$: found line 1 column 4, allowed is JSON; the parser reports: trailing characters at line 1 column 4",
        },
        InvalidBytes {
            name: "a repeated key",
            bytes: good
                .replacen("\"burst_requests\"", "\"burst_requests\":1,\"burst_requests\"", 1)
                .into(),
            fault: "teams[0].limit.burst_requests: found a repeated key, allowed is each key once",
        },
        InvalidBytes {
            name: "larger than a value of the configuration service",
            bytes: vec![b' '; 1_000_001],
            fault: "$: found 1000001 bytes, allowed is at most 1000000 bytes",
        },
    ];
    for case in cases {
        let faults: Vec<String> = faults_of(&case.bytes).iter().map(ToString::to_string).collect();
        expect_that!(faults, eq(&vec![case.fault.to_owned()]), "{}", case.name);
    }
}

#[gtest]
fn validate_rejects_invalid_documents_built_in_memory() {
    // If checks ran only on parsed bytes, the console would accept a document built from a form
    // that every process then rejects. NaN is a weight that JSON cannot represent.
    let mut document: Document = parse(&modified_example(|_| {})).expect("the example is valid");
    document.balance.skew_weight = f64::NAN;
    let faults: Vec<String> = validate(&document).iter().map(ToString::to_string).collect();
    expect_that!(
        faults,
        eq(&vec!["balance.skew_weight: found null, allowed is a number from 0 to 100".to_owned()])
    );
    document.schema_version = 9;
    expect_that!(validate(&document).len(), eq(1));
}
