//! What an entry and an agent have in common as processes: how they start, listen and end.

use crate::decision_log::{DecisionLog, Fields};
use crate::reload::Reload;
use crate::settings::SettingsSource;
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::signals::StopSignals;
use miette::{Context, IntoDiagnostic};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time for the log's thread to write the last line, which takes well under a millisecond.
const LAST_LINE_MS: u64 = 5;

/// What a process sets up before it does anything else.
pub(crate) struct Process {
    pub(crate) exposition: Exposition,
    pub(crate) log: DecisionLog,
    pub(crate) signals: StopSignals,
    pub(crate) reload: Reload,
}

impl Process {
    /// Sets metrics, log and signals up.
    ///
    /// # Errors
    ///
    /// When the system gives no signals or threads, or metrics were set up before.
    pub(crate) fn start(source: Box<dyn SettingsSource>) -> miette::Result<Self> {
        let exposition = Exposition::install().into_diagnostic()?;
        let log = DecisionLog::start().into_diagnostic()?;
        let signals = StopSignals::install().into_diagnostic()?;
        let reload = Reload::install(source, log.clone()).into_diagnostic()?;
        Ok(Self { exposition, log, signals, reload })
    }
}

/// Listens at an address.
///
/// # Errors
///
/// When that is not possible; the report names the address.
pub(crate) async fn listen(address: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(address).await.into_diagnostic().wrap_err_with(|| listen_error(address))
}

/// Why a process ends at once.
pub(crate) fn listen_error(address: SocketAddr) -> String {
    format!("cannot listen at {address}")
}

/// Writes the last line, and gives it time to be written.
pub(crate) async fn log_last_line(log: &DecisionLog, line: Fields) {
    log.note(line);
    tokio::time::sleep(Duration::from_millis(LAST_LINE_MS)).await;
}
