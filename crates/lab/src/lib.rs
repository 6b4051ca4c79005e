//! Load and experiment tool of hickorycross.
//!
//! - [`capacity`] measures what each role costs by the size of the fleet.
//! - [`policy`] measures routing, limits, health and retries in virtual time.
//! - [`rebalance`] compares rebalancing policies on seeded traces of expert load.

pub mod capacity;

pub mod policy;

pub mod rebalance;
