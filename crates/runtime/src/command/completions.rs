//! `completions`: scripts that complete commands and flags in a shell.

use super::Failure;
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// The command.
#[must_use]
pub fn completions_command() -> Command {
    Command::new("completions")
        .about("Print a script that completes commands and flags in a shell")
        .arg(
            Arg::new("shell").required(true).value_parser(value_parser!(Shell)).value_name("SHELL"),
        )
}

/// Prints the script for a whole command line.
///
/// # Errors
///
/// When no shell is named.
pub fn completions(matches: &ArgMatches, mut whole: Command) -> Result<(), Failure> {
    let shell: Shell = *matches
        .get_one("shell")
        .ok_or_else(|| Failure::Unusable(miette::miette!("name a shell")))?;
    let name = whole.get_name().to_owned();
    // Written in one go: a reader that closes early must not make the writer panic.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut whole, name, &mut script);
    print!("{}", String::from_utf8_lossy(&script));
    Ok(())
}
