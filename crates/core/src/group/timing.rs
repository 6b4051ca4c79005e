//! Timing parameters of the agreement.
//!
//! They affect availability only: the agreement is safe with any values. Durations are converted to
//! deadlines before they are stored.

/// Longest time between two [`super::GroupEvent::Tick`] events.
pub const TICK_MS: u64 = 50;

/// Interval between heartbeats of the coordinator.
pub const HEARTBEAT_MS: u64 = 250;

/// Time without a heartbeat after which a member campaigns.
pub const LEASE_MS: u64 = 1_000;

/// Additional wait per member index, so that the live member with the lowest index campaigns first.
pub const CAMPAIGN_STAGGER_MS: u64 = 100;

/// Time for a candidate to collect its promises before another member campaigns.
pub const CAMPAIGN_TIMEOUT_MS: u64 = 600;

/// Number of failed campaigns up to which each one lengthens the wait for the next.
pub const MAX_COUNTED_FAILURES: u32 = 3;

/// Time after its start during which an agent gives no promise if its engine ignores fencing
/// tokens.
///
/// An order of the agent's predecessor may still be in the engine's receive buffer.
pub const PROMISE_DELAY_MS: u64 = 500;

/// Time after which an unanswered inspection of the engine is repeated.
pub const INSPECT_RETRY_MS: u64 = 200;

/// Time after which a map is sent again if the member neither holds nor loads it.
pub const STAGE_RETRY_MS: u64 = 1_000;

/// Time for all members to load the map of a change before the change is abandoned.
pub const STAGE_DEADLINE_MS: u64 = 30_000;

/// Time that the steps granted ahead last at the group's current step rate.
///
/// It is longer than replacing a lost coordinator takes in a small group, so that a takeover delays
/// no step. A change takes effect about this long after its commit.
pub const GRANT_WINDOW_MS: u64 = 2_500;

/// Minimum number of steps granted ahead, used for a group that has just started or stalled.
pub const MIN_WINDOW_STEPS: u64 = 64;

/// Maximum number of steps granted ahead.
pub const MAX_WINDOW_STEPS: u64 = 4_096;

/// Returns the longest time until the group steps again after all members have become reachable.
///
/// One-way delays are at most `delay_ms`, and engines load a map within `stage_ms`. The bound
/// consists of the longest wait before a campaign, two campaigns (a stale one and the successful
/// one), the promise delay of a restarted agent, and two consecutive map loads by a replaced
/// engine, with each map sent twice.
#[must_use]
pub const fn stall_bound_ms(members: u64, delay_ms: u64, stage_ms: u64) -> u64 {
    let wait_ms = LEASE_MS * (1 + MAX_COUNTED_FAILURES as u64) + members * CAMPAIGN_STAGGER_MS;
    let campaigns_ms = 2 * (CAMPAIGN_TIMEOUT_MS + INSPECT_RETRY_MS + HEARTBEAT_MS + 4 * delay_ms);
    let staging_ms = 2 * (stage_ms + STAGE_RETRY_MS + HEARTBEAT_MS + 4 * delay_ms);
    wait_ms + campaigns_ms + staging_ms + PROMISE_DELAY_MS
}
