//! Tests that the example documents, the committed schema and the reference page match the types.

mod common;

use common::read_workspace_file;
use googletest::prelude::*;
use hickorycross_config::{Document, hash_api_key, parse, schema};
use serde_json::Value;
use std::time::Instant;

/// An example document with the properties that it must have.
struct Example {
    path: &'static str,
    title: &'static str,
    engines_and_services: (usize, usize),
    skew_weighs_more: bool,
}

const EXAMPLES: [Example; 2] = [
    Example {
        path: "examples/wodoprzylacze.json",
        title: "Connection Application Assistant Router Fleet",
        engines_and_services: (12, 3),
        skew_weighs_more: false,
    },
    Example {
        path: "examples/saraswati.json",
        title: "Sabarmati Check: School Spelling Router Fleet",
        engines_and_services: (12, 3),
        skew_weighs_more: true,
    },
];

fn parse_example(path: &str) -> Document {
    parse(read_workspace_file(path).as_bytes()).expect("the example is valid")
}

#[gtest]
fn examples_are_valid() {
    for case in EXAMPLES {
        let document = parse_example(case.path);
        let engines: usize = document.model_groups.iter().map(|g| g.backend_servers.len()).sum();
        let services = document.backend_servers.len() - engines;
        expect_that!(document.title, eq(case.title));
        expect_that!((engines, services), eq(case.engines_and_services));
        expect_that!(document.failure_domains.len(), eq(3));
        expect_that!(document.teams.len(), eq(10));
        expect_that!(document.routes.iter().any(|route| !route.idempotent), eq(true));
        let balance = document.balance;
        expect_that!(
            balance.skew_weight > balance.rebalance_cost_weight,
            eq(case.skew_weighs_more)
        );
    }
}

#[gtest]
fn key_hashes_of_the_examples_match_the_documented_keys() {
    for case in EXAMPLES {
        for team in &parse_example(case.path).teams {
            let hash = hash_api_key(&format!("example-key-{}", team.id));
            expect_that!(team.key_hashes, eq(&vec![hash]), "{}", team.id);
        }
    }
}

#[gtest]
fn canonical_json_is_stable_and_used_by_the_examples() {
    for case in EXAMPLES {
        let document = parse_example(case.path);
        let text = document.canonical_json();
        let again = parse(text.as_bytes()).expect("canonical JSON is valid");
        expect_that!(again, eq(&document));
        expect_that!(again.canonical_json(), eq(&text));
        expect_that!(
            text,
            eq(&read_workspace_file(case.path)),
            "{} is in canonical form",
            case.path
        );
    }
}

#[gtest]
fn committed_schema_is_up_to_date() {
    // Forms built from an outdated schema offer fields that validation rejects. After a change to
    // the types, write the file again: `cargo run -p hickorycross-config --example write_schema >
    // docs/document.schema.json`.
    let committed: Value = serde_json::from_str(&read_workspace_file("docs/document.schema.json"))
        .expect("the committed schema is JSON");
    expect_that!(committed == schema(), eq(true));
}

#[gtest]
fn every_field_is_bounded() {
    // A field without a range accepts every value of its type, so a typing error, such as three
    // zeros too many, would reach the fleet. Guards against fields added without a bound.
    let mut unbounded = Vec::new();
    collect_unbounded(&schema(), "$", &mut unbounded);
    expect_that!(unbounded, is_empty());
}

/// Adds the path of each field in the schema that has no bound.
fn collect_unbounded(schema: &Value, path: &str, unbounded: &mut Vec<String>) {
    let has = |keyword: &str| schema.get(keyword).is_some();
    let bounded = match schema.get("type").and_then(Value::as_str) {
        Some("integer" | "number") => has("minimum") && has("maximum"),
        Some("array") => has("maxItems"),
        Some("string") => has("pattern") || has("maxLength") || has("const"),
        Some("object") => has("additionalProperties"),
        _ => true,
    };
    if !bounded {
        unbounded.push(path.to_owned());
    }
    let Value::Object(members) = schema else { return };
    for (key, member) in members {
        collect_unbounded(member, &format!("{path}.{key}"), unbounded);
    }
}

