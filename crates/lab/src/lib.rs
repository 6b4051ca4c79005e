//! Load and experiment tool of hickorycross.

pub mod rebalance;
