//! Commands that both programs have, and what their exit codes mean.

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

/// Exit codes, for `--help`.
pub const EXIT_CODES: &str = "Exit codes:
  0  done
  1  failed
  2  a flag, a file or its content cannot be used
  3  the audit trail has a gap or an altered record";

/// How a command ended without success.
#[derive(Debug)]
pub enum Failure {
    /// It failed.
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

/// Prints a failure and gives the exit code.
#[must_use]
pub fn report_result(done: Result<(), Failure>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{:?}", failure.report());
            ExitCode::from(failure.code())
        }
    }
}

/// Prints what `clap` has to say, which may be help, and gives the exit code.
#[must_use]
pub fn report_parse_error(error: &clap::Error) -> ExitCode {
    let _ = error.print();
    u8::try_from(error.exit_code()).map_or(ExitCode::FAILURE, ExitCode::from)
}
