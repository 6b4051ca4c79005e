//! Descriptions of what a schema allows, for fault messages.

use crate::schema::CompiledSchema;
use serde_json::Value;

/// Describes what a resolved schema allows, such as `an integer from 1 to 32`.
pub(crate) fn describe_allowed(compiled: &CompiledSchema, schema: &Value) -> String {
    if let Some(wording) = schema.get("x-allowed").and_then(Value::as_str) {
        return wording.to_owned();
    }
    if schema.get("oneOf").is_some() {
        return format!("one of {}", variant_names(compiled, schema).join(", "));
    }
    match schema.get("type").and_then(Value::as_str) {
        Some("integer") => describe_range("an integer", schema, "minimum", "maximum", ""),
        Some("number") => describe_range("a number", schema, "minimum", "maximum", ""),
        Some("string") => describe_range("a text", schema, "minLength", "maxLength", " characters"),
        Some("array") => describe_range("a list", schema, "minItems", "maxItems", " entries"),
        Some("boolean") => "true or false".to_owned(),
        _ => "an object".to_owned(),
    }
}

/// Returns the names of the variants of a `oneOf`; see [`variant_name`].
pub(crate) fn variant_names<'a>(compiled: &'a CompiledSchema, schema: &'a Value) -> Vec<&'a str> {
    let variants = schema.get("oneOf").and_then(Value::as_array);
    let resolved = variants.into_iter().flatten().map(|variant| compiled.resolve(variant));
    resolved.filter_map(variant_name).collect()
}

/// Returns the name of a `oneOf` variant: its constant, or the first required key of its object.
pub(crate) fn variant_name(variant: &Value) -> Option<&str> {
    let key = variant.get("required").and_then(|required| required.get(0));
    variant.get("const").or(key).and_then(Value::as_str)
}

/// Describes a type with the bounds that the keywords `low` and `high` set.
fn describe_range(noun: &str, schema: &Value, low: &str, high: &str, unit: &str) -> String {
    match (schema.get(low), schema.get(high)) {
        (Some(low), Some(high)) => format!("{noun} from {low} to {high}{unit}"),
        (Some(low), None) => format!("{noun} from {low}{unit}"),
        (None, Some(high)) => format!("{noun} up to {high}{unit}"),
        (None, None) => noun.to_owned(),
    }
}
