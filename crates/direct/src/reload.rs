//! Reloads settings on SIGHUP, and periodically in case they changed without a signal.

use crate::decision_log::DecisionLog;
use crate::settings::{ProcessSettings, SettingsSource};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval between reads of the settings without a signal.
const POLL_INTERVAL_MS: u64 = 2_000;

/// Watches settings that may change while a process runs.
pub(crate) struct Reload {
    source: Box<dyn SettingsSource>,
    hangups: Signal,
    log: DecisionLog,
}

impl Reload {
    /// Installs a handler for SIGHUP, whose default action would end the process.
    ///
    /// # Errors
    ///
    /// When the handler cannot be installed.
    pub(crate) fn install(
        source: Box<dyn SettingsSource>,
        log: DecisionLog,
    ) -> std::io::Result<Self> {
        Ok(Self { source, hangups: signal(SignalKind::hangup())?, log })
    }

    /// Calls `apply` with changed settings, forever. Invalid settings are logged and ignored.
    pub(crate) async fn follow(mut self, apply: impl Fn(ProcessSettings)) {
        loop {
            tokio::select! {
                _ = self.hangups.recv() => {}
                () = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)) => {}
            }
            match self.source.reload() {
                Ok(Some(settings)) => {
                    self.log.note(DecisionLog::fields("reload").with("outcome", "adopted"));
                    apply(settings);
                }
                Ok(None) => {}
                Err(report) => {
                    let line = DecisionLog::fields("reload").with("fault", report);
                    self.log.note(line.with("outcome", "kept-what-is-in-force"));
                }
            }
        }
    }
}
