//! Load and experiment tool of hickorycross.
//!
//! - [`policy`] measures routing, limits, health and retries in virtual time.
//! - [`rebalance`] compares rebalancing policies on seeded traces of expert load.

pub mod policy;

pub mod rebalance;
