//! When to rebalance experts, and which to move.
