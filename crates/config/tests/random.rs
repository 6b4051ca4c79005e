//! Property tests: one value of the example document is replaced by a random one, and the result
//! must be accepted consistently or rejected with readable faults.

mod common;

use common::modified_example;
use hickorycross_config::{Document, diff, parse, validate, warnings};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Longest permitted text of one fault, in characters.
const MAX_FAULT_CHARS: usize = 400;

fn example_json() -> Value {
    serde_json::from_slice(&modified_example(|_| {})).expect("the example is JSON")
}

/// Collects the JSON pointers to every value of a document.
fn pointers(value: &Value, pointer: &str, all: &mut Vec<String>) {
    all.push(pointer.to_owned());
    match value {
        Value::Object(members) => {
            members.iter().for_each(|(key, m)| pointers(m, &format!("{pointer}/{key}"), all));
        }
        Value::Array(entries) => {
            let entries = entries.iter().enumerate();
            entries.for_each(|(index, entry)| pointers(entry, &format!("{pointer}/{index}"), all));
        }
        _ => {}
    }
}

fn any_pointer() -> impl Strategy<Value = String> {
    let mut all = Vec::new();
    pointers(&example_json(), "", &mut all);
    proptest::sample::select(all)
}

fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(json!(null)),
        Just(json!([])),
        Just(json!({})),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0_u32..200).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".*".prop_map(Value::from),
        "[a-z0-9]{1,8}".prop_map(Value::from),
    ]
}

/// Checks that validation, serialisation and [`diff`] agree with parsing on an accepted document.
fn check_accepted(document: &Document) -> Result<(), TestCaseError> {
    let old = parse(&modified_example(|_| {})).expect("the example is valid");
    prop_assert_eq!(validate(document), vec![]);
    let again = parse(document.canonical_json().as_bytes());
    prop_assert_eq!(again.as_ref(), Ok(document));
    prop_assert_eq!(diff(&old, document).is_empty(), &old == document);
    if &old == document {
        prop_assert_eq!(warnings(&old, document), vec![]);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    // Guards against checks that panic, which would stop a process, and against checks that only
    // parsing or only validation makes, so that a document is accepted in one place and rejected in
    // another.
    #[test]
    fn one_random_value_is_handled_consistently(pointer in any_pointer(), value in any_value()) {
        let mut document = example_json();
        *document.pointer_mut(&pointer).expect("a pointer of the example") = value;
        match parse(document.to_string().as_bytes()) {
            Ok(document) => check_accepted(&document)?,
            Err(faults) => {
                prop_assert!(!faults.is_empty());
                for line in faults.iter().map(ToString::to_string) {
                    prop_assert!(line.chars().count() <= MAX_FAULT_CHARS, "{}", line);
                    prop_assert!(!line.contains('\n'), "{}", line);
                }
            }
        }
    }
}
