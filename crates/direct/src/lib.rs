//! The processes of a fleet whose entries reach backend servers without agents between them.
//!
//! - [`run_entry`] takes callers' requests and sends them straight to backend servers; what it
//!   decides stands in `hickorycross_core::direct`.
//! - [`run_agent`] stands beside a backend server that is a rank of a group, and keeps one expert
//!   map in every pass of the group together with the other agents.
//! - [`SharedStore`] and [`RankClient`] are what a platform must give: the operators' configuration
//!   with the list of backend servers, and the ranks' own words. [`WireNames`] are the names that
//!   its requests carry.
//! - [`ProcessSettings`] is what a process must know at its start.

mod agent;
mod callers;
mod clock;
mod decision_log;
mod entry;
mod exchange;
mod forward;
mod gossip;
mod limit_share;
mod operators;
mod peer_call;
mod process;
mod reload;
mod settings;
mod state;
mod store;
mod store_watch;
mod wire_names;

pub use agent::{
    ExpertCounts, GroupMembership, HeldExperts, OrderReply, RankClient, RankClients, RankError,
    RankFuture, RankReport, run_agent,
};
pub use clock::{boot_now, wall_ms};
pub use decision_log::{DecisionLog, Fields};
pub use entry::run_entry;
pub use settings::{Bounds, Listen, ProcessSettings, SettingsSource};
pub use store::{
    BackendList, SharedStore, StoreChange, StoreError, StoreFuture, StoreRead, StoreWatch,
    UnreadableBackend,
};
pub use wire_names::WireNames;
