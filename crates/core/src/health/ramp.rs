//! The staged way back to a full share.

use crate::time::{Now, UnixMs};

/// Stages before the full share.
const STAGES: usize = 3;

/// Time of one stage.
const STAGE_MS: u64 = 1000;

/// Time of one stage after a restart: caches fill meanwhile.
const COLD_STAGE_MS: u64 = 1500;

/// Shares of the stages after a fault.
const WARM_SHARES_PERMILLE: [u16; STAGES] = [100, 250, 500];

/// Shares of the stages after a restart: prompts are computed without cached prefixes, so the same
/// number of requests is more work.
const COLD_SHARES_PERMILLE: [u16; STAGES] = [50, 150, 400];

/// One stage: a share that holds until a deadline.
#[derive(Clone, Copy, Debug)]
struct Stage {
    share_permille: u16,
    until: UnixMs,
}

/// A ramp that has begun.
///
/// Without it a backend server that comes back looks idle to every entry at once, and the surge of
/// all of them fills its queue before the first load report says so.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ramp {
    stages: [Stage; STAGES],
}

impl Ramp {
    /// Begins a ramp after a fault.
    pub(super) fn warm(now: Now) -> Self {
        Self::with(now, WARM_SHARES_PERMILLE, STAGE_MS)
    }

    /// Begins a ramp after a restart.
    pub(super) fn cold(now: Now) -> Self {
        Self::with(now, COLD_SHARES_PERMILLE, COLD_STAGE_MS)
    }

    /// The share now; none once the ramp is over.
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
