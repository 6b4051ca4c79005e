//! Decisions of an entry that sends requests straight to backend servers, without an agent between.
//!
//! A fleet may hold backend servers beside which no agent runs, or whose agents may all be lost at
//! once. An entry then talks to the backend server itself and must judge alone whether an attempt
//! has run.
//!
//! - [`Catalog`] holds the routes, services, teams and limits of the operators' configuration;
//!   [`CatalogState`] tracks how recently it was confirmed, and [`max_catalog_age_for_keys_ms`]
//!   bounds the age up to which API keys are checked against it.
//! - [`BackendTable`] holds the backend servers; [`BackendTable::choose`] selects one for a
//!   request.
//! - [`ExpectedWork`] is the work that a request is expected to cause, by what its caller states and
//!   what [`WorkEstimator`] has learned; a [`LoadMeasure`] tells how open requests count as load.
//! - [`Residency`] holds the regions in which requests of routes and teams may run, and
//!   [`DomainRegions`] the regions of failure domains.
//! - [`parse_backoff_ms`] reads the backoff that a backend server asks for; the table keeps what
//!   each incarnation announced about itself, and [`backoff_retry_after_ms`] tells callers when to
//!   retry if all backend servers are in backoff.
//! - [`DomainDrains`] holds the failure domains that operators have drained, whose backend servers
//!   get no requests.
//! - [`RetryBudget`] bounds retries to this entry's [`RetryShare`] of the fleet's budget;
//!   [`judge_attempt`] classifies how an attempt ended.
//! - [`GroupAvailability`] detects whether a model group makes progress; [`event_wait_deadline`],
//!   [`retry_after_ms`] and [`urgency`] set what happens to requests while it does not, and in
//!   which order they run afterwards.
//! - [`PassTracker`] measures the passes of a group and limits how many requests may begin in the
//!   next one.
//! - [`Admission`] bounds the requests that an entry keeps open at the backend servers of a
//!   service, and [`UnusedShares`] lets it use the slots that other entries leave unused.
//! - [`EventSplitter`] splits an event stream into whole events, so that it can be resumed.
//! - [`RequestDigest`] identifies requests with the same content, such as a caller's retry.
//! - [`PromptPart`] names a part of a prompt that requests with different contents share.
//! - [`CrashTable`] finds requests that crash the backend servers that run them, and
//!   [`PartCrashTable`] parts of prompts on which they crash.
//! - [`BackendLimits`] holds the request rates that overloaded backend servers announce;
//!   [`LimitGrants`] and [`LimitPermits`] share each rate among all entries.
//! - The table also holds the *pools* of a service: the backend servers of one group, which run
//!   passes together. [`PoolChoice`] selects the pool for a request.
//! - [`WarmUp`] limits the requests that all entries together send to a cold backend server, by
//!   permits of the same kind; [`BackendTable::cold_servers`] knows which ones are cold.
//! - [`BufferBudget`] bounds the bytes that an entry buffers for callers and backend servers.
//! - [`PeerTable`] holds the other processes of the fleet; [`StoreWatchers`] tells which of them watch
//!   the store, [`ListingHistory`] what they tell the others of the list of backend servers, and
//!   [`StoreAvailability`] whether registrations may have lapsed in an outage of the store.
//!
//! A *pass* is one step of a model group: all ranks run it together, and it gives every running
//! stream one event. Moments are [`BootMs`], a clock that also counts the time for which the
//! instance was suspended.

mod admission;
mod announcements;
mod attempt_end;
mod backend_limits;
mod backend_row;
mod backend_server;
mod backend_table;
mod backoff;
mod boot_time;
mod buffer_budget;
mod catalog;
mod catalog_state;
mod cold_servers;
mod cold_shares;
mod crash_table;
mod domain_drains;
mod engine_figures;
mod entry_count;
mod event_splitter;
mod expected_work;
mod group_availability;
mod incarnation_digest;
mod initial_timeouts;
mod limit_shares;
mod listing_history;
mod load_measure;
mod outstanding_work;
mod part_answers;
mod part_crash_table;
mod part_report;
mod part_verdict;
mod pass_tracker;
mod peer_table;
mod pool_choice;
mod pools;
mod prompt_parts;
mod queue_limit;
mod quiet_ranks;
mod recent_map;
mod request_digest;
mod residency;
mod retry_budget;
mod retry_share;
mod selection;
mod store_availability;
mod store_watchers;
mod unused_shares;
mod urgency;
mod waiting;
mod warm_up;
mod work_estimator;

