//! The interface between an entry and its health policy.

use crate::time::Now;

/// An observation about the health of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// A complete response or the first chunk of one arrived.
    Answered,
    /// The agent replied to a message, for example with an acknowledgement, so the agent is alive
    /// and the link works. This does not show that the backend server works.
    Acknowledged,
    /// An attempt failed, or the backend server responded with a server error.
    Failed,
    /// A heartbeat or an acknowledgement is overdue.
    Missed,
    /// The agent started a new incarnation, so the caches are cold.
    Restarted,
    /// The agent reports that its backend server does not respond.
    BackendDown,
    /// The agent reports that its backend server responds again.
    BackendUp,
}

/// How much traffic a backend server may receive now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It receives this share of its normal traffic, in thousandths.
    Share(u16),
    /// The circuit is open: it receives no requests.
    Open,
    /// The circuit is half-open: it may receive one request as a probe.
    Probe,
}

/// The health of one backend server as seen by one entry.
pub trait HealthPolicy: Send {
    /// Updates the health by a signal.
    fn signal(&mut self, now: Now, signal: Signal);

    /// Returns how much traffic the backend server may receive now.
    fn standing(&self, now: Now) -> Standing;

    /// Records that a probe was sent, so that no second one follows before its result or timeout.
    fn probe_sent(&mut self, now: Now);
}
