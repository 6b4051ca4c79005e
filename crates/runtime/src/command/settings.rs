//! The settings flags of a command, and the loading of settings from them.

use super::Failure;
use crate::settings::{self, Overrides, Settings, arguments};
use clap::{Arg, ArgMatches};
use std::path::PathBuf;

/// Returns the flags of a command that reads settings.
#[must_use]
pub fn settings_arguments<T: Settings>() -> Vec<Arg> {
    arguments(T::FIELDS)
}

/// Loads and checks the settings file and the overrides of a command line.
///
/// # Errors
///
/// If the file cannot be read, or the settings have faults; all of them are reported.
pub fn load_settings<T: Settings>(matches: &ArgMatches) -> Result<T, Failure> {
    let path: &PathBuf = matches.get_one("settings").ok_or_else(|| {
        Failure::Unusable(miette::miette!("name a settings file with --settings"))
    })?;
    settings::load(path, &Overrides::of(T::FIELDS, matches))
        .map_err(|error| Failure::Unusable(error.into()))
}
