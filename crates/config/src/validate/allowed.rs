//! Wording of what a schema allows.

use crate::schema::CompiledSchema;
use serde_json::Value;

/// Words what a resolved schema allows, such as `an integer from 1 to 32`.
pub(crate) fn allowed(compiled: &CompiledSchema, schema: &Value) -> String {
    if let Some(wording) = schema.get("x-allowed").and_then(Value::as_str) {
        return wording.to_owned();
    }
    if schema.get("oneOf").is_some() {
        return format!("one of {}", choices(compiled, schema).join(", "));
    }
    match schema.get("type").and_then(Value::as_str) {
        Some("integer") => bounded("an integer", schema, "minimum", "maximum", ""),
        Some("number") => bounded("a number", schema, "minimum", "maximum", ""),
        Some("string") => bounded("a text", schema, "minLength", "maxLength", " characters"),
        Some("array") => bounded("a list", schema, "minItems", "maxItems", " entries"),
        Some("boolean") => "true or false".to_owned(),
        _ => "an object".to_owned(),
    }
}

/// Names the alternatives of a `oneOf`: its constants, or the keys that tell its objects apart.
pub(crate) fn choices<'a>(compiled: &'a CompiledSchema, schema: &'a Value) -> Vec<&'a str> {
    let variants = schema.get("oneOf").and_then(Value::as_array);
    let resolved = variants.into_iter().flatten().map(|variant| compiled.resolve(variant));
    resolved.filter_map(choice).collect()
}

/// The name of one alternative.
pub(crate) fn choice(variant: &Value) -> Option<&str> {
    let key = variant.get("required").and_then(|required| required.get(0));
    variant.get("const").or(key).and_then(Value::as_str)
}

fn bounded(noun: &str, schema: &Value, low: &str, high: &str, unit: &str) -> String {
    match (schema.get(low), schema.get(high)) {
        (Some(low), Some(high)) => format!("{noun} from {low} to {high}{unit}"),
        (Some(low), None) => format!("{noun} from {low}{unit}"),
        (None, Some(high)) => format!("{noun} up to {high}{unit}"),
        (None, None) => noun.to_owned(),
    }
}
