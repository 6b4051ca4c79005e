//! Graded suspicion of backend servers: reduced share, open circuit, probing, staged ramp.

mod always_up;
mod border;

pub use always_up::AlwaysUp;
pub use border::{HealthOf, Signal, Standing};
