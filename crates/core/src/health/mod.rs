//! Health policies: how much traffic an entry may send to a backend server.
//!
//! [`CircuitBreaker`] is the production policy. It first reduces the share of traffic, then opens
//! the circuit, sends probes and restores the share in stages. The others are baselines.

mod always_up;
mod attempt_counts;
mod backoff;
mod circuit_breaker;
mod policy;
mod ramp;
mod reported_health;

pub use always_up::AlwaysUp;
pub use circuit_breaker::CircuitBreaker;
pub use policy::{HealthPolicy, Signal, Standing};
pub use reported_health::ReportedHealth;
