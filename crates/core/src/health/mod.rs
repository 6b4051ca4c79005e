//! Graded suspicion of backend servers: reduced share, open circuit, probing, staged ramp.

mod border;

pub use border::{HealthOf, Signal, Standing};
