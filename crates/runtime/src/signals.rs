//! Signals that stop a process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT, in the order in which they come.
///
/// The first asks for a graceful shutdown; the second ends the process at once.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes the signals over from the system's defaults.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of them.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
