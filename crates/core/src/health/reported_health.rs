//! Baseline policy: a backend server is healthy unless its agent reports that it is down.

use super::policy::{HealthPolicy, Signal, Standing};
use crate::time::Now;

/// Opens the circuit while the agent reports its backend server as down; ignores all other signals.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedHealth {
    down: bool,
}

impl HealthPolicy for ReportedHealth {
    fn signal(&mut self, _now: Now, signal: Signal) {
        match signal {
            Signal::BackendDown => self.down = true,
            Signal::BackendUp => self.down = false,
            Signal::Acknowledged
            | Signal::Answered
            | Signal::Failed
            | Signal::Missed
            | Signal::Restarted => {}
        }
    }

    fn standing(&self, _now: Now) -> Standing {
        if self.down { Standing::Open } else { Standing::Share(1000) }
    }

    fn probe_sent(&mut self, _now: Now) {}
}
