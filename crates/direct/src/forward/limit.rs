//! Backend servers in need, which name in their answers how many requests they take.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use hickorycross_core::direct::{BackendServer, IncarnationDigest, LimitWord};
use http::HeaderMap;

/// Takes note of the limit that an answer's head names, or of its lack.
pub(super) fn note_limit(state: &EntryState, server: &BackendServer, headers: &HeaderMap) {
    let incarnation = IncarnationDigest::of(server);
    let Ok(millirequests_per_s) = named_limit(state, headers) else {
        let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
        state.log.note(line.with("outcome", "limit-not-readable"));
        return;
    };
    let word = LimitWord { incarnation, millirequests_per_s, age_ms: 0 };
    if !state.limits.borrow_mut().note(word, boot_now()) {
        return;
    }
    let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
    let line = line.with("backend_digest", incarnation);
    let line = line.with_some("limit_millirequests_per_s", millirequests_per_s);
    let outcome = if millirequests_per_s.is_some() { "limited" } else { "limit-over" };
    state.log.note(line.with("outcome", outcome));
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
