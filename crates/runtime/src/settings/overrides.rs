//! Flags and environment variables that override fields of the file.

use super::field::{Field, Kind};
use clap::{Arg, ArgMatches, value_parser};
use serde_json::Value;
use std::path::PathBuf;

/// Prefix of the names of environment variables for fields.
const ENVIRONMENT_PREFIX: &str = "HICKORYCROSS_";
/// Flags for the files with the keys of links: name, path of the field, help text.
const KEY_FILES: [(&str, [&str; 3], &str); 3] = [
    (
        "link-authority-file",
        ["link_security", "mutual_tls", "authority_file"],
        "Certificate of the fleet's authority, in PEM",
    ),
    (
        "link-certificate-file",
        ["link_security", "mutual_tls", "certificate_file"],
        "Certificate of this process for links, in PEM",
    ),
    (
        "link-key-file",
        ["link_security", "mutual_tls", "key_file"],
        "Private key of this process for links, in PEM",
    ),
];

/// Values that replace those of the file, each with the path of its field.
#[derive(Clone, Debug, Default)]
pub struct Overrides(Vec<(Vec<&'static str>, Value)>);

impl Overrides {
    /// Collects the overrides of a command line that was parsed with [`arguments`].
    #[must_use]
    pub fn of(fields: &[Field], matches: &ArgMatches) -> Self {
        let mut overrides = Self::default();
        for field in fields.iter().filter(|field| field.kind != Kind::Structure) {
            if let Some(text) = matches.get_one::<String>(field.name) {
                overrides.0.push((vec![field.name], value_of(field.kind, text)));
            }
        }
        for (flag, path, _) in KEY_FILES {
            if let Some(text) = matches.get_one::<String>(flag) {
                overrides.0.push((path.to_vec(), Value::String(text.clone())));
            }
        }
        overrides
    }

    /// Adds an override of the field at a path.
    pub fn set(&mut self, path: &[&'static str], value: Value) {
        self.0.push((path.to_vec(), value));
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&[&'static str], &Value)> {
        self.0.iter().map(|(path, value)| (path.as_slice(), value))
    }
}

/// Converts the text of a flag to a value. Text that is not a number although one is expected stays
/// text, so that the check reports it as having the wrong type.
fn value_of(kind: Kind, text: &str) -> Value {
    match kind {
        Kind::Number => {
            serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
        }
        Kind::Text | Kind::Structure => Value::String(text.to_owned()),
    }
}

/// Returns the flags of a command that reads settings: `--settings`, one for each scalar field, and
/// those for the key files.
#[must_use]
pub fn arguments(fields: &[Field]) -> Vec<Arg> {
    let scalar = fields.iter().filter(|field| field.kind != Kind::Structure);
    let scalar = scalar.map(|field| argument(field.name, field.name, field.about));
    let files = KEY_FILES.iter().map(|(flag, _, about)| argument(flag, flag, about));
    std::iter::once(settings_argument()).chain(scalar).chain(files).collect()
}

fn argument(id: &'static str, name: &str, about: &'static str) -> Arg {
    let environment = name.to_uppercase().replace('-', "_");
    Arg::new(id)
        .long(name.replace('_', "-"))
        .env(format!("{ENVIRONMENT_PREFIX}{environment}"))
        .value_name("VALUE")
        .help(about)
        .help_heading("In place of the file's fields")
        .hide_env_values(true)
}

fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .env("HICKORYCROSS_SETTINGS")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings file, in JSON (docs/SETTINGS.md)")
}
