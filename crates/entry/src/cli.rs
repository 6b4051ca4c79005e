//! The entry's command line.

use crate::program::Entry;
use crate::settings::Settings;
use crate::{console, demo};
use clap::{Arg, ArgMatches, Command, value_parser};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::signals::StopSignals;
use hickorycross_runtime::{logs, settings};
use miette::IntoDiagnostic;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code when a file or a flag cannot be used.
const EXIT_UNUSABLE: u8 = 2;
/// Exit code when a running program fails.
const EXIT_FAILED: u8 = 1;

/// The entry's commands and flags.
#[must_use]
pub fn command_line() -> Command {
    Command::new("hickorycross-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The hickorycross process that takes callers' requests")
        .after_help("Exit codes: 0 done, 1 failed, 2 a file or a flag cannot be used.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run").about("Run until SIGTERM, then drain").arg(settings_argument()),
        )
        .subcommand(demo::command())
        .subcommand(console::command())
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
            return ExitCode::from(if error.use_stderr() { EXIT_UNUSABLE } else { 0 });
        }
    };
    let done = match matches.subcommand() {
        Some(("run", matches)) => match load(matches) {
            Ok(settings) => run_entry(&settings),
            Err(report) => {
                eprintln!("{report:?}");
                return ExitCode::from(EXIT_UNUSABLE);
            }
        },
        Some(("demo", matches)) => demo::run(matches),
        Some(("hash-password", _)) => console::hash_password(),
        _ => Ok(()),
    };
    match done {
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
