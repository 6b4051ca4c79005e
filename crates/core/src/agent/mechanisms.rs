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
    pub key_unknown_horizon: bool,
    pub key_moved_homes: bool,
    pub key_rival_homes: bool,
    pub key_future_check: bool,
    pub key_before_refusal: bool,
    pub keyed_run_kept: bool,
    pub hand_back_on_drain: bool,
    pub hand_back_on_backend_down: bool,
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
            key_unknown_horizon: true,
            key_moved_homes: true,
            key_rival_homes: true,
            key_future_check: true,
            key_before_refusal: true,
            keyed_run_kept: true,
            hand_back_on_drain: true,
            hand_back_on_backend_down: true,
            drain_waits_for_acknowledgement: true,
            start_guard: true,
        }
    }
}
