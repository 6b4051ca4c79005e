//! Retry budgets: further tries are a bounded share of first tries.
//!
//! [`TokenBudget`] is the policy in use.

mod border;
mod fixed_budget;
mod token_budget;

pub use border::{BudgetRetries, RetryDecision};
pub use fixed_budget::FixedBudget;
pub use token_budget::TokenBudget;
