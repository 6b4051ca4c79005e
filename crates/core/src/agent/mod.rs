//! Decision logic of an agent, the process beside a backend server.
//!
//! An agent receives attempts (single deliveries of a request) from entries. It queues them, starts
//! them on its backend server while slots are free, streams the responses back, and buffers recent
//! chunks so that an entry that lost its link can resume. It also remembers idempotency keys, so
//! that a repeated request is answered from its first run.
//!
//! [`AgentCore`] owns all state and turns each [`AgentEvent`] into [`AgentAction`]s. Its methods
//! are spread over the submodules by topic:
//!
//! - `submit`, `messages` and `recovery` handle messages from entries;
//! - `queue` and `start` order queued attempts and start them;
//! - `run_events`, `response_buffer` and `retention` handle the response of a run;
//! - `keys`, `key_decision`, `home_history` and `former_homes` decide what an idempotency key
//!   permits, and `holders` asks which other agents may still run it;
//! - `sweep` and `drain` expire state and stop the agent;
//! - `guard` checks the invariants of a start independently of the tables above.

mod attempt;
mod constants;
mod core;
mod counters;
mod demand;
mod drain;
mod execution;
mod former_homes;
mod guard;
mod holders;
mod home_history;
mod identity;
mod interface;
mod key_decision;
mod key_home;
mod keys;
mod load;
mod mechanisms;
mod messages;
mod queue;
mod recovery;
mod replies;
mod response_buffer;
mod retention;
mod run_events;
mod service_time;
mod snapshot;
mod start;
mod submit;
mod sweep;

pub use self::core::AgentCore;
pub use constants::{
    ACK_SETTLE_MS, ADOPTION_SPREAD_MS, CANCEL_TOMBSTONE_MS, CLOCK_SKEW_BOUND_MS, DEMAND_TTL_MS,
    ORPHAN_TIMEOUT_MS, RESPONSE_RETENTION_MS, RETAINED_BYTES_PER_RESPONSE, RETAINED_BYTES_TOTAL,
};
pub use counters::{AgentCounters, CounterRow};
pub use identity::AgentIdentity;
pub use interface::{AgentAction, AgentEvent};
pub use key_home::key_home;
pub use mechanisms::Mechanisms;
pub use snapshot::{AgentSnapshot, DrainState, UnknownKeys};