pub use admission::{Admission, AdmissionSettings};
pub use announcements::{UnreadableBackoff, parse_backoff_ms};
pub use attempt_end::{AttemptEnd, Judgement, judge_attempt};
pub use backend_limits::{BackendLimits, LimitReport};
pub use backend_server::{BackendServer, BackendState};
pub use backend_table::{BackendTable, ExpiredServer, Unlisted};
pub use backoff::{backoff_resume_at, backoff_retry_after_ms};
pub use boot_time::BootMs;
pub use buffer_budget::{BufferBudget, BufferLease};
pub use catalog::{
    BackendShare, CallerLimits, Catalog, GroupDimensions, RequestKind, Route, Service, Team,
};
pub use catalog_state::{Adoption, CatalogState, max_catalog_age_for_keys_ms};
pub use cold_servers::{ColdCause, ColdChange, ColdReport, ColdServer, ListedCold, ListingRead};
pub use cold_shares::{COUNTING_MS, ColdAccess, ColdShares};
pub use crash_table::{CrashTable, ReportOutcome, RequestObservation, RequestReport};
pub use domain_drains::{DomainDrains, DrainChanges};
pub use engine_figures::EngineFigures;
pub use entry_count::{EntryCount, EntryCountReport};
pub use event_splitter::{EventSplitter, StreamEvent};
pub use expected_work::{ExpectedWork, StatedTokens, USUAL_WORK_UNITS, UnreadableTokens};
pub use group_availability::{GroupAvailability, OutageDurations, SendPermission};
pub use incarnation_digest::IncarnationDigest;
pub use initial_timeouts::InitialTimeouts;
pub use limit_shares::{
    GrantLookup, LimitGrant, LimitGrants, LimitPermits, cold_granting_entry, granting_entry,
};
pub use listing_history::{ListingChange, ListingHistory, ListingUpdate};
pub use load_measure::{
    CountAndWork, LoadMeasure, OpenRequests, RequestCount, WorkSum, load_measure,
};
pub use part_crash_table::PartCrashTable;
pub use part_report::{CallerDigest, PartEnd, PartObservation, PartReport};
pub use part_verdict::PartVerdict;
pub use pass_tracker::PassTracker;
pub use peer_table::{Peer, PeerTable};
pub use pool_choice::{PoolChoice, PoolView, probes_beside_others};
pub use pools::{GroupAssignment, GroupDigest, MAX_GROUP_NAME_BYTES, MAX_SENT_ASSIGNMENTS};
pub use prompt_parts::PromptPart;
pub use queue_limit::{QueueLimit, QueueTarget};
pub use quiet_ranks::QuietReport;
pub use request_digest::{RequestDigest, RequestIdentity};
pub use residency::{AllowedRegions, DomainRegions, Residency, Restriction};
pub use retry_budget::{RetryBudget, RetryBudgetSettings, RetryBudgetUsage};
pub use retry_share::{FleetRetryBudget, RetryShare};
pub(crate) use selection::max_avoided_ranks;
pub use selection::{Choice, Selection};
pub use store_availability::{AvailabilityReport, StoreAvailability};
pub use store_watchers::{ChangeSource, StoreWatchers};
pub use unused_shares::UnusedShares;
pub use urgency::{Standing, UrgencyScale, escalated_urgency, moved_urgency, urgency};
pub use waiting::{event_wait_deadline, pass_wait_deadline, patience_used, retry_after_ms};
pub use warm_up::{ColdFigures, GrantRate, WarmUp, parse_cold_ms};
pub use work_estimator::WorkEstimator;
