//! Switches that disable single mechanisms, for tests that show what each one prevents.

/// Mechanisms that guard against failures; all are enabled outside of tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Recognizes duplicate submits by their attempt.
    pub duplicate_detection: bool,
    /// Keeps a record of refused attempts, so that late copies are refused too.
    pub refusal_records: bool,
    /// Keeps a record of revoked attempts, so that late submits are refused.
    pub tombstones: bool,
    /// Reports an attempt without a record as not run only if it cannot have been forgotten.
    pub forgotten_watermark: bool,
    /// Checks the deadline again right before a start.
    pub deadline_recheck: bool,
    /// Refuses queued attempts at each tick once their deadline has passed.
    pub expiry_sweep: bool,
    /// Rejects messages addressed to another incarnation of the agent.
    pub incarnation_check: bool,
    /// Ignores messages about attempts of another entry.
    pub owner_check: bool,
    /// Lets an attempt take the place of a queued one when the queue is full.
    pub eviction: bool,
    /// Orders teams by charged slot time and limits their part of a full queue.
    pub team_fairness: bool,
    /// Gives tiers with a floor their share of starts and queue capacity.
    pub tier_floors: bool,
    /// Gives up attempts to which no entry reattaches.
    pub orphan_abort: bool,
    /// Retains chunks until they are acknowledged, and longer for repeats of a key.
    pub retention: bool,
    /// Limits the memory for retained chunks.
    pub retention_cap: bool,
    /// Remembers used idempotency keys.
    pub key_table: bool,
    /// Refuses a key that was used for a different request.
    pub key_content_check: bool,
    /// Refuses a key whose home is another agent.
    pub key_home_check: bool,
    /// Checks the key again right before a start.
    pub key_recheck_at_start: bool,
    /// Treats keys as unknown for their lifetime after the agent's start.
    pub unknown_keys_after_start: bool,
    /// Treats keys as unknown whose home a document change moved.
    pub key_home_changes: bool,
    /// Treats keys as unknown until their former homes are known to hold a later document.
    pub former_homes_awaited: bool,
    /// Treats keys as unknown whose home differs in a peer's document of the same revision.
    pub conflicting_documents: bool,
    /// Refuses keys whose creation time lies in the future.
    pub key_future_check: bool,
    /// Checks the key before refusing an attempt for the agent's state.
    pub key_check_before_refusal: bool,
    /// Lets non-idempotent runs with a key finish without readers.
    pub keep_keyed_runs: bool,
    /// Refuses queued attempts when a drain begins.
    pub refuse_queued_on_drain: bool,
    /// Refuses queued attempts when the backend server goes down.
    pub refuse_queued_on_backend_down: bool,
    /// Lets a drain wait until finished responses are acknowledged.
    pub drain_waits_for_acknowledgement: bool,
    /// Checks the invariants of a start with independent records.
    pub start_guard: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            duplicate_detection: true,
            refusal_records: true,
            tombstones: true,
            forgotten_watermark: true,
            deadline_recheck: true,
            expiry_sweep: true,
            incarnation_check: true,
            owner_check: true,
            eviction: true,
            team_fairness: true,
            tier_floors: true,
            orphan_abort: true,
            retention: true,
            retention_cap: true,
            key_table: true,
            key_content_check: true,
            key_home_check: true,
            key_recheck_at_start: true,
            unknown_keys_after_start: true,
            key_home_changes: true,
            former_homes_awaited: true,
            conflicting_documents: true,
            key_future_check: true,
            key_check_before_refusal: true,
            keep_keyed_runs: true,
            refuse_queued_on_drain: true,
            refuse_queued_on_backend_down: true,
            drain_waits_for_acknowledgement: true,
            start_guard: true,
        }
    }
}
