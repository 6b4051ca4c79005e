//! Takes over changed settings, at a signal or when they are seen to differ.

use crate::decision_log::DecisionLog;
use crate::settings::{ProcessSettings, SettingsSource};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Pause between looks at the settings, which may change without a signal.
const LOOK_PAUSE_MS: u64 = 2_000;

/// Settings that may change while a process runs.
pub(crate) struct Reload {
    source: Box<dyn SettingsSource>,
    hangups: Signal,
    log: DecisionLog,
}

impl Reload {
    /// Takes the signal over from the system's default, which would end the process.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub(crate) fn install(
        source: Box<dyn SettingsSource>,
        log: DecisionLog,
    ) -> std::io::Result<Self> {
        Ok(Self { source, hangups: signal(SignalKind::hangup())?, log })
    }

    /// Hands changed settings to `take`, for ever.
    pub(crate) async fn follow(mut self, take: impl Fn(ProcessSettings)) {
        loop {
            tokio::select! {
                _ = self.hangups.recv() => {}
                () = tokio::time::sleep(Duration::from_millis(LOOK_PAUSE_MS)) => {}
            }
            match self.source.reload() {
                Ok(Some(settings)) => {
                    self.log.note(DecisionLog::fields("reload").with("outcome", "adopted"));
                    take(settings);
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
