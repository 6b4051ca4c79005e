//! The signals that stop a process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A stream of SIGTERM and SIGINT.
///
/// Programs shut down gracefully after the first signal and exit immediately after the second.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs handlers in place of the default actions of the signals.
    ///
    /// # Errors
    ///
    /// If the operating system rejects a handler.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
