//! Names that requests carry between callers, entries and backend servers.

use http::HeaderName;

/// Names of header fields, and the path that the balancer asks.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// Names one attempt of a caller; echoed in its answer.
    pub attempt_id: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Digest that a backend server puts on its answers.
    pub digest: HeaderName,
    /// The team that holds the caller's key.
    pub team: HeaderName,
    /// The incarnation that is meant; any other rejects the request.
    pub expected_incarnation: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_run: HeaderName,
    /// Urgency, 0 first.
    pub urgency: HeaderName,
    /// How many requests a second a backend server in need takes from all entries together.
    pub server_limit: HeaderName,
    /// Scheme in front of the key in `Authorization`.
    pub key_scheme: &'static str,
    /// Path of the balancer's question.
    pub ready_path: &'static str,
    /// Lowest urgency that may be sent.
    pub lowest_urgency: u8,
}
