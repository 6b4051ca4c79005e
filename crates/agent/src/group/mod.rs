//! The agent's part in a model group: one expert map in every step, moved when it pays.
//!
//! - [`Group`] turns links, the engine and the document into events for
//!   `hickorycross_core::group` and carries out its actions.
//! - `peers` keeps links to the agents of the other members.
//! - `engine` gives orders and reads the engine's state and load.
//! - `loading` keeps loads within the agent's share of the weight store.
//! - `balance` lets the coordinator decide when to propose another map.

mod balance;
mod engine;
mod loading;
mod member;
mod peers;

pub(crate) use engine::EngineEvent;
pub(crate) use member::{Ground, Group};
