//! Graded suspicion of backend servers: reduced share, open circuit, probing, staged ramp.
//!
//! [`Graded`] is the policy in use.

mod always_up;
mod backoff;
mod border;
mod counts;
mod graded;
mod ramp;

pub use always_up::AlwaysUp;
pub use border::{HealthOf, Signal, Standing};
pub use graded::Graded;
