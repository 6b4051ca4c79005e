//! Baseline: no suspicion.

use super::policy::{HealthPolicy, Signal, Standing};
use crate::time::Now;

/// Gives every backend server its full share, whatever is seen of it. For tests and measurements
/// of other policies.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysUp;

impl HealthPolicy for AlwaysUp {
    fn signal(&mut self, _now: Now, _signal: Signal) {}

    fn standing(&self, _now: Now) -> Standing {
        Standing::Share(1000)
    }

    fn probe_sent(&mut self, _now: Now) {}
}
