//! The decisions of hickorycross.
//!
//! Entities stand in tables; systems run over them at each event. Nothing here reads a clock,
//! opens a socket, starts a thread, logs or draws from a global random source: every input is a
//! typed event with a [`Now`], every output a typed action. The same events and the same seed give
//! the same actions.

mod ids;
mod time;
mod verdict;

pub mod group;
pub mod placement;

pub use ids::{AttemptId, Fencing, Incarnation, InstanceId, LinkId, RequestId};
pub use time::{Now, UnixMs};
pub use verdict::Verdict;
