//! How long a refused load waits.

use crate::time::{Now, UnixMs};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Refusals over which the wait doubles.
const DOUBLINGS: u32 = 5;
/// Refusals at the longest wait before waits shorten again.
const PATIENCE_REFUSALS: u32 = 2;

/// When a load that was refused `refusals` times is tried again.
///
/// The wait doubles up to a cap, so that a crowd of agents disperses. Past the cap it halves again
/// with each refusal, down to `load_interval_ms`, the span in which the agent's fair share pays for one load.
/// With a plain capped back-off, newcomers with short waits keep taking the store's tokens, and an
/// agent that was refused often tries ever more rarely; one would notice changes that always give
/// up on the same agent. Tries at `load_interval_ms` cannot overload the store: if every agent tried at that
/// pace, they would ask for exactly its rate.
pub(crate) fn retry_at(
    now: Now,
    refusals: u32,
    load_interval_ms: u64,
    rng: &mut ChaCha8Rng,
) -> UnixMs {
    let window_ms = load_interval_ms.saturating_mul(1 << exponent(refusals)).max(1);
    let jitter_ms = rng.random_range(0..=window_ms / 2);
    now.after(window_ms - jitter_ms)
}

fn exponent(refusals: u32) -> u32 {
    let aged = refusals.saturating_sub(DOUBLINGS + PATIENCE_REFUSALS);
    refusals.min(DOUBLINGS).saturating_sub(aged)
}
