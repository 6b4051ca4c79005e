//! The command `keys`: creates keys and certificates for links, and hashes API keys.

use clap::{Arg, ArgMatches, Command, value_parser};
use hickorycross_config::hash_api_key;
use hickorycross_runtime::command::Failure;
use hickorycross_runtime::security::authority::{
    AUTHORITY_FILE, AUTHORITY_KEY_FILE, Authority, DEFAULT_VALID_DAYS, Holder,
};
use miette::IntoDiagnostic;
use std::path::PathBuf;

/// Returns the definition of `keys`.
pub(super) fn command() -> Command {
    Command::new("keys")
        .about("Make keys for links, or the hash of an API key")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(make_command())
        .subcommand(Command::new("hash-key").about(
            "Read an API key from standard input and print its hash for a document's key_hashes",
        ))
}

fn make_command() -> Command {
    Command::new("make")
        .about("Make the fleet's authority, and keys and certificates for entries and agents")
        .after_help(
            "An authority that is there already is used again; entry.pem, entry.key.pem, \
             agent.pem and agent.key.pem are replaced. Running processes take up replaced files \
             within seconds. Keep authority.key.pem away from the instances.",
        )
        .arg(
            Arg::new("directory")
                .long("directory")
                .required(true)
                .value_name("DIRECTORY")
                .value_parser(value_parser!(PathBuf))
                .help("Where the files are written"),
        )
        .arg(
            Arg::new("days")
                .long("days")
                .value_name("DAYS")
                .default_value(DEFAULT_VALID_DAYS.to_string())
                .value_parser(value_parser!(u16).range(1..))
                .help("Days for which the certificates hold"),
        )
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("make", matches)) => make_keys(matches),
        Some(("hash-key", _)) => print_hash(),
        _ => Ok(()),
    }
}

fn make_keys(matches: &ArgMatches) -> Result<(), Failure> {
    let unusable = |error: miette::Report| Failure::Unusable(error);
    let directory: &PathBuf = matches
        .get_one("directory")
        .ok_or_else(|| unusable(miette::miette!("name a directory with --directory")))?;
    let days = matches.get_one("days").copied().unwrap_or(DEFAULT_VALID_DAYS);
    let authority = Authority::open_or_create(directory).map_err(|error| unusable(error.into()))?;
    for holder in [Holder::Entry, Holder::Agent] {
        authority.issue(holder, days).map_err(|error| unusable(error.into()))?;
    }
    println!("{}", directory.display());
    println!("  {AUTHORITY_FILE}      authority_file of every process");
    println!("  {AUTHORITY_KEY_FILE}  stays with the operator");
    for holder in [Holder::Entry, Holder::Agent] {
        println!("  {}          certificate_file, for {days} days", holder.certificate_file());
        println!("  {}      key_file", holder.key_file());
    }
    Ok(())
}

/// Prints the hash of an API key.
///
/// The key is read from standard input, because arguments are visible in the shell's history and in
/// the list of processes.
fn print_hash() -> Result<(), Failure> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).into_diagnostic().map_err(Failure::Failed)?;
    let key = line.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Failure::Unusable(miette::miette!("send an API key on standard input")));
    }
    let hash =
        serde_json::to_value(hash_api_key(key)).into_diagnostic().map_err(Failure::Failed)?;
    println!("{}", hash.as_str().unwrap_or_default());
    Ok(())
}
