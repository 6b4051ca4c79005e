//! Names in HTTP requests between callers, entries and backend servers.

use http::HeaderName;

/// Names of header fields, and what else the platform defines for requests.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// Field with the id of a caller's attempt; a backend server repeats it in its answer.
    pub attempt_id: HeaderName,
    /// Field with the time in milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Field with the digest of a backend server's answer.
    pub digest: HeaderName,
    /// Field with the team to which the caller's API key belongs.
    pub team: HeaderName,
    /// Field with the incarnation to which the request is sent; any other one rejects it.
    pub expected_incarnation: HeaderName,
    /// Field of an answer that tells that the backend server did not run the request.
    pub not_run: HeaderName,
    /// Field with the urgency of a request; 0 is the most urgent.
    pub urgency: HeaderName,
    /// Field with the parts of a request's prompt, as `ID:TOKENS` entries.
    pub prompt_parts: HeaderName,
    /// Field with the tokens of a request's prompt and the most tokens of its output, separated by a
    /// comma.
    pub token_usage: HeaderName,
    /// Field with the caller's estimate of the tokens of the output.
    pub length_hint: HeaderName,
    /// Field of an answer with the limit that a backend server announces, in requests per second
    /// from all entries together.
    pub server_limit: HeaderName,
    /// Field of an answer with which a backend server announces that it is leaving, by the value
    /// `1`.
    pub server_leaving: HeaderName,
    /// Field of a rejection with the id of the backend server that is at fault, which may be another
    /// rank of the same group.
    pub server_at_fault: HeaderName,
    /// Field of an answer that tells for how many milliseconds the backend server stays cold.
    pub server_cold_ms: HeaderName,
    /// Scheme of the API key in the `Authorization` field.
    pub key_scheme: &'static str,
    /// Path of the readiness check of the external load balancer.
    pub ready_path: &'static str,
    /// Number of the lowest urgency that may be sent.
    pub lowest_urgency: u8,
}
