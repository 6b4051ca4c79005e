//! Builds the status of the own rank that the agent sends to the leader.

use super::member::Member;
use super::rank::{ExpertCounts, RankReport};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{CountsSample, HoldEvent, RankStatus};

/// Reads the status of the own rank; `None` if the rank does not answer or is in no group.
///
/// The counts are included if `wants_counts` is set, and the experts unless the rank uses
/// `known_map`.
pub(crate) async fn read_status(
    member: &Member,
    known_map: Option<u64>,
    wants_counts: bool,
) -> Option<RankStatus> {
    let report = member.rank_client.report().await.ok()?;
    member.pace_permille.set(report.pace_permille);
    log_hold(member, &report);
    let status = status_from_report(report)?;
    let counts = if wants_counts {
        counts_since_last(member, member.rank_client.counts().await.ok()?)
    } else {
        CountsSample::default()
    };
    let experts = if known_map == Some(status.map) {
        None
    } else {
        let held_experts = member.rank_client.held_experts().await.ok()?;
        (held_experts.map == status.map).then_some(held_experts.experts)
    };
    let highest_fence = member.highest_fence.get();
    let witness = member.witness.get();
    Some(RankStatus { highest_fence, witness, counts, experts, ..status })
}

/// Logs and records when the own rank begins and ends to hold a pass.
fn log_hold(member: &Member, report: &RankReport) {
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

/// Converts a rank's report to a status, without the parts that only its agent knows. Returns
/// `None` if the rank is in no group.
pub(crate) fn status_from_report(report: RankReport) -> Option<RankStatus> {
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

/// Returns the counts since the previous sample; none if the rank has restarted since.
fn counts_since_last(member: &Member, counts: ExpertCounts) -> CountsSample {
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
