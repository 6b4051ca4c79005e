//! Graded suspicion of backend servers: reduced share, open circuit, probing, staged ramp.
//!
//! [`CircuitBreaker`] is the policy in use.

mod always_up;
mod backoff;
mod circuit_breaker;
mod counts;
mod policy;
mod ramp;
mod reported_health;

pub use always_up::AlwaysUp;
pub use circuit_breaker::CircuitBreaker;
pub use policy::{HealthPolicy, Signal, Standing};
pub use reported_health::ReportedHealth;
