//! Checks each field on its own against the schema: presence, type, range, length and syntax.

use super::describe_schema::{describe_allowed, variant_name};
use super::describe_value::describe_value;
use crate::fault::Fault;
use crate::json_path::JsonPath;
use crate::schema::{CompiledSchema, DOCUMENT_SCHEMA};
use serde_json::{Map, Value};

/// Adds a fault for each field that the schema does not allow.
pub(crate) fn check_fields(value: &Value, faults: &mut Vec<Fault>) {
    let compiled = &*DOCUMENT_SCHEMA;
    FieldCheck { compiled, faults }.visit(compiled.root(), value, JsonPath::Root);
}

/// Walks a value and its schema together and collects the faults.
struct FieldCheck<'a> {
    compiled: &'a CompiledSchema,
    faults: &'a mut Vec<Fault>,
}

impl FieldCheck<'_> {
    fn visit(&mut self, schema: &Value, value: &Value, path: JsonPath<'_>) {
        let schema = self.compiled.resolve(schema);
        match value {
            _ if schema.get("oneOf").is_some() => self.visit_one_of(schema, value, path),
            Value::Object(members) if has_type(schema, "object") => {
                self.visit_object(schema, members, path);
            }
            Value::Array(entries) if has_type(schema, "array") => {
                self.visit_list(schema, entries, path);
            }
            _ if !self.allows_scalar(schema, value) => self.add_fault(schema, value, path),
            _ => {}
        }
    }

    fn add_fault(&mut self, schema: &Value, value: &Value, path: JsonPath<'_>) {
        let is_secret = schema.get("x-secret").is_some();
        let allowed = describe_allowed(self.compiled, schema);
        self.faults.push(Fault::new(&path, describe_value(value, is_secret), allowed));
    }

    fn visit_object(&mut self, schema: &Value, members: &Map<String, Value>, path: JsonPath<'_>) {
        let properties = schema.get("properties").and_then(Value::as_object);
        let known = sorted_keys(properties);
        for key in &known {
            let Some(property) = properties.and_then(|properties| properties.get(*key)) else {
                continue;
            };
            match members.get(*key) {
                Some(member) => self.visit(property, member, path.member(key)),
                None if is_required(schema, key) => self.add_missing(property, path.member(key)),
                None => {}
            }
        }
        for key in sorted_keys(Some(members)) {
            if !known.contains(&key) {
                self.add_unknown(&members[key], path.member(key), &known);
            }
        }
    }

    fn add_missing(&mut self, property: &Value, path: JsonPath<'_>) {
        let allowed = describe_allowed(self.compiled, self.compiled.resolve(property));
        self.faults.push(Fault::new(&path, "nothing", allowed));
    }

    /// Adds the fault of an unknown field.
    ///
    /// Its value is left out, because it may be a secret, such as an API key beside its hash.
    fn add_unknown(&mut self, value: &Value, path: JsonPath<'_>, known: &[&str]) {
        let found = format!("an unknown field with {}", describe_value(value, true));
        self.faults.push(Fault::new(&path, found, format!("the fields {}", known.join(", "))));
    }

    fn visit_list(&mut self, schema: &Value, entries: &[Value], path: JsonPath<'_>) {
        if !is_within(schema, "minItems", "maxItems", entries.len() as f64) {
            let found = format!("{} entries", entries.len());
            self.faults.push(Fault::new(&path, found, describe_allowed(self.compiled, schema)));
        }
        for (index, entry) in entries.iter().enumerate() {
            self.visit(&schema["items"], entry, path.element(index));
        }
    }

    fn visit_one_of(&mut self, schema: &Value, value: &Value, path: JsonPath<'_>) {
        let compiled = self.compiled;
        let variants = schema.get("oneOf").and_then(Value::as_array);
        let mut variants = variants.into_iter().flatten().map(|variant| compiled.resolve(variant));
        match variants.find(|variant| selects_variant(variant, value)) {
            Some(variant) if variant.get("const").is_none() => self.visit(variant, value, path),
            Some(_) => {}
            None => self.add_fault(schema, value, path),
        }
    }

    fn allows_scalar(&self, schema: &Value, value: &Value) -> bool {
        match value {
            Value::String(text) if has_type(schema, "string") => {
                is_within(schema, "minLength", "maxLength", text.chars().count() as f64)
                    && self.compiled.matches_pattern(schema, text)
            }
            Value::Number(number) if has_type(schema, "integer") => {
                number.is_u64() && is_number_within(schema, value)
            }
            Value::Number(_) if has_type(schema, "number") => is_number_within(schema, value),
            Value::Bool(_) => has_type(schema, "boolean"),
            _ => false,
        }
    }
}

fn has_type(schema: &Value, name: &str) -> bool {
    schema.get("type").and_then(Value::as_str) == Some(name)
}

fn is_required(schema: &Value, key: &str) -> bool {
    let required = schema.get("required").and_then(Value::as_array);
    required.is_some_and(|required| required.iter().any(|name| name == key))
}

/// Returns whether a value selects this `oneOf` variant: it equals the variant's constant, or has
/// its first required key.
fn selects_variant(variant: &Value, value: &Value) -> bool {
    match variant.get("const") {
        Some(constant) => constant == value,
        None => variant_name(variant).is_some_and(|key| value.get(key).is_some()),
    }
}

fn is_number_within(schema: &Value, value: &Value) -> bool {
    value.as_f64().is_some_and(|number| is_within(schema, "minimum", "maximum", number))
}

/// Returns whether a number is within the bounds that the keywords `low` and `high` set.
///
/// The comparison is in floating point, which is exact because every bound is below 2^53.
fn is_within(schema: &Value, low: &str, high: &str, number: f64) -> bool {
    let bound = |name: &str| schema.get(name).and_then(Value::as_f64);
    bound(low).is_none_or(|low| number >= low) && bound(high).is_none_or(|high| number <= high)
}

/// Returns the keys in alphabetical order, so that the order of the faults does not depend on the
/// order of the input.
fn sorted_keys(members: Option<&Map<String, Value>>) -> Vec<&str> {
    let mut keys: Vec<&str> = members.into_iter().flat_map(Map::keys).map(String::as_str).collect();
    keys.sort_unstable();
    keys
}
