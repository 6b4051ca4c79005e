//! Load and experiment tool.

pub mod policy;
