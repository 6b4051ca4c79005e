//! Header fields of answers: which are forwarded, and which show that an answer belongs to a request.

use crate::callers::CallerRequest;
use crate::state::EntryState;
use http::header::{
    CONNECTION, CONTENT_ENCODING, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, response};

/// Hop-by-hop header fields, which must not be forwarded.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Hop-by-hop fields for which the HTTP library has no constant.
const HOP_BY_HOP_TEXT: [&str; 2] = ["keep-alive", "proxy-connection"];
/// The field in which a server announces its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// Returns the headers without hop-by-hop fields, including those that `Connection` lists.
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = connection_options(headers).map(str::to_ascii_lowercase).collect();
    let mut kept = headers.clone();
    for name in &HOP_BY_HOP {
        kept.remove(name);
    }
    for name in HOP_BY_HOP_TEXT.iter().copied().chain(named.iter().map(String::as_str)) {
        kept.remove(name);
    }
    kept
}

/// Returns the options of the `Connection` fields, among them the names of hop-by-hop fields.
pub(super) fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

/// Returns whether a response head is a valid answer to this request.
///
/// A backend server may send a second answer to an earlier request instead, or a successful answer
/// without its digest or in another encoding.
pub(super) fn is_valid_answer(
    state: &EntryState,
    request: &CallerRequest,
    parts: &response::Parts,
) -> bool {
    let mut echoed = parts.headers.get_all(&state.names.attempt_id).iter().peekable();
    let id_matches = echoed.peek().is_some() && echoed.all(|id| *id == request.attempt_id);
    let is_unencoded = !parts.headers.contains_key(CONTENT_ENCODING);
    let digest = &state.names.digest;
    // A hop-by-hop field is not forwarded.
    let is_forwarded =
        !connection_options(&parts.headers).any(|it| it.eq_ignore_ascii_case(digest.as_str()));
    let has_digest = parts.headers.contains_key(digest) && is_forwarded;
    id_matches && is_unencoded && (has_digest || !parts.status.is_success())
}

/// Returns the idle timeout that the backend server announced, in milliseconds.
pub(super) fn idle_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parts = value.split(',').map(str::trim);
    let seconds = parts.filter_map(|part| part.strip_prefix("timeout=")).next()?;
    seconds.trim().parse::<u64>().ok().map(|seconds| seconds * 1000)
}
