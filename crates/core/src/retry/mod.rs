//! Retry budgets: further tries are a bounded share of first tries.
//!
//! [`TokenBudget`] is the policy in use.

mod fixed_budget;
mod policy;
mod token_budget;

pub use fixed_budget::FixedBudget;
pub use policy::{RetryBudget, RetryDecision};
pub use token_budget::TokenBudget;
