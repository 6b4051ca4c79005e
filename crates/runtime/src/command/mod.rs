//! The subcommands that both programs have, and the meaning of their exit codes.

mod audit;
mod completions;
mod fetch;
mod settings;
mod status;

pub use audit::{audit, audit_command};
pub use completions::{completions, completions_command};
pub use settings::{load_settings, settings_arguments};
pub use status::{status, status_command};

use std::process::ExitCode;

/// The list of exit codes in `--help`.
pub const EXIT_CODES: &str = "Exit codes:
  0  done
  1  failed
  2  a flag, a file or its content cannot be used
  3  the audit trail has a gap or an altered record";

/// The failure of a command, which determines its exit code.
#[derive(Debug)]
pub enum Failure {
    /// The command failed for another reason.
    Failed(miette::Report),
    /// A flag, a file or its content cannot be used.
    Unusable(miette::Report),
    /// The audit trail has a gap or an altered record.
    BrokenTrail(miette::Report),
}

impl Failure {
    const fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Unusable(_) => 2,
            Self::BrokenTrail(_) => 3,
        }
    }

    const fn report(&self) -> &miette::Report {
        match self {
            Self::Failed(report) | Self::Unusable(report) | Self::BrokenTrail(report) => report,
        }
    }
}

/// Prints the failure of a command, if any, and returns the exit code.
#[must_use]
pub fn report_result(result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{:?}", failure.report());
            ExitCode::from(failure.code())
        }
    }
}

/// Prints an error of `clap`, which may be the requested help or version, and returns the exit
/// code.
#[must_use]
pub fn report_parse_error(error: &clap::Error) -> ExitCode {
    let _ = error.print();
    u8::try_from(error.exit_code()).map_or(ExitCode::FAILURE, ExitCode::from)
}
