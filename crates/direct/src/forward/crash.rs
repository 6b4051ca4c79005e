//! Backend servers that end while they have a request.

use super::life::Life;
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

/// Pause before the look. A process that ends may close its connections before its port, and one would take it
/// for alive.
const LOOK_AFTER_MS: u64 = 100;

/// Time for a connection to a backend server that may have ended. One that has ended says nothing.
const LOOK_TIMEOUT_MS: u64 = 400;

/// Backend servers to which a connection broke, and the requests that were there, until it is known whether
/// they have ended.
#[derive(Debug, Default)]
pub(crate) struct Suspicions(RefCell<IndexMap<IncarnationDigest, Vec<RequestReport>>>);

impl Suspicions {
    /// Adds a request; returns whether its backend server was not suspected yet.
    fn add(&self, incarnation: IncarnationDigest, word: RequestReport) -> bool {
        let mut suspicions = self.0.borrow_mut();
        let words = suspicions.entry(incarnation).or_default();
        words.push(word);
        words.len() == 1
    }

    fn take(&self, incarnation: IncarnationDigest) -> Vec<RequestReport> {
        self.0.borrow_mut().swap_remove(&incarnation).unwrap_or_default()
    }
}

impl Life {
    /// Notes that the connection to a backend server broke while it had the request.
    ///
    /// Until it is known whether the backend server has ended, this entry believes so, and tells nobody.
    pub(super) fn note_broken(&self, server: &BackendServer) {
        // One that leaves may end with requests still at work.
        if !self.state.backends.borrow().takes_work(&server.id, server.born_ms) {
            return;
        }
        let incarnation = IncarnationDigest::of(server);
        // A plain answer has no head before it is whole.
        let had_begun = self.has_head || !self.request.route.kind.is_stream();
        let seen = RequestObservation::BackendEnded { incarnation, had_begun };
        let word = RequestReport { digest: self.digest, seen, age_ms: 0 };
        let mut crashes = self.state.crashes.borrow_mut();
        if crashes.suspect(self.digest, incarnation, had_begun, boot_now())
            && self.state.suspicions.add(incarnation, word)
        {
            let looking = look_for(Rc::clone(&self.state), server.clone(), incarnation);
            tokio::task::spawn_local(looking);
        }
    }

    /// Refuses a request under which too many backend servers have ended.
    pub(super) fn check_crashes(&self) -> Result<(), Refusal> {
        let mut crashes = self.state.crashes.borrow_mut();
        if !crashes.is_refused(self.digest) {
            return Ok(());
        }
        crashes.note_refused(self.digest, boot_now());
        self.note_crashes(crashes.ended_server_count(self.digest));
        Err(match self.verdict {
            Verdict::NotRun => Refusal::EndsBackendServers,
            verdict => Refusal::Failed(verdict),
        })
    }
}

/// Finds out whether a backend server to which connections broke has ended, and tells others if so.
///
/// When one rank of a group ends, the others cut off what runs there as well, though they live.
async fn look_for(state: Rc<EntryState>, server: BackendServer, incarnation: IncarnationDigest) {
    let broke_at = boot_now();
    tokio::time::sleep(Duration::from_millis(LOOK_AFTER_MS)).await;
    let connecting = TcpStream::connect(server.address);
    let timeout = Duration::from_millis(LOOK_TIMEOUT_MS);
    let lives = matches!(tokio::time::timeout(timeout, connecting).await, Ok(Ok(_)));
    for word in state.suspicions.take(incarnation) {
        if lives {
            state.crashes.borrow_mut().retract(word.digest, incarnation);
        } else {
            let age_ms = boot_now().since(broke_at);
            note_certain(&state, RequestReport { age_ms, ..word });
        }
    }
}

/// Takes note that a backend server has ended under a request, and tells others.
fn note_certain(state: &EntryState, word: RequestReport) {
    let now = boot_now();
    if state.crashes.borrow_mut().note(word, now) != ReportOutcome::New {
        return;
    }
    metrics::counter!("hickorycross_backend_servers_ended_under_requests_total").increment(1);
    log_request_report(state, word, "ended-here");
    state.outbox.add(GossipReport::Request(word), now);
}

/// Notes that a backend server answered a request, and tells others if one was thought to have ended
/// under it.
pub(super) fn note_answered(state: &EntryState, digest: RequestDigest) {
    let now = boot_now();
    if state.crashes.borrow_mut().note_answered(digest, now) {
        let word = RequestReport { digest, seen: RequestObservation::Answered, age_ms: 0 };
        log_request_report(state, word, "answered-here");
        state.outbox.add(GossipReport::Request(word), now);
    }
}
