//! Adoption of configuration documents by a process, and their distribution to all processes.
//!
//! - [`Adoption`] keeps the document in force and never returns to an older revision.
//! - [`Exchange`] passes documents on between processes, so that few of them read the platform's
//!   service, and a process that cannot reach it still receives changes.
//! - [`is_watcher`] decides which processes watch the platform's service.
//! - [`StartGate`] keeps a new process from serving with a stale document.

mod conflicts;
mod exchange;
mod order;
mod start_gate;
mod watchers;

pub use exchange::{Exchange, ExchangeAction};
pub use order::{Adoption, InForce, Outcome, Published};
pub use start_gate::{Probe, StartGate};
pub use watchers::{WATCHERS_PER_FAILURE_DOMAIN, is_watcher};
