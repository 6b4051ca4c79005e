//! The entry's command line.

mod documents;
mod keys;
mod on_platform;

use crate::program::Entry;
use crate::settings::Settings;
use crate::{console, demo};
use clap::Command;
use hickorycross_runtime::command::{self, EXIT_CODES, Failure};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::logs;
use hickorycross_runtime::signals::StopSignals;
use miette::IntoDiagnostic;
use std::ffi::OsString;
use std::process::ExitCode;

/// Examples of commands, shown at the end of the help text.
const FIRST_STEPS: &str = "An entry takes callers' requests. First steps:
  hickorycross-entry demo                              a whole fleet in this process
  hickorycross-entry check --document fleet.json       check a document
  hickorycross-entry diff fleet.json next.json         what a change would do
  hickorycross-entry keys make --directory keys        keys for entries and agents
  hickorycross-entry run --settings entry.json         run an entry
  hickorycross-entry status http://127.0.0.1:7401      see how it fares";

/// Returns the definition of the commands and flags.
#[must_use]
pub fn command_line() -> Command {
    Command::new("hickorycross-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The hickorycross process that takes callers' requests, and operators' tools")
        .after_help(format!("{FIRST_STEPS}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Run until SIGTERM, then drain; a second signal stops at once")
                .args(command::settings_arguments::<Settings>()),
        )
        .subcommand(on_platform::command())
        .subcommand(documents::check_command())
        .subcommand(documents::diff_command())
        .subcommand(documents::schema_command())
        .subcommand(command::status_command())
        .subcommand(command::audit_command())
        .subcommand(keys::command())
        .subcommand(console::command())
        .subcommand(demo::command())
        .subcommand(command::completions_command())
}

/// Parses and runs a command line, and returns the exit code.
pub fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let matches = match command_line().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return command::report_parse_error(&error),
    };
    let done = match matches.subcommand() {
        Some(("run", matches)) => command::load_settings(matches)
            .and_then(|settings| run_entry(&settings).map_err(Failure::Failed)),
        Some(("on-platform", _)) => on_platform::run().map_err(Failure::Failed),
        Some(("check", matches)) => documents::check(matches),
        Some(("diff", matches)) => documents::diff(matches),
        Some(("schema", _)) => {
            documents::schema();
            Ok(())
        }
        Some(("status", matches)) => command::status(matches),
        Some(("audit", matches)) => command::audit(matches),
        Some(("keys", matches)) => keys::run(matches),
        Some(("hash-password", _)) => console::hash_password().map_err(Failure::Unusable),
        Some(("demo", matches)) => demo::run(matches).map_err(Failure::Failed),
        Some(("completions", matches)) => command::completions(matches, command_line()),
        _ => Ok(()),
    };
    command::report_result(done)
}

fn run_entry(settings: &Settings) -> miette::Result<()> {
    logs::install(&settings.log_filter).into_diagnostic()?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let exposition = Exposition::install().into_diagnostic()?;
        let mut signals = StopSignals::install().into_diagnostic()?;
        let entry = Entry::start(settings, exposition).await?;
        log::info!(target: "entry", instance = settings.instance.0.as_ref(); "started");
        signals.next().await;
        log::info!(target: "entry", instance = settings.instance.0.as_ref(); "draining");
        tokio::select! {
            () = entry.drain() => Ok(()),
            () = signals.next() => Err(miette::miette!("stopped by a second signal")),
        }
    })
}
