//! The description of settings fields, and the check of given values against it.

use super::error::Fault;
use super::members::Member;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// The form of a field's value on the command line and in the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The text itself.
    Text,
    /// A JSON number.
    Number,
    /// None, because the field contains further fields.
    Structure,
}

/// A top-level field of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Form of the value in flags and in the environment.
    pub kind: Kind,
    /// Whether a value is required in the file, the environment or a flag.
    pub required: bool,
    /// Description for `--help`.
    pub about: &'static str,
    /// Description of the allowed values, for messages.
    pub allowed: &'static str,
    parse: fn(&Value) -> Result<(), String>,
}

impl Field {
    /// Describes a field without a default.
    #[must_use]
    pub const fn required<T: DeserializeOwned>(
        name: &'static str,
        kind: Kind,
        about: &'static str,
        allowed: &'static str,
    ) -> Self {
        Self { name, kind, required: true, about, allowed, parse: parse::<T> }
    }

    /// Describes a field with a default.
    #[must_use]
    pub const fn optional<T: DeserializeOwned>(
        name: &'static str,
        kind: Kind,
        about: &'static str,
        allowed: &'static str,
    ) -> Self {
        Self { name, kind, required: false, about, allowed, parse: parse::<T> }
    }
}

fn parse<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value).map(|_| ()).map_err(|error| error.to_string())
}

/// The values from the file, the environment and flags.
pub(super) struct Given<'a> {
    /// The members of the file, in its order and with repetitions.
    pub(super) members: &'a [Member<'a>],
    /// The members with the overrides applied.
    pub(super) merged: &'a Map<String, Value>,
}

/// Returns a fault for each unknown, repeated, missing and mistyped field.
pub(super) fn check(fields: &[Field], given: &Given<'_>) -> Vec<Fault> {
    let mut faults = unknown_fields(fields, given);
    faults.extend(repeated_fields(given));
    faults.extend(fields.iter().filter_map(|field| check_field(field, given)));
    faults
}

fn unknown_fields(fields: &[Field], given: &Given<'_>) -> Vec<Fault> {
    let names = fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", ");
    let is_known = |member: &&Member<'_>| fields.iter().any(|field| field.name == member.name);
    let unknown = given.members.iter().filter(|member| !is_known(member));
    // The value is not quoted, because it may be a secret that belongs to another field.
    unknown
        .map(|member| Fault::new(&member.name, "an unknown field", &format!("one of {names}")))
        .collect()
}

fn repeated_fields(given: &Given<'_>) -> Vec<Fault> {
    let members = given.members;
    let is_repeated = |(index, member): &(usize, &Member<'_>)| {
        members[..*index].iter().any(|before| before.name == member.name)
    };
    let repeated = members.iter().enumerate().filter(is_repeated);
    repeated.map(|(_, member)| Fault::new(&member.name, "a second value", "one value")).collect()
}

fn check_field(field: &Field, given: &Given<'_>) -> Option<Fault> {
    match given.merged.get(field.name) {
        None => field.required.then(|| Fault::new(field.name, "nothing", field.allowed)),
        Some(value) => type_fault(field, value),
    }
}

fn type_fault(field: &Field, value: &Value) -> Option<Fault> {
    let cause = (field.parse)(value).err()?;
    let allowed = match field.kind {
        Kind::Structure => format!("{} ({cause})", field.allowed),
        Kind::Text | Kind::Number => field.allowed.to_owned(),
    };
    Some(Fault::new(field.name, &value.to_string(), &allowed))
}
