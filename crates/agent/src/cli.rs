//! The agent's command line.

use crate::program::Agent;
use crate::settings::Settings;
use clap::{Arg, ArgMatches, Command, value_parser};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::signals::StopSignals;
use hickorycross_runtime::{logs, settings};
use miette::IntoDiagnostic;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code when the settings cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when a running agent fails.
const EXIT_FAILED: u8 = 1;

/// The agent's commands and flags.
#[must_use]
pub fn command_line() -> Command {
    Command::new("hickorycross-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The hickorycross process beside a backend server")
        .after_help(
            "Exit codes: 0 stopped after draining, 1 failed, 2 the settings cannot be used.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run").about("Run until SIGTERM, then drain").arg(settings_argument()),
        )
        .subcommand(Command::new("check").about("Check a settings file").arg(settings_argument()))
}

fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .env("HICKORYCROSS_SETTINGS")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings file, in JSON")
}

/// Runs a command line and gives the exit code.
pub fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let matches = match command_line().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { EXIT_SETTINGS } else { 0 });
        }
    };
    match matches.subcommand() {
        Some(("run", matches)) => with_settings(matches, run_agent),
        Some(("check", matches)) => with_settings(matches, |_| {
            println!("the settings can be used");
            Ok(())
        }),
        _ => ExitCode::from(EXIT_SETTINGS),
    }
}

fn with_settings(
    matches: &ArgMatches,
    job: impl FnOnce(Settings) -> miette::Result<()>,
) -> ExitCode {
    let loaded = load(matches);
    let settings = match loaded {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match job(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn load(matches: &ArgMatches) -> miette::Result<Settings> {
    let path: &PathBuf = matches
        .get_one("settings")
        .ok_or_else(|| miette::miette!("name a settings file with --settings"))?;
    let loaded: Settings = settings::load(path)?;
    loaded.check()?;
    Ok(loaded)
}

fn run_agent(settings: Settings) -> miette::Result<()> {
    logs::install(&settings.log_filter).into_diagnostic()?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let exposition = Exposition::install().into_diagnostic()?;
        let mut signals = StopSignals::install().into_diagnostic()?;
        let agent = Agent::start(&settings, exposition).await?;
        log::info!(target: "agent", instance = settings.instance.0.as_ref(); "started");
        signals.next().await;
        log::info!(target: "agent", instance = settings.instance.0.as_ref(); "draining");
        tokio::select! {
            () = agent.drain() => Ok(()),
            () = signals.next() => Err(miette::miette!("stopped by a second signal")),
        }
    })
}
