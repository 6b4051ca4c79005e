//! Settings of the programs: a JSON file whose fields can be overridden by the environment and by
//! flags.
//!
//! A program lists its fields as [`Field`]s. The flags and the names of environment variables are
//! derived from that list, and so is the check, which reports every unknown, missing and mistyped
//! field together with its position in the file. Times in a file are durations in milliseconds
//! (`_ms`), because a file has no start time that a deadline could refer to; the programs derive
//! deadlines from them.

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

/// The settings of a program, which can be loaded with [`load`].
pub trait Settings: DeserializeOwned {
    /// All top-level fields of the file.
    const FIELDS: &'static [Field];

    /// Returns the faults of values that have the right type but are not allowed.
    fn faults(&self) -> Vec<Fault>;
}

/// Loads settings from a file and overrides.
///
/// # Errors
///
/// If the file cannot be read, or the settings have faults; all of them are reported.
pub fn load<T: Settings>(path: &Path, overrides: &Overrides) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| SettingsError::Unreadable { path: path.display().to_string(), cause })?;
    read(&path.display().to_string(), &text, overrides)
}

/// Reads settings from text and overrides; messages use `name` as the name of the file.
///
/// # Errors
///
/// If the text is not a JSON object, or the settings have faults; all of them are reported.
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

/// Returns the members of the file with the overrides applied.
fn merged(found: &[Member<'_>], overrides: &Overrides) -> Map<String, Value> {
    let mut object = Map::new();
    for member in found {
        let value = serde_json::from_str(member.raw.get()).unwrap_or(Value::Null);
        object.insert(member.name.clone(), value);
    }
    for (path, value) in overrides.iter() {
        set_at_path(&mut object, path, value.clone());
    }
    object
}

fn set_at_path(object: &mut Map<String, Value>, path: &[&str], value: Value) {
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
                set_at_path(inner, rest, value);
            }
        }
    }
}

/// The text of a settings file, for error messages that show positions in it.
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
                let member = found.iter().rfind(|member| member.name == fault.top_level_field())?;
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

/// Returns a fault for each failed check.
///
/// A check consists of the name of a field, the value that was found, and whether it is allowed.
#[must_use]
pub fn faults_of_checks<T: Settings, const N: usize>(
    checks: [(&str, String, bool); N],
) -> Vec<Fault> {
    let failed = checks.into_iter().filter(|(_, _, is_allowed)| !is_allowed);
    failed.map(|(name, found, _)| Fault::new(name, &found, allowed_of::<T>(name))).collect()
}

fn allowed_of<T: Settings>(name: &str) -> &'static str {
    let field = T::FIELDS.iter().find(|field| field.name == name);
    field.map_or("another value", |field| field.allowed)
}
