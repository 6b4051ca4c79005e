//! Switches that take single mechanisms out, for tests that show what each one prevents.

/// Every mechanism that guards against a failure; all are on outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    pub duplicate_detection: bool,
    pub refusal_records: bool,
    pub tombstones: bool,
    pub forgotten_watermark: bool,
    pub deadline_recheck: bool,
    pub expiry_sweep: bool,
    pub incarnation_check: bool,
    pub owner_check: bool,
    pub eviction: bool,
    pub team_fairness: bool,
    pub tier_floors: bool,
    pub orphan_abort: bool,
    pub retention: bool,
    pub retention_cap: bool,
    pub key_table: bool,
    pub key_content_check: bool,
    pub key_home_check: bool,
    pub key_recheck_at_start: bool,
    pub unknown_keys_after_start: bool,
    pub key_home_changes: bool,
    pub conflicting_documents: bool,
    pub key_future_check: bool,
    pub key_check_before_refusal: bool,
    pub keep_keyed_runs: bool,
    pub refuse_queued_on_drain: bool,
    pub refuse_queued_on_backend_down: bool,
    pub drain_waits_for_acknowledgement: bool,
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
