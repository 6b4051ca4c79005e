//! The commands `check`, `diff` and `schema`, for settings files and documents.

use crate::settings::Settings;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hickorycross_config::{Document, parse, warnings};
use hickorycross_runtime::command::{self, Failure};
use serde::Serialize;
use std::path::{Path, PathBuf};

/// Returns the definition of `check`.
pub(super) fn check_command() -> Command {
    let mut settings = command::settings_arguments::<Settings>();
    for argument in &mut settings {
        if argument.get_id() == "settings" {
            *argument = argument.clone().required(false);
        }
    }
    Command::new("check")
        .about("Check a settings file (--settings) or a document (--document), and start nothing")
        .arg(
            Arg::new("document")
                .long("document")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The document, in JSON (docs/DOCUMENT.md)"),
        )
        .args(settings)
        .group(clap::ArgGroup::new("file").args(["settings", "document"]).required(true))
}

/// Returns the definition of `diff`.
pub(super) fn diff_command() -> Command {
    let file = |name: &'static str, about: &'static str| {
        Arg::new(name)
            .required(true)
            .value_name(name.to_uppercase())
            .value_parser(value_parser!(PathBuf))
            .help(about)
    };
    Command::new("diff")
        .about("Show what changes from one document to another, with warnings")
        .arg(file("old", "The document in force"))
        .arg(file("new", "The document that is to replace it"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
}

/// Returns the definition of `schema`.
pub(super) fn schema_command() -> Command {
    Command::new("schema").about("Print the JSON schema of the document")
}

/// Checks a settings file or a document.
pub(super) fn check(matches: &ArgMatches) -> Result<(), Failure> {
    if let Some(path) = matches.get_one::<PathBuf>("document") {
        let document = load_document(path)?;
        println!("the document can be used: {}", document.title);
        return Ok(());
    }
    command::load_settings::<Settings>(matches)?;
    println!("the settings can be used");
    Ok(())
}

#[derive(Serialize)]
struct Difference {
    changes: Vec<hickorycross_config::Change>,
    warnings: Vec<hickorycross_config::Warning>,
}

/// Prints the changes from one document to another, with warnings.
pub(super) fn diff(matches: &ArgMatches) -> Result<(), Failure> {
    let (old, new) = (document_argument(matches, "old")?, document_argument(matches, "new")?);
    let difference = Difference {
        changes: hickorycross_config::diff(&old, &new),
        warnings: warnings(&old, &new),
    };
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&difference).unwrap_or_default());
        return Ok(());
    }
    if difference.changes.is_empty() {
        println!("no change");
    }
    difference.changes.iter().for_each(|change| println!("{change}"));
    difference.warnings.iter().for_each(|warning| println!("warning: {warning}"));
    Ok(())
}

/// Prints the JSON schema of documents.
pub(super) fn schema() {
    println!("{:#}", hickorycross_config::schema());
}

fn document_argument(matches: &ArgMatches, name: &str) -> Result<Document, Failure> {
    let path: &PathBuf = matches
        .get_one(name)
        .ok_or_else(|| Failure::Unusable(miette::miette!("name two documents")))?;
    load_document(path)
}

fn load_document(path: &Path) -> Result<Document, Failure> {
    let bytes = std::fs::read(path).map_err(|error| {
        Failure::Unusable(miette::miette!("cannot read the document {}: {error}", path.display()))
    })?;
    parse(&bytes).map_err(|faults| {
        let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
        Failure::Unusable(miette::miette!(
            help = "see docs/DOCUMENT.md for every field",
            "{} has {} faults:\n{}",
            path.display(),
            faults.len(),
            lines.join("\n")
        ))
    })
}