#[gtest]
fn the_reference_page_names_every_field() {
    // The page is written by hand, so a field added to a type is missing there until someone
    // documents it.
    let page = read_workspace_file("docs/DOCUMENT.md");
    let mut fields = Vec::new();
    collect_fields(&schema(), &mut fields);
    for field in fields {
        expect_that!(page, contains_substring(format!("`{field}`")));
    }
}

/// Adds the name of every property in the schema.
fn collect_fields(schema: &Value, fields: &mut Vec<String>) {
    if let Some(properties) = schema.get("properties").and_then(Value::as_object) {
        fields.extend(properties.keys().cloned());
    }
    match schema {
        Value::Object(members) => members.values().for_each(|m| collect_fields(m, fields)),
        Value::Array(entries) => entries.iter().for_each(|e| collect_fields(e, fields)),
        _ => {}
    }
}

#[gtest]
fn a_document_of_the_planned_size_fits_and_parses() {
    // The planned fleet has 900 backend servers, 260 teams and 29 groups. Bounds chosen for smaller
    // fleets would reject its document, or it would exceed the platform's size limit for a value.
    let document = planned_size_document();
    let text = document.canonical_json();
    let start = Instant::now();
    let parsed = parse(text.as_bytes());
    println!("planned size: {} bytes, parsed in {:?}", text.len(), start.elapsed());
    expect_that!(parsed, ok(eq(&document)));
}

/// Returns a document with 260 teams and 900 backend servers: 29 groups of 31 engines, and one
/// service.
fn planned_size_document() -> Document {
    let mut document = parse_example("examples/wodoprzylacze.json");
    let (engine, service) =
        (document.backend_servers[0].clone(), document.backend_servers[12].clone());
    let (group, route) = (document.model_groups[0].clone(), document.routes[0].clone());
    let team = document.teams[0].clone();
    document.backend_servers.retain(|server| server.id == service.id);
    document.routes.retain(|route| route.id.as_str() == "cases");
    document.routes[0].target = hickorycross_config::Target::Service {
        path_prefix: "/cases/".to_owned(),
        backend_servers: vec![service.id],
    };
    document.model_groups.clear();
    document.teams.clear();
    for number in 0..29 {
        let mut group = group.clone();
        group.id = format!("group-{number}").as_str().into();
        group.models = vec![format!("model-{number}")];
        group.ranks_per_server = 1;
        group.backend_servers =
            (0..31).map(|server| format!("runner-{number}-{server}").as_str().into()).collect();
        for id in &group.backend_servers {
            let mut engine = engine.clone();
            engine.id = id.clone();
            document.backend_servers.push(engine);
        }
        let mut route = route.clone();
        route.id = group.id.as_str().into();
        route.target = hickorycross_config::Target::Model { groups: vec![group.id.clone()] };
        document.routes.push(route);
        document.model_groups.push(group);
    }
    for number in 0..260 {
        let mut team = team.clone();
        team.id = format!("team-{number}").as_str().into();
        team.key_hashes = vec![hash_api_key(&format!("key-{number}"))];
        document.teams.push(team);
    }
    document
}

#[gtest]
fn a_model_may_be_served_by_groups_of_several_failure_domains() {
    let mut document = parse_example("examples/wodoprzylacze.json");
    document.routes.retain(|route| route.id.as_str() != "drafting");
    document.model_groups[1].models = document.model_groups[0].models.clone();
    let groups = vec![document.model_groups[0].id.clone(), document.model_groups[1].id.clone()];
    document.routes[0].target = hickorycross_config::Target::Model { groups };
    expect_that!(hickorycross_config::validate(&document), is_empty());
    let backends = document.backends_of(&document.routes[0].target);
    expect_that!(backends.len(), eq(8));
    expect_that!(backends[4].as_str(), eq("runner-katowice-1"));
}
