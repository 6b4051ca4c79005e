//! The JSON schema of the document.
//!
//! The schema is the only definition of what a single field may hold: its type, range, length and
//! syntax. Validation checks fields against it, forms may read it, and a copy is committed as
//! `docs/document.schema.json`.

use crate::document::Document;
use indexmap::IndexMap;
use regex::Regex;
use serde_json::Value;
use std::sync::LazyLock;

/// Generates the JSON schema (draft 2020-12) of [`Document`].
///
/// In addition to the standard keywords, `x-allowed` describes a syntax in words for messages, and
/// `x-secret` marks a value that no message may contain.
#[must_use]
pub fn schema() -> Value {
    schemars::schema_for!(Document).to_value()
}

/// The schema of [`Document`] with its regular expressions compiled.
pub(crate) struct CompiledSchema {
    root: Value,
    patterns: IndexMap<String, Regex>,
}

/// The compiled schema of [`Document`], built on first use.
pub(crate) static DOCUMENT_SCHEMA: LazyLock<CompiledSchema> = LazyLock::new(CompiledSchema::new);

impl CompiledSchema {
    fn new() -> Self {
        let root = schema();
        let mut patterns = IndexMap::new();
        compile_patterns(&root, &mut patterns);
        Self { root, patterns }
    }

    /// Returns the schema of the whole document.
    pub(crate) fn root(&self) -> &Value {
        &self.root
    }

    /// Follows `$ref` references until a schema without one; `null` if a reference has no target.
    pub(crate) fn resolve<'a>(&'a self, schema: &'a Value) -> &'a Value {
        let mut resolved = schema;
        while let Some(reference) = resolved.get("$ref").and_then(Value::as_str) {
            let pointer = reference.trim_start_matches('#');
            resolved = self.root.pointer(pointer).unwrap_or(&Value::Null);
        }
        resolved
    }

    /// Returns whether a text matches a schema's pattern; true if the schema has no pattern.
    pub(crate) fn matches_pattern(&self, schema: &Value, text: &str) -> bool {
        let pattern = schema.get("pattern").and_then(Value::as_str);
        let compiled = pattern.and_then(|pattern| self.patterns.get(pattern));
        compiled.is_none_or(|regex| regex.is_match(text))
    }
}

fn compile_patterns(schema: &Value, patterns: &mut IndexMap<String, Regex>) {
    match schema {
        Value::Object(members) => {
            if let Some(pattern) = members.get("pattern").and_then(Value::as_str) {
                let regex = Regex::new(pattern).expect("patterns of the schema are constants");
                patterns.insert(pattern.to_owned(), regex);
            }
            members.values().for_each(|member| compile_patterns(member, patterns));
        }
        Value::Array(entries) => {
            entries.iter().for_each(|entry| compile_patterns(entry, patterns));
        }
        _ => {}
    }
}
