//! Which document is in force in a process, and how it reaches every process.
//!
//! - [`Adoption`] holds the order: a process never goes back.
//! - [`Exchange`] passes documents on between processes, so that few of them read the platform's
//!   service and a process that cannot reach it still follows.
//! - [`is_watcher`] says which processes watch the platform's service.
//! - [`StartGate`] keeps a new process from serving on a stale document.

mod conflicts;
mod exchange;
mod order;
mod start_gate;
mod watchers;

pub use exchange::{Exchange, ExchangeAction};
pub use order::{Adoption, InForce, Outcome, Published};
pub use start_gate::{Probe, StartGate};
pub use watchers::{WATCHERS_PER_FAILURE_DOMAIN, is_watcher};
