//! Baseline policy: every backend server counts as healthy.

use super::policy::{HealthPolicy, Signal, Standing};
use crate::time::Now;

/// Gives every backend server its full share of traffic, whatever signals arrive. For tests, and
/// for measurements of the other policies.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysUp;

impl HealthPolicy for AlwaysUp {
    fn signal(&mut self, _now: Now, _signal: Signal) {}

    fn standing(&self, _now: Now) -> Standing {
        Standing::Share(1000)
    }

    fn probe_sent(&mut self, _now: Now) {}
}
