//! Decision logic of an entry, the process that takes requests from callers.
//!
//! An entry admits a request, sends it as an attempt to the agent of a backend server, and streams
//! the response back to the caller. If the attempt fails, the entry retries the request where its
//! idempotency permits, or refuses it with a verdict on whether it ran. A request has at most one
//! live attempt at a time.
//!
//! [`EntryCore`] owns all state and turns each [`EntryEvent`] into [`EntryAction`]s. Its methods
//! are spread over the submodules by topic:
//!
//! - `admit` checks an arriving request against the document and the team's limit, with
//!   `route_lookup`;
//! - `dispatch` chooses a backend server for each waiting request, among those in `subset`;
//! - `messages`, `stream` and `agent_reports` handle messages from agents, and `response` puts the
//!   chunks of a response in order;
//! - `settle` ends attempts and requests, and decides on retries;
//! - `links` opens, replaces and closes links to agents; `timers` runs whatever is due by time;
//! - `fleet` applies documents and instance lists, and tracks the health of backend servers;
//! - `holders` tells agents which documents other agents hold, from `known_holders`;
//! - `guard` checks the invariants of a request's outcome independently of the tables above.

mod admit;
mod agent_reports;
mod backend;
mod constants;
mod core;
mod counters;
mod dispatch;
mod event_context;
mod fleet;
mod guard;
mod holders;
mod interface;
mod known_holders;
mod links;
mod mechanisms;
mod messages;
mod peer;
mod request;
mod response;
mod round_trip;
mod route_lookup;
mod settle;
mod setup;
mod snapshot;
mod stream;
mod subset;
mod timers;

pub use self::core::EntryCore;
pub use counters::EntryCounters;
pub use interface::{Arrival, EntryAction, EntryEvent, Refusal, RefusalCode, RequestTarget};
pub use mechanisms::Mechanisms;
pub use setup::{EntryIdentity, EntryPolicies, HealthPolicyFactory};
pub use snapshot::{BackendView, EntrySnapshot, LinkUsage, LinkView, StandingView};
