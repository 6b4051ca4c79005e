//! The command `on-platform`, which runs an entry on the users' platform.

use clap::Command;
use hickorycross_platform::{SettingsFile, StoreClient, wire_names};
use miette::IntoDiagnostic;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Returns the definition of `on-platform`.
pub(crate) fn command() -> Command {
    Command::new("on-platform").about(
        "Run on the users' platform, which names the settings file in the environment and gives \
         configuration and backend servers in its store",
    )
}

/// Runs an entry until the platform asks it to stop.
pub(crate) fn run() -> miette::Result<()> {
    let mut file = SettingsFile::from_environment()?;
    let settings = file.read()?;
    let store = Rc::new(StoreClient::new(settings.store).into_diagnostic()?);
    // An instance has a fraction of one core, so more threads would not run in parallel.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let running = hickorycross_direct::run_entry(settings, wire_names(), store, Box::new(file));
    LocalSet::new().block_on(&runtime, running)
}
