//! Retry budgets: further tries are a bounded share of first tries.

mod border;
mod fixed_budget;

pub use border::{BudgetRetries, RetryDecision};
pub use fixed_budget::FixedBudget;
