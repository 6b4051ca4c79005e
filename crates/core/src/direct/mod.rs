//! Requests that go straight from an entry to a backend server, without an agent between them.
//!
//! A fleet may hold backend servers beside which no agent runs, or whose agents may all be lost at
//! once. An entry then talks to the backend server itself and must judge alone what became of each
//! attempt.
//!
//! - [`Catalog`] says what callers may ask for; [`CatalogState`] knows how old that word is, and
//!   [`max_catalog_age_for_keys_ms`] until when keys are judged by it.
//! - [`BackendTable`] holds the backend servers; [`BackendTable::choose`] chooses among them.
//! - [`RetryBudget`] bounds second sends; [`judge_attempt`] tells what an attempt proves.
//! - [`GroupAvailability`] tells whether a group makes passes; [`event_wait_deadline`], [`retry_after_ms`] and
//!   [`urgency`] say what becomes of requests while it does not, and in which order after that.
//! - [`PassTracker`] tells how long a group's passes take, and how many requests may begin in the next one.
//! - [`EventSplitter`] cuts an event stream into whole events, so that it can be resumed.
//! - [`RequestDigest`] tells a request that comes back from a fresh one.
//! - [`CrashTable`] tells which requests end the backend servers that run them.
//! - [`BackendLimits`] holds what backend servers in need take from all entries together; [`LimitGrants`] and
//!   [`LimitPermits`] share it among them.
//! - [`PeerTable`] holds the other processes of the fleet.
//!
//! Moments are in [`BootMs`], which also counts the time in which the machine was suspended.

mod admission;
mod attempt_end;
mod backend_limits;
mod backend_table;
mod boot_time;
mod catalog;
mod catalog_state;
mod crash_table;
mod event_splitter;
mod group_availability;
mod limit_shares;
mod pass_tracker;
mod peer_table;
mod quiet_ranks;
mod request_digest;
mod retry_budget;
mod selection;
mod waiting;

pub use admission::{Admission, AdmissionSettings};
pub use attempt_end::{AttemptEnd, Judgement, judge_attempt};
pub use backend_limits::{BackendLimits, LimitReport};
pub use backend_table::{BackendServer, BackendState, BackendTable, Listing};
pub use boot_time::BootMs;
pub use catalog::{
    BackendShare, CallerLimits, Catalog, GroupDimensions, RequestKind, Route, Service, Team,
};
pub use catalog_state::{Adoption, CatalogState, max_catalog_age_for_keys_ms};
pub use crash_table::{
    CrashTable, IncarnationDigest, ReportOutcome, RequestObservation, RequestReport,
};
pub use event_splitter::{EventSplitter, StreamEvent};
pub use group_availability::{GroupAvailability, OutageDurations, SendPermission};
pub use limit_shares::{LimitGrant, LimitGrants, LimitPermits, granting_entry};
pub use pass_tracker::PassTracker;
pub use peer_table::{Peer, PeerTable};
pub use quiet_ranks::QuietReport;
pub use request_digest::{RequestDigest, RequestIdentity};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use selection::Choice;
pub(crate) use selection::max_avoided_ranks;
pub use waiting::{
    InitialTimeouts, escalated_urgency, event_wait_deadline, pass_wait_deadline, patience_used,
    retry_after_ms, urgency,
};
