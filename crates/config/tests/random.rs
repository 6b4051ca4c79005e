//! Randomised changes of one value: whatever stands there, parsing keeps its promises.

mod common;

use common::changed;
use hickorycross_config::{Document, diff, parse, validate, warnings};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Longest line that a fault may fill, in characters.
const MAX_FAULT_CHARS: usize = 400;

fn example() -> Value {
    serde_json::from_slice(&changed(|_| {})).expect("the example is JSON")
}

/// JSON pointers to every value of a document.
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
    pointers(&example(), "", &mut all);
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

fn check_accepted(document: &Document) -> Result<(), TestCaseError> {
    let old = parse(&changed(|_| {})).expect("the example is valid");
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

    // Symptom: a slip in a form stops a process, or is accepted by one and refused by another.
    // Sequence: any one value of a good document becomes any other.
    // Cause: a check that panics, or one that only parsing or only validation knows.
    #[test]
    fn one_changed_value_is_judged(pointer in any_pointer(), value in any_value()) {
        let mut document = example();
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
