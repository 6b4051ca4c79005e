//! Start, listeners and end of a process, shared by entries and agents.

use crate::decision_log::{DecisionLog, Fields};
use crate::reload::Reload;
use crate::settings::SettingsSource;
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::signals::StopSignals;
use miette::{Context, IntoDiagnostic};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time for the writer thread of the log to write the last line, which takes well under a
/// millisecond.
const LAST_LINE_MS: u64 = 5;

/// What every process sets up first.
pub(crate) struct Process {
    pub(crate) exposition: Exposition,
    pub(crate) log: DecisionLog,
    pub(crate) signals: StopSignals,
    pub(crate) reload: Reload,
}

impl Process {
    /// Sets up metrics, log and signal handlers.
    ///
    /// # Errors
    ///
    /// When signal handlers or threads cannot be set up, or metrics were set up before.
    pub(crate) fn start(source: Box<dyn SettingsSource>) -> miette::Result<Self> {
        let exposition = Exposition::install().into_diagnostic()?;
        let log = DecisionLog::start().into_diagnostic()?;
        let signals = StopSignals::install().into_diagnostic()?;
        let reload = Reload::install(source, log.clone()).into_diagnostic()?;
        Ok(Self { exposition, log, signals, reload })
    }
}

/// Binds a TCP listener to an address.
///
/// # Errors
///
/// When the address cannot be bound; the report contains the address.
pub(crate) async fn listen(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address).await.into_diagnostic().wrap_err_with(|| listen_error(address))
}

/// Returns the message for an address that cannot be bound.
pub(crate) fn listen_error(address: SocketAddr) -> String {
    format!("cannot listen on {address}")
}

/// Queues the last line of the log and waits until it is written.
pub(crate) async fn log_last_line(log: &DecisionLog, line: Fields) {
    log.note(line);
    tokio::time::sleep(Duration::from_millis(LAST_LINE_MS)).await;
}
