//! What an agent says of its rank.

use super::member::Member;
use super::rank::{ExpertCounts, RankReport};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{CountsSample, HoldEvent, RankStatus};

/// Reads the rank and tells of it.
pub(crate) async fn status(
    member: &Member,
    known_map: Option<u64>,
    wants_counts: bool,
) -> Option<RankStatus> {
    let report = member.engine.report().await.ok()?;
    member.pace_permille.set(report.pace_permille);
    note_hold(member, &report);
    let told = status_of(report)?;
    let counts = if wants_counts {
        sample(member, member.engine.counts().await.ok()?)
    } else {
        CountsSample::default()
    };
    let experts = if known_map == Some(told.map) {
        None
    } else {
        let lists = member.engine.held_experts().await.ok()?;
        (lists.map == told.map).then_some(lists.experts)
    };
    let highest_fence = member.highest_fence.get();
    let witness = member.witness.get();
    Some(RankStatus { highest_fence, witness, counts, experts, ..told })
}

/// Says that the own rank holds a pass, and for how long it did.
fn note_hold(member: &Member, report: &RankReport) {
    let event = member.hold_clock.borrow_mut().note(boot_now(), report.step, report.held_step);
    let line = DecisionLog::fields("hold").with("now_step", report.step);
    match event {
        Some(HoldEvent::Begun { step }) => {
            member.log.note(line.with("step", step).with("outcome", "held"));
        }
        Some(HoldEvent::Ended { step, held_ms, last_pass_ms }) => {
            for (part, ms) in [("held", held_ms), ("last-pass", last_pass_ms)] {
                metrics::histogram!("hickorycross_pass_held_seconds", "part" => part)
                    .record(ms as f64 / 1000.0);
            }
            let line = line.with("step", step).with("held_ms", held_ms);
            member.log.note(line.with("last_pass_ms", last_pass_ms).with("outcome", "let-go"));
        }
        None => {}
    }
}

/// What a rank's report alone says of it: nothing that its agent knows.
pub(crate) fn status_of(report: RankReport) -> Option<RankStatus> {
    let membership = report.membership?;
    Some(RankStatus {
        group: membership.group,
        rank: membership.rank,
        ranks: membership.ranks,
        epoch: membership.epoch,
        is_open: membership.is_open,
        step: report.step,
        map: report.map,
        prepared: report.prepared,
        armed: report.armed,
        held_step: report.held_step,
        highest_fence: 0,
        witness: None,
        pace_permille: report.pace_permille,
        is_read_remotely: false,
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
