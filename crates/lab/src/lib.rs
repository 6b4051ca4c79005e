//! Load and experiment tool.

pub mod policy;
//! Load and experiment tool of hickorycross.

pub mod rebalance;
