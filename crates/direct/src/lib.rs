//! The processes of a fleet whose entries send requests to backend servers directly, without an
//! agent in the request path.
//!
//! - [`run_entry`] runs an entry, which accepts callers' requests and forwards them to backend
//!   servers. The decision logic is in `hickorycross_core::direct`.
//! - [`run_agent`] runs an agent beside a backend server that is a rank of a group. The agents of a
//!   group make sure that all ranks use the same expert map in each pass.
//! - [`SharedStore`] and [`RankClient`] are the interfaces that a platform implements: the first
//!   provides the operators' configuration and the list of backend servers, the second controls a
//!   rank and reads its state. [`WireNames`] holds the names of header fields and paths that the
//!   platform uses.
//! - [`ProcessSettings`] holds the settings of a process.

mod agent;
mod callers;
mod clock;
mod decision_log;
mod domain_drains;
mod drain;
mod entry;
mod exchange;
mod exchange_messages;
mod forward;
mod gossip;
mod limit_share;
mod listing;
mod operators;
mod outbox;
mod part_reports;
mod peer_call;
mod peer_watch;
mod process;
mod reload;
mod retry_budget;
mod settings;
mod state;
mod store;
mod store_availability;
mod store_contact;
mod store_watch;
mod warm_up;
mod warm_up_share;
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
    BackendList, DrainedDomain, ListedWarmUp, SharedStore, StoreChange, StoreError, StoreFuture,
    StoreRead, StoreWatch, UnreadableBackend,
};
pub use wire_names::WireNames;
