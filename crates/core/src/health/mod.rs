//! Graded suspicion of backend servers: reduced share, open circuit, probing, staged ramp.
//!
//! [`Graded`] is the policy in use.

mod always_up;
mod as_told;
mod backoff;
mod border;
mod counts;
mod graded;
mod ramp;

pub use always_up::AlwaysUp;
pub use as_told::AsTold;
pub use border::{HealthOf, Signal, Standing};
pub use graded::Graded;
