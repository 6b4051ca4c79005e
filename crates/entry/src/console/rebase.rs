//! Three-way merge: carries a draft's changes over to a newer document.

use indexmap::IndexSet;
use serde_json::{Map, Value};

/// Applies what changed from `base` to `mine` on top of `theirs`; where both changed one field,
/// `mine` stays. Entries of lists are matched by their `id`.
pub(super) fn merge(base: &Value, mine: &Value, theirs: &Value) -> Value {
    if mine == base {
        return theirs.clone();
    }
    if theirs == base {
        return mine.clone();
    }
    match (mine, theirs) {
        (Value::Object(mine), Value::Object(theirs)) => {
            let empty = Map::new();
            Value::Object(merge_objects(base.as_object().unwrap_or(&empty), mine, theirs))
        }
        (Value::Array(mine), Value::Array(theirs)) if has_ids(mine) && has_ids(theirs) => {
            let base = base.as_array().map_or(&[][..], Vec::as_slice);
            Value::Array(merge_lists(base, mine, theirs))
        }
        _ => mine.clone(),
    }
}

fn merge_objects(
    base: &Map<String, Value>,
    mine: &Map<String, Value>,
    theirs: &Map<String, Value>,
) -> Map<String, Value> {
    let keys: IndexSet<&String> = theirs.keys().chain(mine.keys()).collect();
    let merged = keys.into_iter().filter_map(|key| {
        let value = merge_optional(base.get(key), mine.get(key), theirs.get(key))?;
        Some((key.clone(), value))
    });
    merged.collect()
}

fn merge_lists(base: &[Value], mine: &[Value], theirs: &[Value]) -> Vec<Value> {
    let ids: IndexSet<&str> = theirs.iter().chain(mine).filter_map(id_of).collect();
    let find = |list: &'_ [Value], id: &str| -> Option<Value> {
        list.iter().find(|entry| id_of(entry) == Some(id)).cloned()
    };
    let merged = ids.into_iter().filter_map(|id| {
        let (base, mine, theirs) = (find(base, id), find(mine, id), find(theirs, id));
        merge_optional(base.as_ref(), mine.as_ref(), theirs.as_ref())
    });
    merged.collect()
}

/// Merges what may be missing on any side. An entry that one side removed and the other changed
/// follows the draft.
fn merge_optional(
    base: Option<&Value>,
    mine: Option<&Value>,
    theirs: Option<&Value>,
) -> Option<Value> {
    match (base, mine, theirs) {
        (_, Some(mine), Some(theirs)) => Some(merge(base.unwrap_or(&Value::Null), mine, theirs)),
        (base, mine, theirs) if mine == base => theirs.cloned(),
        (_, mine, _) => mine.cloned(),
    }
}

fn has_ids(list: &[Value]) -> bool {
    list.iter().all(|entry| id_of(entry).is_some())
}

fn id_of(entry: &Value) -> Option<&str> {
    entry.get("id").and_then(Value::as_str)
}
