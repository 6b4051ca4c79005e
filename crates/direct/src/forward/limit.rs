//! Backend servers in need, which name in their answers how many requests they take.

use super::life::Life;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::gossip::{GossipReport, log_limit_report};
use crate::limit_share;
use crate::state::EntryState;
use hickorycross_core::direct::{BackendServer, IncarnationDigest, LimitReport};
use http::HeaderMap;
use std::rc::Rc;

/// Takes note of the limit that an answer's head names, or of its lack, and tells other entries.
pub(super) fn note_limit(state: &EntryState, server: &BackendServer, headers: &HeaderMap) {
    let Ok(millirequests_per_s) = named_limit(state, headers) else {
        let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
        state.log.note(line.with("outcome", "limit-not-readable"));
        return;
    };
    let incarnation = IncarnationDigest::of(server);
    let word = LimitReport { incarnation, millirequests_per_s, age_ms: 0 };
    let now = boot_now();
    if state.limits.borrow_mut().note(word, now) {
        log_limit_report(state, word, Some(&server.id));
        state.outbox.add(GossipReport::Limit(word), now);
    }
}

/// The limit that a head names, in thousandths of a request a second.
fn named_limit(state: &EntryState, headers: &HeaderMap) -> Result<Option<u64>, UnreadableLimit> {
    let Some(value) = headers.get(&state.names.server_limit) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let number = number.filter(|number| number.is_finite() && *number >= 0.0);
    number.map(|number| Some((number * 1000.0) as u64)).ok_or(UnreadableLimit)
}

/// A head names a limit that is no number.
struct UnreadableLimit;

impl Life {
    /// Backend servers that the request is not sent to: those that had it, and those in need for which this
    /// entry has no permit.
    pub(super) fn passed_over(&self) -> Vec<String> {
        let withheld = self.limited().into_iter().filter(|(_, word)| {
            let permits = self.state.limit_permits.borrow();
            !permits.has_permit(word.incarnation, boot_now())
        });
        let withheld = withheld.map(|(server, _)| server.id);
        self.tried.iter().cloned().chain(withheld).collect()
    }

    /// Asks for permits for the backend servers in need that the request passes over, or uses one up for the
    /// one that it is sent to.
    pub(super) fn use_limits(&self, chosen: Option<&BackendServer>) {
        let now = boot_now();
        for (server, word) in self.limited() {
            let mut permits = self.state.limit_permits.borrow_mut();
            if chosen == Some(&server) {
                permits.use_permit(word.incarnation);
            } else if !permits.has_permit(word.incarnation, now)
                && let Some(wanted) = permits.note_denied(word.incarnation, now)
            {
                let asking = limit_share::request_permits(Rc::clone(&self.state), word, wanted);
                tokio::task::spawn_local(asking);
            }
        }
    }

    /// Backend servers of the request's service that are in need, with what they take.
    fn limited(&self) -> Vec<(BackendServer, LimitReport)> {
        let limits = self.state.limits.borrow();
        if limits.is_empty() {
            return Vec::new();
        }
        let backends = self.state.backends.borrow();
        let of_service = backends.servers().filter(|server| server.service == self.service);
        let now = boot_now();
        let limited = of_service.filter_map(|server| {
            let word = limits.report(IncarnationDigest::of(server), now)?;
            word.millirequests_per_s.map(|_| (server.clone(), word))
        });
        limited.collect()
    }
}
