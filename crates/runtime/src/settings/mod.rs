//! Settings of the programs: a JSON file, overridden by environment and flags.
//!
//! A program lists its fields as [`Field`]s. From that list come the flags, the environment's
//! names, and the check that reports every unknown, missing and mistyped field at once, with its
//! place in the file. Spans of time in a file are spans, in milliseconds (`_ms`), because a file
//! has no moment of its own; the programs store the deadlines that follow from them.

mod error;
mod field;
mod members;
mod overrides;

pub use error::{Fault, SettingsError};
pub use field::{Field, Kind};
pub use overrides::{Overrides, arguments};

use field::Given;
use members::{Member, members, span_of};
use miette::{LabeledSpan, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::path::Path;

/// Settings that can be loaded.
pub trait Settings: DeserializeOwned {
    /// Every field of the file's first level.
    const FIELDS: &'static [Field];

    /// Faults of values that have the right types and do not fit.
    fn faults(&self) -> Vec<Fault>;
}

/// Reads a settings file and lays the overrides over it.
///
/// # Errors
///
/// When it cannot be read, or with every fault found.
pub fn load<T: Settings>(path: &Path, overrides: &Overrides) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable { path: path.display().to_string(), cause })?;
    read(&path.display().to_string(), &text, overrides)
}

/// Reads settings from text; `name` stands for the file in messages.
///
/// # Errors
///
/// With every fault found.
pub fn read<T: Settings>(
    name: &str,
    text: &str,
    overrides: &Overrides,
) -> Result<T, SettingsError> {
    let source = Source { name, text };
    let found = members(text).map_err(|error| source.malformed(&error))?;
    let merged = merged(&found, overrides);
    let given = Given { members: &found, merged: &merged };
    let mut faults = field::check(T::FIELDS, &given);
    if faults.is_empty() {
        match serde_json::from_value::<T>(Value::Object(merged)) {
            Ok(settings) => {
                faults = settings.faults();
                if faults.is_empty() {
                    return Ok(settings);
                }
            }
            Err(error) => faults.push(Fault::new("$", "these fields", &error.to_string())),
        }
    }
    Err(source.refused(&found, faults))
}

/// The file's members with the overrides in their places.
fn merged(found: &[Member<'_>], overrides: &Overrides) -> Map<String, Value> {
    let mut whole = Map::new();
    for member in found {
        let value = serde_json::from_str(member.raw.get()).unwrap_or(Value::Null);
        whole.insert(member.name.clone(), value);
    }
    for (path, value) in overrides.iter() {
        put(&mut whole, path, value.clone());
    }
    whole
}

fn put(object: &mut Map<String, Value>, path: &[&str], value: Value) {
    match path {
        [] => {}
        [last] => {
            object.insert((*last).to_owned(), value);
        }
        [first, rest @ ..] => {
            let inner =
                object.entry((*first).to_owned()).or_insert_with(|| Value::Object(Map::new()));
            if !inner.is_object() {
                *inner = Value::Object(Map::new());
            }
            if let Value::Object(inner) = inner {
                put(inner, rest, value);
            }
        }
    }
}

/// The text that faults point into.
struct Source<'t> {
    name: &'t str,
    text: &'t str,
}

impl Source<'_> {
    fn named(&self) -> NamedSource<String> {
        NamedSource::new(self.name, self.text.to_owned())
    }

    fn malformed(&self, error: &serde_json::Error) -> SettingsError {
        let offset = offset_of(self.text, error.line(), error.column());
        SettingsError::Malformed {
            cause: error.to_string(),
            source_file: self.named(),
            place: SourceSpan::new(offset.into(), 1),
        }
    }

    fn refused(&self, found: &[Member<'_>], faults: Vec<Fault>) -> SettingsError {
        let places = faults
            .iter()
            .filter_map(|fault| {
                let member = found.iter().rfind(|member| member.name == fault.first_name())?;
                let label = Some(fault.allowed_text());
                Some(LabeledSpan::new_with_span(label, span_of(self.text, member)))
            })
            .collect();
        SettingsError::Faults { faults, source_file: self.named(), places }
    }
}

fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let offset = before + column.saturating_sub(1);
    offset.min(text.len().saturating_sub(1))
}

/// Makes faults of the checks that failed: name of the field, what was found, whether it fits.
#[must_use]
pub fn faults_of_checks<T: Settings, const N: usize>(
    checks: [(&str, String, bool); N],
) -> Vec<Fault> {
    let failed = checks.into_iter().filter(|(_, _, fits)| !fits);
    failed.map(|(name, found, _)| Fault::new(name, &found, allowed_of::<T>(name))).collect()
}

fn allowed_of<T: Settings>(name: &str) -> &'static str {
    let field = T::FIELDS.iter().find(|field| field.name == name);
    field.map_or("another value", |field| field.allowed)
}
