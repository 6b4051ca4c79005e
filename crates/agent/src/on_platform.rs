//! The `on-platform` command, which runs an agent beside a rank of a model group on the users'
//! platform.

use clap::Command;
use hickorycross_platform::{HttpRankClients, SettingsFile};
use miette::IntoDiagnostic;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Returns the definition of the command.
pub(crate) fn command() -> Command {
    Command::new("on-platform").about(
        "Run on the users' platform, which names the settings file in the environment, beside a \
         rank of a model group",
    )
}

/// Runs the agent until the platform asks it to stop.
pub(crate) fn run() -> miette::Result<()> {
    let mut file = SettingsFile::from_environment()?;
    let settings = file.read()?;
    let ranks = Rc::new(HttpRankClients::new().into_diagnostic()?);
    // The instance provides only a share of one CPU core, so more threads gain nothing.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let running = hickorycross_direct::run_agent(settings, ranks, Box::new(file));
    LocalSet::new().block_on(&runtime, running)
}
