//! Retry policies: whether and when an entry sends a failed request again.
//!
//! [`TokenBudget`] is the production policy; it bounds retries to a fraction of first tries.
//! [`FixedBudget`] is a baseline.

mod fixed_budget;
mod policy;
mod token_budget;

pub use fixed_budget::FixedBudget;
pub use policy::{RetryBudget, RetryDecision};
pub use token_budget::TokenBudget;
