//! Detects backend servers that end while they have a request, and refuses requests that crash
//! them.
//!
//! When a connection breaks, the backend server is suspected and checked with a new connection.
//! Once its end is confirmed, all entries are told. [`CrashTable`] decides which requests are
//! refused.
//!
//! [`CrashTable`]: hickorycross_core::direct::CrashTable

use super::active_request::ActiveRequest;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::gossip::{GossipReport, log_request_report};
use crate::state::EntryState;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{
    BackendServer, IncarnationDigest, ReportOutcome, RequestDigest, RequestObservation,
    RequestReport,
};
use indexmap::IndexMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Delay before a suspected backend server is checked. A process that ends may close its
/// connections before its port, so an earlier check could find it alive.
const CHECK_DELAY_MS: u64 = 100;

/// Timeout of the check. A backend server that has ended does not refuse the connection but stays
/// silent.
const CHECK_TIMEOUT_MS: u64 = 400;

/// Backend servers to which a connection broke, with the requests that they had, until it is known
/// whether they have ended.
#[derive(Debug, Default)]
pub(crate) struct SuspectedCrashes(RefCell<IndexMap<IncarnationDigest, Vec<RequestReport>>>);

impl SuspectedCrashes {
    /// Adds a request. Returns whether its backend server was not suspected before.
    fn add(&self, incarnation: IncarnationDigest, report: RequestReport) -> bool {
        let mut suspected = self.0.borrow_mut();
        let reports = suspected.entry(incarnation).or_default();
        reports.push(report);
        reports.len() == 1
    }

    fn take(&self, incarnation: IncarnationDigest) -> Vec<RequestReport> {
        self.0.borrow_mut().swap_remove(&incarnation).unwrap_or_default()
    }
}

impl ActiveRequest {
    /// Records that the connection to a backend server broke while it had the request, and starts
    /// a check whether the backend server has ended.
    ///
    /// Until that is known, this entry assumes that it has ended but does not tell other entries.
    pub(super) fn note_broken(&self, server: &BackendServer) {
        // A backend server that is leaving may end while requests still run.
        if !self.state.backends.borrow().takes_work(&server.id, server.born_ms) {
            return;
        }
        let incarnation = IncarnationDigest::of(server);
        // The answer to any other request has no head before it is complete, so it counts as begun.
        let had_begun = self.has_head || !self.request.route.kind.is_stream();
        let seen = RequestObservation::BackendEnded { incarnation, had_begun };
        let report = RequestReport { digest: self.digest, seen, age_ms: 0 };
        let mut crashes = self.state.crashes.borrow_mut();
        if crashes.suspect(self.digest, incarnation, had_begun, boot_now())
            && self.state.suspected_crashes.add(incarnation, report)
        {
            let check = check_for_crash(Rc::clone(&self.state), server.clone(), incarnation);
            tokio::task::spawn_local(check);
        }
    }

    /// Refuses the request if too many backend servers have ended while they had it.
    pub(super) fn check_crashes(&self) -> Result<(), Refusal> {
        let mut crashes = self.state.crashes.borrow_mut();
        if !crashes.is_refused(self.digest) {
            return Ok(());
        }
        crashes.note_refused(self.digest, boot_now());
        self.log_crash_refusal(crashes.ended_server_count(self.digest));
        Err(match self.verdict {
            Verdict::NotRun => Refusal::CrashesBackendServers,
            verdict => Refusal::Failed(verdict),
        })
    }
}

/// Checks whether a suspected backend server has ended, and tells other entries if so.
///
/// A broken connection is no proof: when one rank of a group ends, the other ranks cut off their
/// requests as well, though they are still running.
async fn check_for_crash(
    state: Rc<EntryState>,
    server: BackendServer,
    incarnation: IncarnationDigest,
) {
    let broke_at = boot_now();
    tokio::time::sleep(Duration::from_millis(CHECK_DELAY_MS)).await;
    let connecting = TcpStream::connect(server.address);
    let timeout = Duration::from_millis(CHECK_TIMEOUT_MS);
    let is_alive = matches!(tokio::time::timeout(timeout, connecting).await, Ok(Ok(_)));
    for report in state.suspected_crashes.take(incarnation) {
        if is_alive {
            state.crashes.borrow_mut().retract(report.digest, incarnation);
        } else {
            let age_ms = boot_now().since(broke_at);
            confirm_crash(&state, RequestReport { age_ms, ..report });
        }
    }
}

/// Records that a backend server has ended while it had a request, and tells other entries.
fn confirm_crash(state: &EntryState, report: RequestReport) {
    let now = boot_now();
    if state.crashes.borrow_mut().note(report, now) != ReportOutcome::New {
        return;
    }
    metrics::counter!("hickorycross_backend_servers_ended_under_requests_total").increment(1);
    log_request_report(state, report, "ended-here");
    state.outbox.add(GossipReport::Request(report), now);
}

/// Records that a backend server answered a request, and tells other entries if the end of a
/// backend server was recorded for it.
pub(super) fn note_answered(state: &EntryState, digest: RequestDigest) {
    let now = boot_now();
    if state.crashes.borrow_mut().note_answered(digest, now) {
        let report = RequestReport { digest, seen: RequestObservation::Answered, age_ms: 0 };
        log_request_report(state, report, "answered-here");
        state.outbox.add(GossipReport::Request(report), now);
    }
}
