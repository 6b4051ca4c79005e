//! Back-off after the weight store refuses a load.

use crate::time::{Now, UnixMs};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Number of refusals for which the wait doubles each time.
const MAX_DOUBLINGS: u32 = 5;
/// Number of further refusals at the longest wait before waits become shorter again.
const REFUSALS_AT_MAX_WAIT: u32 = 2;

/// Returns when to retry a load that was refused `refusals` times.
///
/// The wait doubles up to a cap, with jitter, so that the retries of many agents spread out. Past
/// the cap it halves with each refusal, down to `load_interval_ms`, the time in which the agent's
/// fair share of the store's rate covers one load. With a plain capped back-off, agents that were
/// refused often would retry rarely and lose the store's capacity to newcomers with short waits, so
/// that changes would be abandoned because of the same agent every time. Retries every
/// `load_interval_ms` cannot overload the store: if all agents retried at that interval, they would
/// request exactly its rate.
pub(crate) fn retry_at(
    now: Now,
    refusals: u32,
    load_interval_ms: u64,
    rng: &mut ChaCha8Rng,
) -> UnixMs {
    let max_wait_ms = load_interval_ms.saturating_mul(1 << backoff_exponent(refusals)).max(1);
    let jitter_ms = rng.random_range(0..=max_wait_ms / 2);
    now.after(max_wait_ms - jitter_ms)
}

fn backoff_exponent(refusals: u32) -> u32 {
    let refusals_past_cap = refusals.saturating_sub(MAX_DOUBLINGS + REFUSALS_AT_MAX_WAIT);
    refusals.min(MAX_DOUBLINGS).saturating_sub(refusals_past_cap)
}
