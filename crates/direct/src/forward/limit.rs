//! Request rate limits that backend servers announce in the heads of their answers.
//!
//! A limit holds over all entries together. An entry sends to a limited backend server only with a
//! permit, which [`limit_share`] gets from the entry that grants them.

use super::active_request::ActiveRequest;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::gossip::{GossipReport, log_limit_report};
use crate::limit_share;
use crate::state::EntryState;
use hickorycross_core::direct::{BackendServer, IncarnationDigest, LimitReport};
use http::HeaderMap;
use std::rc::Rc;

/// Records the limit in a response head, or that there is none, and reports a change to other
/// entries.
pub(super) fn note_limit(state: &EntryState, server: &BackendServer, headers: &HeaderMap) {
    let Ok(millirequests_per_s) = announced_limit(state, headers) else {
        let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
        state.log.note(line.with("outcome", "limit-not-readable"));
        return;
    };
    let incarnation = IncarnationDigest::of(server);
    let report = LimitReport { incarnation, millirequests_per_s, age_ms: 0 };
    let now = boot_now();
    if state.limits.borrow_mut().note(report, now) {
        log_limit_report(state, report, Some(&server.id));
        state.outbox.add(GossipReport::Limit(report), now);
    }
}

/// Returns the limit in a response head in thousandths of a request per second, if it has one.
fn announced_limit(
    state: &EntryState,
    headers: &HeaderMap,
) -> Result<Option<u64>, UnreadableLimit> {
    let Some(value) = headers.get(&state.names.server_limit) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let number = number.filter(|number| number.is_finite() && *number >= 0.0);
    number.map(|number| Some((number * 1000.0) as u64)).ok_or(UnreadableLimit)
}

/// The limit in a response head is not a non-negative number.
struct UnreadableLimit;

impl ActiveRequest {
    /// Returns the ids of the backend servers that the request must not be sent to: those that
    /// were tried already, and limited ones without a permit, and cold ones without a share or permit.
    pub(super) fn excluded_servers(&self) -> Vec<String> {
        let mut excluded = self.excluded_but_cold();
        excluded.extend(self.cold_without_permit());
        excluded
    }

    /// Returns the same without the cold servers.
    pub(super) fn excluded_but_cold(&self) -> Vec<String> {
        let without_permit = self.limited_servers().into_iter().filter(|(_, report)| {
            let permits = self.state.limit_permits.borrow();
            !permits.has_permit(report.incarnation, boot_now())
        });
        let without_permit = without_permit.map(|(server, _)| server.id);
        self.tried.iter().cloned().chain(without_permit).collect()
    }

    /// Uses up a permit if the chosen backend server is limited, and requests permits for the
    /// limited ones that could not be chosen for lack of one.
    pub(super) fn update_permits(&self, chosen: Option<&BackendServer>) {
        let now = boot_now();
        for (server, report) in self.limited_servers() {
            let mut permits = self.state.limit_permits.borrow_mut();
            if chosen == Some(&server) {
                permits.use_permit(report.incarnation);
            } else if !permits.has_permit(report.incarnation, now)
                && let Some(wanted) = permits.note_denied(report.incarnation, now)
            {
                let asking = limit_share::request_permits(Rc::clone(&self.state), report, wanted);
                tokio::task::spawn_local(asking);
            }
        }
    }

    /// Returns the limited backend servers of the request's service with their limits.
    fn limited_servers(&self) -> Vec<(BackendServer, LimitReport)> {
        let limits = self.state.limits.borrow();
        if limits.is_empty() {
            return Vec::new();
        }
        let backends = self.state.backends.borrow();
        let of_service = backends.servers().filter(|server| server.service == self.service);
        let of_service = of_service.filter(|server| !backends.is_drained(server));
        let now = boot_now();
        let limited = of_service.filter_map(|server| {
            let report = limits.report(IncarnationDigest::of(server), now)?;
            report.millirequests_per_s.map(|_| (server.clone(), report))
        });
        limited.collect()
    }
}
