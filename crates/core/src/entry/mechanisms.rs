//! Switches with which a test shows which failure each mechanism prevents.

/// Mechanisms of an entry against failures. All are enabled except in tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub struct Mechanisms {
    /// Unacknowledged attempts are revoked on a new link.
    pub revoke: bool,
    /// Accepted attempts are attached again on a new link.
    pub reattach: bool,
    /// A new link is opened when an acknowledgement is overdue.
    pub fresh_link_on_silence: bool,
    /// Links are probed by heartbeats.
    pub heartbeats: bool,
    /// A response must match the counts of its end marker.
    pub end_marker_check: bool,
    /// Chunks are ordered by their index.
    pub chunk_order: bool,
    /// Messages are accepted only for the live attempt of their request.
    pub attempt_id_check: bool,
    /// Messages are accepted only from the agent incarnation that has the attempt.
    pub incarnation_binding: bool,
    /// A non-idempotent request is retried only after `NotRun`.
    pub retry_only_not_run: bool,
    /// A request is not retried once the head of a response was sent to its caller.
    pub no_retry_after_begin: bool,
    /// Deadlines are checked before every step of a request.
    pub deadline_check: bool,
    /// An agent that reports that it is leaving gets no new attempts.
    pub agent_leaving: bool,
    /// Requests with an idempotency key are sent only to the home of the key.
    pub key_home_only: bool,
}

impl Mechanisms {
    /// All mechanisms enabled.
    pub const ALL: Self = Self {
        revoke: true,
        reattach: true,
        fresh_link_on_silence: true,
        heartbeats: true,
        end_marker_check: true,
        chunk_order: true,
        attempt_id_check: true,
        incarnation_binding: true,
        retry_only_not_run: true,
        no_retry_after_begin: true,
        deadline_check: true,
        agent_leaving: true,
        key_home_only: true,
    };
}
