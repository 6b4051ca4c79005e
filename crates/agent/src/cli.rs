//! Commands and flags of the agent's program.

use crate::program::Agent;
use crate::settings::Settings;
use clap::Command;
use hickorycross_runtime::command::{self, EXIT_CODES, Failure};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::logs;
use hickorycross_runtime::signals::StopSignals;
use miette::IntoDiagnostic;
use std::ffi::OsString;
use std::process::ExitCode;

/// First steps, shown at the end of the help text.
const FIRST_STEPS: &str = "An agent stands beside each backend server. First steps:
  hickorycross-agent check --settings agent.json    check a settings file
  hickorycross-agent run --settings agent.json      run beside the backend server
  hickorycross-agent status http://127.0.0.1:7401   see how it fares";

/// Returns the definition of the agent's commands and flags.
#[must_use]
pub fn command_line() -> Command {
    Command::new("hickorycross-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The hickorycross process beside a backend server")
        .after_help(format!("{FIRST_STEPS}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Run until SIGTERM, then drain; a second signal stops at once")
                .args(command::settings_arguments::<Settings>()),
        )
        .subcommand(
            Command::new("check")
                .about("Check a settings file, with environment and flags, and start nothing")
                .args(command::settings_arguments::<Settings>()),
        )
        .subcommand(crate::on_platform::command())
        .subcommand(command::status_command())
        .subcommand(command::audit_command())
        .subcommand(command::completions_command())
}

/// Parses and runs a command line. Returns the exit code of the process.
pub fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let matches = match command_line().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return command::report_parse_error(&error),
    };
    let done = match matches.subcommand() {
        Some(("run", matches)) => command::load_settings(matches)
            .and_then(|settings| run_agent(&settings).map_err(Failure::Failed)),
        Some(("on-platform", _)) => crate::on_platform::run().map_err(Failure::Failed),
        Some(("check", matches)) => command::load_settings::<Settings>(matches)
            .map(|_| println!("the settings can be used")),
        Some(("status", matches)) => command::status(matches),
        Some(("audit", matches)) => command::audit(matches),
        Some(("completions", matches)) => command::completions(matches, command_line()),
        _ => Ok(()),
    };
    command::report_result(done)
}

/// Runs an agent until a stop signal has arrived and the agent has drained.
///
/// A second signal ends the drain at once and is reported as an error.
fn run_agent(settings: &Settings) -> miette::Result<()> {
    logs::install(&settings.log_filter).into_diagnostic()?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let exposition = Exposition::install().into_diagnostic()?;
        let mut signals = StopSignals::install().into_diagnostic()?;
        let agent = Agent::start(settings, exposition).await?;
        log::info!(target: "agent", instance = settings.instance.0.as_ref(); "started");
        signals.next().await;
        log::info!(target: "agent", instance = settings.instance.0.as_ref(); "draining");
        tokio::select! {
            () = agent.drain() => Ok(()),
            () = signals.next() => Err(miette::miette!("stopped by a second signal")),
        }
    })
}
