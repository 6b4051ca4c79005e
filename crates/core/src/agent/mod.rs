//! The decisions of an agent: queue, execution, revocation, idempotency keys, drain.
//!
//! [`AgentCore`] holds tables of attempts, runs and keys; its systems live in modules of their own.

mod answer;
mod attempt;
mod border;
mod constants;
mod core;
mod counters;
mod demand;
mod drain;
mod execution;
mod guard;
mod home_history;
mod identity;
mod key_home;
mod key_judgement;
mod keys;
mod load;
mod mechanisms;
mod messages;
mod queue;
mod recover;
mod replies;
mod retention;
mod run_events;
mod service_time;
mod snapshot;
mod start;
mod submit;
mod sweep;

pub use self::core::AgentCore;
pub use border::{AgentAction, AgentEvent};
pub use constants::{
    ACK_SETTLE_MS, ADOPTION_SPREAD_MS, ANSWER_RETENTION_MS, CANCEL_TOMBSTONE_MS,
    CLOCK_SKEW_BOUND_MS, DEMAND_LIFE_MS, ORPHAN_MS, RETAINED_BYTES_PER_ANSWER,
    RETAINED_BYTES_TOTAL,
};
pub use counters::{AgentCounters, CounterRow};
pub use identity::AgentIdentity;
pub use key_home::key_home;
pub use mechanisms::Mechanisms;
pub use snapshot::{AgentSnapshot, DrainState, UnknownKeys};
