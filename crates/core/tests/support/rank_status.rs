//! Rank statuses for tests of a single component.

use hickorycross_core::map_change::{CountsSample, RankStatus};

/// Returns the status of a rank of the open group "g" with `ranks` ranks, which has begun its first
/// pass.
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
