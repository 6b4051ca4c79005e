//! The decision logic of hickorycross, without I/O.
//!
//! State is kept in tables, and each event updates the rows that it concerns. Nothing in this crate
//! reads a clock, opens a socket, starts a thread, logs or uses a global random source: every input
//! is a typed event with a [`Now`], and every output is a typed action. The same events and the
//! same seed always produce the same actions, so tests can run whole systems in virtual time.
//!
//! - [`entry`] receives callers' requests and [`agent`] runs them beside a backend server;
//!   [`message`] defines the messages between the two.
//! - [`routing`], [`limits`], [`health`] and [`retry`] are the policies that an entry uses.
//! - [`group`] makes all ranks of a model group use the same expert map in each step;
//!   [`placement`] decides when to change the map.
//! - [`map_change`] changes the expert map of a group whose ranks take orders one by one.
//! - [`direct`] makes the decisions of an entry that reaches backend servers without agents.
//! - [`adoption`] decides which configuration document is in force.
//! - [`audit`] defines the records of changes to anything that determines behaviour.

mod homes;
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
