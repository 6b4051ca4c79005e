//! `demo`.

use clap::{ArgMatches, Command};

/// The command.
pub(crate) fn command() -> Command {
    Command::new("demo").about("Run a whole fleet in this process, on loopback")
}

/// Runs it.
pub(crate) fn run(_matches: &ArgMatches) -> miette::Result<()> {
    Ok(())
}
