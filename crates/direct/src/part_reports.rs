//! Applies and logs reports about parts of prompts that crash backend servers.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use hickorycross_core::direct::{PartObservation, PartReport, ReportOutcome};

/// Applies the reports of a peer. Those that are new are queued for other peers if the peer pushed
/// them, but not if this entry fetched them.
pub(crate) fn receive(state: &EntryState, reports: &[PartReport], is_pushed: bool) {
    for report in reports {
        receive_one(state, *report, is_pushed);
    }
}

fn receive_one(state: &EntryState, report: PartReport, is_pushed: bool) {
    let now = boot_now();
    let outcome = state.part_crashes.borrow_mut().note(report, now);
    match outcome {
        ReportOutcome::Known => {}
        ReportOutcome::New => {
            log_report(state, report, "heard");
            if is_pushed {
                state.outbox.add_part(report, now);
            }
            wake_waiting(state);
        }
        ReportOutcome::Contradicted => {
            let answer = state.part_crashes.borrow().answer_report(report.part, now);
            if let Some(answer) = answer {
                tell(state, answer, "answered-here");
            }
        }
    }
}

/// Logs what this entry has observed itself, and queues the report for all peers.
pub(crate) fn tell(state: &EntryState, report: PartReport, outcome: &'static str) {
    log_report(state, report, outcome);
    state.outbox.add_part(report, boot_now());
    wake_waiting(state);
}

/// Lets requests that wait check again whether they may be sent, or have to be refused.
fn wake_waiting(state: &EntryState) {
    state.capacity_changed.notify_waiters();
    state.parts_changed.notify_waiters();
}

/// Logs what is known of a part under which a backend server has ended.
fn log_report(state: &EntryState, report: PartReport, outcome: &'static str) {
    let crashes = state.part_crashes.borrow();
    metrics::gauge!("hickorycross_prompt_parts_refused").set(crashes.refused_count() as f64);
    let line = DecisionLog::fields("part-report").with("part", report.part);
    let line = match report.seen {
        PartObservation::BackendEnded(end) => {
            let line = line.with("backend_digest", end.incarnation);
            let line = line.with("caller_digest", format_args!("{:08x}", end.caller.0));
            line.with("had_begun", end.had_begun).with("ran_ms", end.ran_ms)
        }
        PartObservation::Answered => line.with("answered", true),
        PartObservation::Tried => line.with("tried", true),
    };
    let line = line.with("age_ms", report.age_ms);
    let line = line.with("ended_under_it", crashes.ended_server_count(report.part));
    state.log.note(line.with("outcome", outcome));
}
