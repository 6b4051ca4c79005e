//! The fields of settings, one by one.

use super::error::Fault;
use super::members::Member;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// How a field is written on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// As it is.
    Text,
    /// As a JSON number.
    Number,
    /// Not at all: it holds further fields.
    Structure,
}

/// One field of the first level.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Its name.
    pub name: &'static str,
    /// How flags write it.
    pub kind: Kind,
    /// Whether the file must have it, unless a flag or the environment gives it.
    pub required: bool,
    /// What it is, for `--help`.
    pub about: &'static str,
    /// What is allowed, for messages.
    pub allowed: &'static str,
    parse: fn(&Value) -> Result<(), String>,
}

impl Field {
    /// A field without a default.
    #[must_use]
    pub const fn required<T: DeserializeOwned>(
        name: &'static str,
        kind: Kind,
        about: &'static str,
        allowed: &'static str,
    ) -> Self {
        Self { name, kind, required: true, about, allowed, parse: parse::<T> }
    }

    /// A field with a default.
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

/// What file, environment and flags give.
pub(super) struct Given<'a> {
    /// The file's members, as they stand there.
    pub(super) members: &'a [Member<'a>],
    /// The same with the overrides in their places.
    pub(super) merged: &'a Map<String, Value>,
}

/// Finds unknown, repeated, missing and mistyped fields.
pub(super) fn check(fields: &[Field], given: &Given<'_>) -> Vec<Fault> {
    let mut faults = unknown(fields, given);
    faults.extend(repeated(given));
    faults.extend(fields.iter().filter_map(|field| check_field(field, given)));
    faults
}

fn unknown(fields: &[Field], given: &Given<'_>) -> Vec<Fault> {
    let names = fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", ");
    let is_known = |member: &&Member<'_>| fields.iter().any(|field| field.name == member.name);
    let unknown = given.members.iter().filter(|member| !is_known(member));
    // The value is not quoted: a secret may have been put into the wrong field.
    unknown
        .map(|member| Fault::new(&member.name, "an unknown field", &format!("one of {names}")))
        .collect()
}

fn repeated(given: &Given<'_>) -> Vec<Fault> {
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
        Some(value) => mistyped(field, value),
    }
}

fn mistyped(field: &Field, value: &Value) -> Option<Fault> {
    let cause = (field.parse)(value).err()?;
    let allowed = match field.kind {
        Kind::Structure => format!("{} ({cause})", field.allowed),
        Kind::Text | Kind::Number => field.allowed.to_owned(),
    };
    Some(Fault::new(field.name, &value.to_string(), &allowed))
}
