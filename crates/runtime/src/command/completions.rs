//! The command `completions`: prints a script that completes commands and flags in a shell.

use super::Failure;
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// Returns the command `completions`.
#[must_use]
pub fn completions_command() -> Command {
    Command::new("completions")
        .about("Print a script that completes commands and flags in a shell")
        .arg(
            Arg::new("shell").required(true).value_parser(value_parser!(Shell)).value_name("SHELL"),
        )
}

/// Prints the completion script of a program's whole command line.
///
/// # Errors
///
/// If the command line names no shell.
pub fn completions(matches: &ArgMatches, mut program: Command) -> Result<(), Failure> {
    let shell: Shell = *matches
        .get_one("shell")
        .ok_or_else(|| Failure::Unusable(miette::miette!("name a shell")))?;
    let name = program.get_name().to_owned();
    // The generator panics if writing fails, for example because the reader of a pipe has closed
    // it. The script is therefore generated in memory first.
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut program, name, &mut script);
    print!("{}", String::from_utf8_lossy(&script));
    Ok(())
}
