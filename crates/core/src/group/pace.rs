//! The number of steps to grant ahead, derived from the step rate of the group.

use super::timing::{GRANT_WINDOW_MS, HEARTBEAT_MS, MAX_WINDOW_STEPS, MIN_WINDOW_STEPS};
use crate::{Now, UnixMs};

/// Converts [`GRANT_WINDOW_MS`] to a number of steps at the measured step rate.
///
/// A fixed number of steps would delay a map change by tens of seconds in a slow group, and would
/// stop a fast group whenever its coordinator is replaced.
#[derive(Debug)]
pub(crate) struct StepPace {
    sampled_at: UnixMs,
    sampled_step: u64,
    window_steps: u64,
}

impl StepPace {
    pub(crate) fn new(now: Now, step: u64) -> Self {
        Self { sampled_at: now.unix_ms, sampled_step: step, window_steps: MIN_WINDOW_STEPS }
    }

    /// Returns the number of steps to grant ahead of `step`, the last step known to be completed.
    pub(crate) fn window_steps(&mut self, now: Now, step: u64) -> u64 {
        let elapsed_ms = now.unix_ms.since(self.sampled_at);
        if elapsed_ms >= HEARTBEAT_MS {
            let made_steps = step.saturating_sub(self.sampled_step);
            let steps = made_steps * GRANT_WINDOW_MS / elapsed_ms;
            *self = Self {
                sampled_at: now.unix_ms,
                sampled_step: step.max(self.sampled_step),
                window_steps: steps.clamp(MIN_WINDOW_STEPS, MAX_WINDOW_STEPS),
            };
        }
        self.window_steps
    }
}
