//! A rank's word for tests that look at a part of it.

use hickorycross_core::map_change::{CountsSample, RankStatus};

/// The word of a rank of the open group "g", of `ranks` ranks, that is formed and has begun a pass.
pub(crate) fn open_rank(rank: u16, ranks: u16) -> RankStatus {
    RankStatus {
        group: "g".to_owned(),
        rank,
        ranks,
        epoch: 1,
        is_open: true,
        step: 1,
        map: 0,
        prepared: None,
        armed: None,
        held_step: None,
        highest_fence: 0,
        witness: None,
        pace_permille: 1_000,
        is_read_remotely: false,
        counts: CountsSample::default(),
        experts: None,
    }
}
