//! Budget of further tries, so that retries never multiply a failure.

mod border;

pub use border::{BudgetRetries, RetryDecision};
