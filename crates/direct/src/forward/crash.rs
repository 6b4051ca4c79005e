//! Detects backend servers that end while they have a request, and refuses requests that crash
//! them.
//!
//! When a connection breaks, the backend server is suspected and checked with a new connection.
//! Once its end is confirmed, all entries are told. [`CrashTable`] decides which requests are
//! refused by their contents, and [`super::suspect_parts`] handles the parts of their prompts.
//!
//! [`CrashTable`]: hickorycross_core::direct::CrashTable

use super::active_request::ActiveRequest;
use super::attempt::Attempt;
use super::suspect_parts::note_parts_answered;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::gossip::{GossipReport, log_request_report};
use crate::part_reports;
use crate::state::EntryState;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{
    BackendServer, BootMs, CallerDigest, IncarnationDigest, PartEnd, PromptPart, ReportOutcome,
    RequestDigest, RequestObservation, RequestReport,
};
use http::StatusCode;
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

/// A request that a backend server had when its connection broke.
#[derive(Debug)]
struct HeldRequest {
    digest: RequestDigest,
    prompt_parts: Vec<PromptPart>,
    caller: CallerDigest,
    /// When the answer began, or else when the request was sent.
    began_at: BootMs,
    broke_at: BootMs,
    had_begun: bool,
    /// Whether the answer is complete if the backend server is alive: one without a length ends with
    /// its connection.
    is_maybe_complete: bool,
}

/// Backend servers to which a connection broke, with the requests that they had, until it is known
/// whether they have ended.
#[derive(Debug, Default)]
pub(crate) struct SuspectedCrashes(RefCell<IndexMap<IncarnationDigest, Vec<HeldRequest>>>);

impl SuspectedCrashes {
    /// Adds a request. Returns whether its backend server was not suspected before.
    fn add(&self, incarnation: IncarnationDigest, request: HeldRequest) -> bool {
        let mut suspected = self.0.borrow_mut();
        let requests = suspected.entry(incarnation).or_default();
        requests.push(request);
        requests.len() == 1
    }

    fn take(&self, incarnation: IncarnationDigest) -> Vec<HeldRequest> {
        self.0.borrow_mut().swap_remove(&incarnation).unwrap_or_default()
    }
}

impl ActiveRequest {
    /// Records that the connection to a backend server broke while it had the request, and starts
    /// a check whether the backend server has ended.
    ///
    /// Until that is known, this entry assumes that it has ended but does not tell other entries.
    pub(super) fn note_broken(&self, server: &BackendServer) {
        self.suspect_crash(server, false);
    }

    /// Records that the request was answered to the end.
    ///
    /// An answer without a length also ends like that when its backend server crashes, so it is
    /// checked first whether the backend server is alive.
    pub(super) fn note_answer_for_crashes(&self, attempt: &Attempt, status: StatusCode) {
        if !attempt.is_framed {
            self.suspect_crash(&attempt.server, true);
            return;
        }
        note_answered(&self.state, self.digest);
        if status.is_success() {
            note_parts_answered(&self.state, &self.prompt_parts, self.answer_began_at());
        }
    }

    fn suspect_crash(&self, server: &BackendServer, is_maybe_complete: bool) {
        // A backend server that is leaving may end while requests still run.
        if !self.state.backends.borrow().takes_work(&server.id, server.born_ms) {
            return;
        }
        let incarnation = IncarnationDigest::of(server);
        let broke_at = boot_now();
        // The answer to any other request has no head before it is complete, so it counts as begun.
        let had_begun = self.head_at.is_some() || !self.request.route.kind.is_stream();
        if !is_maybe_complete {
            // Whether this is new does not matter: the parts of the prompt may be.
            let mut crashes = self.state.crashes.borrow_mut();
            let _ = crashes.suspect(self.digest, incarnation, had_begun, broke_at);
        }
        let request = HeldRequest {
            digest: self.digest,
            prompt_parts: self.prompt_parts.clone(),
            caller: self.caller,
            began_at: self.answer_began_at(),
            broke_at,
            had_begun,
            is_maybe_complete,
        };
        if self.state.suspected_crashes.add(incarnation, request) {
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
    tokio::time::sleep(Duration::from_millis(CHECK_DELAY_MS)).await;
    let connecting = TcpStream::connect(server.address);
    let timeout = Duration::from_millis(CHECK_TIMEOUT_MS);
    let is_alive = matches!(tokio::time::timeout(timeout, connecting).await, Ok(Ok(_)));
    for request in state.suspected_crashes.take(incarnation) {
        match (is_alive, request.is_maybe_complete) {
            (false, _) => confirm_crash(&state, incarnation, &request),
            (true, true) => {
                note_answered(&state, request.digest);
                note_parts_answered(&state, &request.prompt_parts, request.began_at);
            }
            (true, false) => state.crashes.borrow_mut().retract(request.digest, incarnation),
        }
    }
}

/// Records that a backend server has ended while it had a request, and tells other entries.
fn confirm_crash(state: &EntryState, incarnation: IncarnationDigest, request: &HeldRequest) {
    let now = boot_now();
    let HeldRequest { digest, had_begun, broke_at, .. } = *request;
    let seen = RequestObservation::BackendEnded { incarnation, had_begun };
    let report = RequestReport { digest, seen, age_ms: now.since(broke_at) };
    let outcome = state.crashes.borrow_mut().note(report, now);
    if outcome == ReportOutcome::New {
        metrics::counter!("hickorycross_backend_servers_ended_under_requests_total").increment(1);
        log_request_report(state, report, "ended-here");
        state.outbox.add(GossipReport::Request(report), now);
    }
    let end = PartEnd {
        incarnation,
        caller: request.caller,
        had_begun,
        despite_answers: false,
        ran_ms: broke_at.since(request.began_at),
    };
    for part in &request.prompt_parts {
        let report = state.part_crashes.borrow_mut().note_ended_here(*part, end, broke_at, now);
        if let Some(report) = report {
            part_reports::tell(state, report, "ended-here");
        }
    }
}

/// Records that a backend server answered a request, and tells other entries if the end of a
/// backend server was recorded for it.
fn note_answered(state: &EntryState, digest: RequestDigest) {
    let now = boot_now();
    if state.crashes.borrow_mut().note_answered(digest, now) {
        let report = RequestReport { digest, seen: RequestObservation::Answered, age_ms: 0 };
        log_request_report(state, report, "answered-here");
        state.outbox.add(GossipReport::Request(report), now);
    }
}
