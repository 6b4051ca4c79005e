//! Requests that go straight from an entry to a backend server, without an agent between them.
//!
//! A fleet may hold backend servers beside which no agent runs, or whose agents may all be lost at
//! once. An entry then talks to the backend server itself and must judge alone what became of each
//! attempt.
//!
//! - [`Catalog`] says what callers may ask for; [`CatalogBelief`] knows how old that word is, and
//!   [`key_bound_ms`] until when keys are judged by it.
//! - [`BackendTable`] holds the backend servers; [`BackendTable::choose`] chooses among them.
//! - [`RetryAllowance`] bounds second sends; [`judge_attempt`] tells what an attempt proves.
//! - [`GroupOutlook`] tells whether a group makes passes; [`waits_until`], [`come_back_ms`] and
//!   [`urgency`] say what becomes of requests while it does not, and in which order after that.
//! - [`Passes`] tells how long a group's passes take, and how many requests may begin in the next one.
//! - [`EventCutter`] cuts an event stream into whole events, so that it can be resumed.
//! - [`RequestDigest`] tells a request that comes back from a fresh one.
//! - [`CrashTable`] tells which requests end the backend servers that run them.
//! - [`NamedLimits`] holds what backend servers in need take from all entries together; [`LimitGrants`] and
//!   [`LimitPermits`] share it among them.
//! - [`PeerTable`] holds the other processes of the fleet.
//!
//! Moments are in [`BootMs`], which also counts the time in which the machine was suspended.

mod admission;
mod backend_table;
mod belief;
mod boot_time;
mod catalog;
mod choice;
mod crash_table;
mod event_cutter;
mod limit_shares;
mod named_limits;
mod outcome;
mod outlook;
mod passes;
mod peer_table;
mod quiet;
mod request_digest;
mod retry_allowance;
mod waiting;

pub use admission::{Admission, AdmissionSettings};
pub use backend_table::{BackendServer, BackendState, BackendTable, Listing};
pub use belief::{Adoption, CatalogBelief, key_bound_ms};
pub use boot_time::BootMs;
pub use catalog::{
    BackendShare, CallerLimits, Catalog, GroupDimensions, RequestKind, Route, Service, Team,
};
pub use choice::Choice;
pub(crate) use choice::most_left;
pub use crash_table::{CrashTable, IncarnationDigest, RequestWord, Seen, WordOutcome};
pub use event_cutter::{EventCutter, StreamEvent};
pub use limit_shares::{LimitGrant, LimitGrants, LimitPermits, granting_entry};
pub use named_limits::{LimitWord, NamedLimits};
pub use outcome::{AttemptEnd, Judgement, judge_attempt};
pub use outlook::{GroupOutlook, Outage, Passage};
pub use passes::Passes;
pub use peer_table::{Peer, PeerTable};
pub use quiet::QuietWord;
pub use request_digest::{RequestDigest, RequestIdentity};
pub use retry_allowance::{AllowanceSettings, RetryAllowance};
pub use waiting::{
    FirstDeadlines, come_back_ms, hastened, pass_wait_until, patience_used, urgency, waits_until,
};
