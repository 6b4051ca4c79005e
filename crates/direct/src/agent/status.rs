//! What an agent says of its rank.

use super::member::Member;
use super::rank::{ExpertCounts, RankReport};
use hickorycross_core::map_change::{CountsSample, RankStatus};

/// Reads the rank and tells of it.
pub(crate) async fn status(
    member: &Member,
    known_map: Option<u64>,
    wants_counts: bool,
) -> Option<RankStatus> {
    let report = member.engine.report().await.ok()?;
    member.pace_permille.set(report.pace_permille);
    let told = status_of(report)?;
    let counts = if wants_counts {
        sample(member, member.engine.counts().await.ok()?)
    } else {
        CountsSample::default()
    };
    let experts = if known_map == Some(told.map) {
        None
    } else {
        let lists = member.engine.lists().await.ok()?;
        (lists.map == told.map).then_some(lists.experts)
    };
    let highest_fence = member.highest_fence.get();
    let witness = member.witness.get();
    Some(RankStatus { highest_fence, witness, counts, experts, ..told })
}

/// What a rank's report alone says of it: nothing that its agent knows.
pub(crate) fn status_of(report: RankReport) -> Option<RankStatus> {
    let seat = report.seat?;
    Some(RankStatus {
        group: seat.group,
        rank: seat.rank,
        ranks: seat.ranks,
        epoch: seat.epoch,
        is_open: seat.is_open,
        step: report.step,
        map: report.map,
        prepared: report.prepared,
        armed: report.armed,
        held_step: report.held_step,
        highest_fence: 0,
        witness: None,
        pace_permille: report.pace_permille,
        is_from_afar: false,
        counts: CountsSample::default(),
        experts: None,
    })
}

/// Choices since the last sample; none when the rank has started anew.
fn sample(member: &Member, counts: ExpertCounts) -> CountsSample {
    let mut last = member.last_counts.borrow_mut();
    let before =
        last.as_ref().filter(|last| last.epoch == counts.epoch && last.born_ms == counts.born_ms);
    let choices: Option<Option<Vec<u32>>> = before.map(|before| {
        let pairs = counts.choices.iter().zip(&before.choices);
        let difference = |(now, before): (&u64, &u64)| now.checked_sub(*before);
        pairs.map(difference).map(|it| it.and_then(|it| u32::try_from(it).ok())).collect()
    });
    *last = Some(counts);
    CountsSample::of(&choices.flatten().unwrap_or_default())
}
