//! The ramp that restores traffic to a recovered backend server in stages.

use crate::time::{Now, UnixMs};

/// Number of stages before the full share.
const STAGES: usize = 3;

/// Duration of one stage after a fault.
const STAGE_MS: u64 = 1000;

/// Duration of one stage after a restart; longer, because caches must fill.
const COLD_STAGE_MS: u64 = 1500;

/// Shares of traffic in the stages after a fault.
const WARM_SHARES_PERMILLE: [u16; STAGES] = [100, 250, 500];

/// Shares of traffic in the stages after a restart. They are lower, because prompts are computed
/// without cached prefixes and the same number of requests takes more work.
const COLD_SHARES_PERMILLE: [u16; STAGES] = [50, 150, 400];

/// One stage: a share of traffic that applies until a deadline.
#[derive(Clone, Copy, Debug)]
struct Stage {
    share_permille: u16,
    until: UnixMs,
}

/// A ramp in progress.
///
/// Without it, a recovered backend server seems idle to all entries at once, and their combined
/// surge fills its queue before the first load report shows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ramp {
    stages: [Stage; STAGES],
}

impl Ramp {
    /// Starts a ramp after a fault.
    pub(super) fn warm(now: Now) -> Self {
        Self::with(now, WARM_SHARES_PERMILLE, STAGE_MS)
    }

    /// Starts a ramp after a restart.
    pub(super) fn cold(now: Now) -> Self {
        Self::with(now, COLD_SHARES_PERMILLE, COLD_STAGE_MS)
    }

    /// Returns the current share of traffic; none once the ramp is complete.
    pub(super) fn share_permille(&self, now: Now) -> Option<u16> {
        let stage = self.stages.iter().find(|stage| !stage.until.is_past(now))?;
        Some(stage.share_permille)
    }

    fn with(now: Now, shares_permille: [u16; STAGES], stage_ms: u64) -> Self {
        let mut until = now.unix_ms;
        let stages = shares_permille.map(|share_permille| {
            until = until.after(stage_ms);
            Stage { share_permille, until }
        });
        Self { stages }
    }
}
