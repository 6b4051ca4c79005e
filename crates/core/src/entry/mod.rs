//! The decisions of an entry: admission, attempts, links, retries.
//!
//! Tables: requests with their one live attempt, peers (agents by instance), links, backend
//! servers. Systems: admission, dispatch, receiving, streaming, settling, links, timers, fleet.

mod admit;
mod answer;
mod backend;
mod border;
mod catalog;
mod constants;
mod core;
mod counters;
mod dispatch;
mod fleet;
mod ledger;
mod links;
mod mechanisms;
mod peer;
mod receive;
mod report;
mod request;
mod round_trip;
mod settle;
mod setup;
mod snapshot;
mod stream;
mod subset;
mod timers;
mod turn;

pub use self::core::EntryCore;
pub use border::{Arrival, EntryAction, EntryEvent, Refusal, RefusalCode, RequestTarget};
pub use counters::EntryCounters;
pub use mechanisms::Mechanisms;
pub use setup::{EntryIdentity, EntryPolicies, HealthPolicyFactory};
pub use snapshot::{BackendView, EntrySnapshot, LinkUsage, LinkView, StandingView};
