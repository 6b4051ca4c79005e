//! Spreads reports of one entry to all entries by gossip.
//!
//! An entry that learns something new pushes it to a few peers at once, and each of these does the
//! same, so it reaches every entry of a large fleet after a few rounds. A process that misses
//! reports while it is partitioned fetches those about requests and limits with its next
//! request to a peer (see [`crate::exchange`]).

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange;
use crate::outbox::Aged;
use crate::state::EntryState;
use hickorycross_core::direct::{
    LimitReport, QuietReport, ReportOutcome, RequestObservation, RequestReport,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two rounds: several times the latency between two entries.
const ROUND_INTERVAL_MS: u64 = 250;

/// Number of peers that get a report in one round. Eight peers per entry miss less than one entry
/// in a thousand, and a small fleet is covered at once.
const PEERS_PER_ROUND: usize = 4;

/// A report that entries spread among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipReport {
    /// An observation of a request.
    Request(RequestReport),
    /// The request rate that an overloaded backend server announces as its limit.
    Limit(LimitReport),
    /// A rank whose running streams get no events.
    Quiet(QuietReport),
}

impl Aged for GossipReport {
    fn aged(self, span_ms: u64) -> Self {
        match self {
            Self::Request(report) => Self::Request(RequestReport {
                age_ms: report.age_ms.saturating_add(span_ms),
                ..report
            }),
            Self::Limit(report) => {
                Self::Limit(LimitReport { age_ms: report.age_ms.saturating_add(span_ms), ..report })
            }
            Self::Quiet(report) => {
                Self::Quiet(QuietReport { age_ms: report.age_ms.saturating_add(span_ms), ..report })
            }
        }
    }
}

/// Pushes queued reports to peers continuously.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        let round = state.outbox.next_round(boot_now());
        if round.is_empty() {
            state.outbox.filled().await;
            continue;
        }
        let peers = state.peers.borrow().sample(PEERS_PER_ROUND, &mut *state.random.borrow_mut());
        for peer in peers {
            let push = exchange::push_reports(Rc::clone(&state), peer, round.clone());
            tokio::task::spawn_local(push);
        }
        tokio::time::sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
    }
}

/// Applies the reports of a peer. Those that are new are queued for other peers if the peer pushed
/// them, but not if this entry fetched them.
pub(crate) fn receive_reports(state: &EntryState, reports: &[GossipReport], is_pushed: bool) {
    for report in reports {
        match report {
            GossipReport::Request(report) => receive_request_report(state, *report, is_pushed),
            GossipReport::Limit(report) => receive_limit_report(state, *report, is_pushed),
            GossipReport::Quiet(report) => receive_quiet_report(state, *report),
        }
    }
}

fn receive_request_report(state: &EntryState, report: RequestReport, is_pushed: bool) {
    let now = boot_now();
    let report_outcome = state.crashes.borrow_mut().note(report, now);
    let outcome = match report_outcome {
        ReportOutcome::Known => return,
        ReportOutcome::New => "heard",
        ReportOutcome::Contradicted => "answered-here",
    };
    log_request_report(state, report, outcome);
    let forwarded = match report_outcome {
        ReportOutcome::Contradicted => {
            RequestReport { seen: RequestObservation::Answered, age_ms: 0, ..report }
        }
        _ => report,
    };
    if is_pushed || report_outcome == ReportOutcome::Contradicted {
        state.outbox.add(GossipReport::Request(forwarded), now);
    }
}

fn receive_limit_report(state: &EntryState, report: LimitReport, is_pushed: bool) {
    let now = boot_now();
    if !state.limits.borrow_mut().note(report, now) {
        return;
    }
    log_limit_report(state, report, None);
    if is_pushed {
        state.outbox.add(GossipReport::Limit(report), now);
    }
}

fn receive_quiet_report(state: &EntryState, report: QuietReport) {
    if state.backends.borrow_mut().note_quiet_report(report, boot_now()) {
        gossip_quiet_rank(state, report, "quiet");
    }
}

/// Logs that a rank was found quiet, and queues the report for the peers.
pub(crate) fn gossip_quiet_rank(state: &EntryState, report: QuietReport, outcome: &'static str) {
    let line = DecisionLog::fields("backend-server").with("address", report.address);
    state.log.note(line.with("age_ms", report.age_ms).with("outcome", outcome));
    state.outbox.add(GossipReport::Quiet(report), boot_now());
}

/// Logs the limit of a backend server; `id` names the server if it announced the limit to this
/// entry directly.
pub(crate) fn log_limit_report(state: &EntryState, report: LimitReport, id: Option<&str>) {
    let line = DecisionLog::fields("backend-server").with_some("incarnation", id);
    let line = line.with("backend_digest", report.incarnation).with("age_ms", report.age_ms);
    let line = line.with_some("limit_millirequests_per_s", report.millirequests_per_s);
    let is_limited = report.millirequests_per_s.is_some();
    state.log.note(line.with("outcome", if is_limited { "limited" } else { "limit-over" }));
}

/// Logs what is known of a request during which a backend server has ended.
pub(crate) fn log_request_report(state: &EntryState, report: RequestReport, outcome: &'static str) {
    let crashes = state.crashes.borrow();
    metrics::gauge!("hickorycross_requests_refused_for_crashes")
        .set(crashes.refused_count() as f64);
    let line = DecisionLog::fields("request-word").with("digest", report.digest);
    let line = match report.seen {
        RequestObservation::BackendEnded { incarnation, had_begun } => {
            let line = line.with("backend_digest", incarnation);
            line.with("had_begun", had_begun)
        }
        RequestObservation::Answered => line.with("answered", true),
    };
    let line = line.with("age_ms", report.age_ms);
    let line = line.with("ended_under_it", crashes.ended_server_count(report.digest));
    let line = line.with("is_refused", crashes.is_refused(report.digest));
    state.log.note(line.with("outcome", outcome));
}
