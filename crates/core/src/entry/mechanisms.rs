//! Switches that let a test show which failure each mechanism prevents.

/// Mechanisms of an entry. All are on outside mutation checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[doc(hidden)]
pub struct Mechanisms {
    /// Unacknowledged attempts are revoked on a fresh link.
    pub revoke: bool,
    /// Live attempts are attached again on a fresh link.
    pub reattach: bool,
    /// A missing acknowledgement leads to a fresh link.
    pub fresh_link_on_silence: bool,
    /// Links with live attempts are probed by heartbeats.
    pub heartbeats: bool,
    /// An answer must match the counts of its end marker.
    pub end_marker_check: bool,
    /// Pieces are put in order by their numbers.
    pub chunk_order: bool,
    /// Messages count only for the live attempt of their request.
    pub attempt_id_check: bool,
    /// Messages count only from the agent incarnation that has the attempt.
    pub incarnation_binding: bool,
    /// A non-idempotent request is tried again only after `NotRun`.
    pub retry_only_not_run: bool,
    /// A request whose answer has begun is not tried again.
    pub no_retry_after_begin: bool,
    /// Deadlines are checked at every step that acts.
    pub deadline_check: bool,
    /// An agent that says it leaves gets no new work.
    pub agent_leaving: bool,
    /// Requests with an idempotency key go to the home of the key alone.
    pub key_home_only: bool,
}

impl Mechanisms {
    /// Everything on.
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
