//! The agent's membership in a model group.
//!
//! The engines of a group run each step together and must all use the same expert map in it. The
//! agents of the group agree on that map, and change it when a better balance of the load is worth
//! the cost of loading experts.
//!
//! - [`Group`] turns messages of other members, engine events and documents into events for
//!   `hickorycross_core::group` and executes its actions.
//! - `peers` maintains links to the agents of the other members.
//! - `engine` sends orders to the engine and polls its state and load.
//! - `loading` limits the engine's loads to the agent's share of the weight store's bandwidth.
//! - `balance` decides, on the coordinator, when to propose another map.

mod balance;
mod engine;
mod loading;
mod member;
mod peers;

pub(crate) use engine::EngineEvent;
pub(crate) use member::{Group, GroupContext};
