//! Spans of time and steps that the agreement is tuned by.
//!
//! Safety depends on none of them. Spans become deadlines before they are stored.

/// Longest span between two [`super::GroupEvent::Tick`] events.
pub const TICK_MS: u64 = 50;

/// Span between two heartbeats of the coordinator.
pub const HEARTBEAT_MS: u64 = 250;

/// Silence of the coordinator after which a member campaigns.
pub const LEASE_MS: u64 = 1_000;

/// Further silence that each place waits, so that the lowest live one campaigns alone.
pub const CAMPAIGN_STAGGER_MS: u64 = 100;

/// Time that a candidate is given to collect its promises before another member campaigns.
pub const CAMPAIGN_TIMEOUT_MS: u64 = 600;

/// Most failed campaigns that lengthen a member's wait.
pub const MAX_COUNTED_FAILURES: u32 = 3;

/// Time after its start in which an agent promises nothing, beside an engine that ignores fencing
/// tokens: an order of its predecessor may still sit in the engine's receive buffer.
pub const PROMISE_DELAY_MS: u64 = 500;

/// Time after which a failed inspection is repeated.
pub const INSPECT_RETRY_MS: u64 = 200;

/// Time after which an unacknowledged map is handed out again.
pub const STAGE_RETRY_MS: u64 = 1_000;

/// Time for all members to acknowledge the map of a change.
pub const STAGE_DEADLINE_MS: u64 = 30_000;

/// Time that the steps granted ahead last, at the group's present pace.
///
/// Longer than a lost coordinator takes to be replaced among few members, so that a takeover costs
/// no step. A change takes effect about this long after its commit.
pub const GRANT_WINDOW_MS: u64 = 2_500;

/// Fewest steps granted ahead; what a group gets that has just started or stalled.
pub const MIN_WINDOW_STEPS: u64 = 64;

/// Most steps granted ahead.
pub const MAX_WINDOW_STEPS: u64 = 4_096;

/// Longest time from the moment at which every member is reachable again, with one-way delays of
/// up to `delay_ms` and engines that load a map within `stage_ms`, to the next step of the group.
///
/// The longest wait to campaign, two campaigns (a stale one and the one that succeeds), the
/// settling of a restarted agent, and a replaced engine's load of two maps one after the other,
/// each handed out again once.
#[must_use]
pub const fn stall_bound_ms(members: u64, delay_ms: u64, stage_ms: u64) -> u64 {
    let wait_ms = LEASE_MS * (1 + MAX_COUNTED_FAILURES as u64) + members * CAMPAIGN_STAGGER_MS;
    let campaigns_ms = 2 * (CAMPAIGN_TIMEOUT_MS + INSPECT_RETRY_MS + HEARTBEAT_MS + 4 * delay_ms);
    let staging_ms = 2 * (stage_ms + STAGE_RETRY_MS + HEARTBEAT_MS + 4 * delay_ms);
    wait_ms + campaigns_ms + staging_ms + PROMISE_DELAY_MS
}
