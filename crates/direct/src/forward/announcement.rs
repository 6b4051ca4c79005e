//! Reads what backend servers announce about themselves in the heads of their answers: that they
//! are leaving, and how long they want no requests from this entry.

use crate::clock::boot_now;
use crate::decision_log::{DecisionLog, Fields};
use crate::state::EntryState;
use hickorycross_core::direct::{AttemptEnd, BackendServer, UnreadableBackoff, parse_backoff_ms};
use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode, response};

/// Most characters of an unreadable value that are logged.
const MAX_LOGGED_CHARS: usize = 32;

/// The value of the leaving field of a backend server that is leaving.
const IS_LEAVING: &str = "1";

/// Records the announcements in a response head. Returns whether it asks for a backoff.
///
/// The response must come from the incarnation to which the request was sent, which a 421 does not.
pub(super) fn note_announcements(
    state: &EntryState,
    server: &BackendServer,
    parts: &response::Parts,
) -> bool {
    note_leaving(state, server, &parts.headers);
    parts.status == StatusCode::SERVICE_UNAVAILABLE && note_backoff(state, server, &parts.headers)
}

/// Records an answer that is no rejection, which may be the first one after a backoff.
pub(super) fn note_accepted(state: &EntryState, server: &BackendServer) {
    if state.backends.borrow_mut().note_accepted(server, boot_now()) {
        state.log.note(server_line(server).with("outcome", "answers-after-backoff"));
        state.capacity_changed.notify_waiters();
    }
}

/// Logs a rejection and returns what it says: that the backend server wants a backoff, that another
/// rank of its group is at fault, or neither.
pub(super) fn judge_rejection(
    state: &EntryState,
    server: &BackendServer,
    parts: &response::Parts,
    asks_for_backoff: bool,
) -> AttemptEnd {
    let at_fault = parts.headers.get(&state.names.server_at_fault);
    let at_fault = at_fault.and_then(|value| value.to_str().ok());
    let line = server_line(server).with("status", parts.status.as_u16());
    state.log.note(line.with_some("at_fault", at_fault).with("outcome", "rejected"));
    match at_fault {
        _ if asks_for_backoff => AttemptEnd::Backoff,
        Some(at_fault) if at_fault != server.id => AttemptEnd::GroupRejected,
        _ => AttemptEnd::Rejected,
    }
}

fn note_leaving(state: &EntryState, server: &BackendServer, headers: &HeaderMap) {
    let mut values = headers.get_all(&state.names.server_leaving).iter().peekable();
    if values.peek().is_none() {
        return;
    }
    if !values.any(|value| value.to_str().is_ok_and(|text| text.trim() == IS_LEAVING)) {
        state.log.note(server_line(server).with("outcome", "leaving-not-readable"));
        return;
    }
    if state.backends.borrow_mut().note_announced_leaving(server, boot_now()) {
        metrics::counter!("hickorycross_backend_announcements_total", "kind" => "leaving")
            .increment(1);
        state.log.note(server_line(server).with("outcome", "announced-leaving"));
        state.capacity_changed.notify_waiters();
    }
}

/// Records the backoff that a rejection asks for. Returns whether there is one.
fn note_backoff(state: &EntryState, server: &BackendServer, headers: &HeaderMap) -> bool {
    let mut backoff_ms = 0;
    for value in headers.get_all(RETRY_AFTER) {
        let text = value.to_str().unwrap_or_default();
        match parse_backoff_ms(text) {
            Ok(asked_ms) => backoff_ms = asked_ms.max(backoff_ms),
            Err(error @ UnreadableBackoff) => {
                let logged: String = text.chars().take(MAX_LOGGED_CHARS).collect();
                let line = server_line(server).with("error", error).with("value", logged);
                state.log.note(line.with("outcome", "backoff-not-readable"));
            }
        }
    }
    if backoff_ms > 0 {
        start_backoff(state, server, backoff_ms);
    }
    backoff_ms > 0
}

/// Records a backoff that begins now, which ends slightly later than the backend server counts.
fn start_backoff(state: &EntryState, server: &BackendServer, backoff_ms: u64) {
    let now = boot_now();
    if state.backends.borrow_mut().note_backoff(server, now.after(backoff_ms), now) {
        metrics::counter!("hickorycross_backend_announcements_total", "kind" => "backoff")
            .increment(1);
        let line = server_line(server).with("backoff_ms", backoff_ms);
        state.log.note(line.with("outcome", "backoff"));
        // Requests that wait for room may have to be refused now.
        state.capacity_changed.notify_waiters();
    }
}

/// Starts a log line about an incarnation.
fn server_line(server: &BackendServer) -> Fields {
    let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
    line.with("born_ms", server.born_ms)
}
