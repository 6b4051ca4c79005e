//! What an entry tells a health policy about one backend server, and what it learns.

use crate::time::Now;

/// What was seen of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// A whole answer, or a first chunk of one.
    Answered,
    /// A message in answer to ours, such as an acknowledgement: the agent lives and the link
    /// works. It says nothing of the backend server, which may fail every attempt.
    Acknowledged,
    /// An attempt failed there, or it answered with a server error.
    Failed,
    /// A heartbeat or an acknowledgement is overdue.
    Missed,
    /// Its agent began another incarnation, so that its caches are cold.
    Restarted,
    /// Its agent says that the backend server does not answer.
    BackendDown,
    /// Its agent says that the backend server answers again.
    BackendUp,
}

/// How a backend server may be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets this share of its normal traffic, in thousandths.
    Share(u16),
    /// It gets nothing.
    Open,
    /// It may get one request as a probe.
    Probe,
}

/// Health of the backend servers as one entry sees them; one value for each backend server.
pub trait HealthPolicy: Send {
    /// Learns from a signal.
    fn signal(&mut self, now: Now, signal: Signal);

    /// How it may be used now.
    fn standing(&self, now: Now) -> Standing;

    /// Notes that a probe was sent, so that no second one follows before it is answered.
    fn probe_sent(&mut self, now: Now);
}
