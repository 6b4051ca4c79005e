//! The decisions of hickorycross.
//!
//! Entities stand in tables; systems run over them at each event. Nothing here reads a clock,
//! opens a socket, starts a thread, logs or draws from a global random source: every input is a
//! typed event with a [`Now`], every output a typed action. The same events and the same seed give
//! the same actions.
//!
//! - [`entry`] and [`agent`] are the two ends of a request's path; [`message`] is what they say to
//!   each other.
//! - [`routing`], [`limits`], [`health`] and [`retry`] are the policies that an entry consults.
//! - [`group`] keeps one expert map in every step; [`placement`] decides when to change it.
//! - [`direct`] holds what an entry decides when it reaches backend servers without agents.
//! - [`map_change`] changes the expert map of a group whose ranks take orders one by one.
//! - [`adoption`] decides which document is in force.
//! - [`audit`] holds the records of every change that defines behaviour.

mod ids;
mod instance;
mod key_digest;
mod key_home;
mod rendezvous;
mod time;
mod verdict;

pub mod adoption;
pub mod agent;
pub mod audit;
pub mod direct;
pub mod entry;
pub mod group;
pub mod health;
pub mod limits;
pub mod map_change;
pub mod message;
pub mod placement;
pub mod retry;
pub mod routing;

pub use ids::{AttemptId, Fencing, Incarnation, InstanceId, LinkId, RequestId};
pub use instance::{Instance, InstanceState, Role};
pub use key_home::key_home;
pub use time::{Now, UnixMs};
pub use verdict::Verdict;
