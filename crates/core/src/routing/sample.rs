//! Random selection among candidates.

use super::policy::Candidate;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Share of a candidate without a traffic reduction, in thousandths.
const FULL_SHARE_PERMILLE: u16 = 1000;

/// Returns the indices of the candidates that take part in one routing decision.
///
/// A candidate with a reduced share takes part with half the probability that its share states. It
/// is idle and so wins nearly every comparison, and as two candidates are compared, it is sampled
/// twice as often as its even part. Without the halving, a share of 10% would yield 20%.
pub(super) fn eligible(rng: &mut ChaCha8Rng, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut indices = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        let share = candidate.share_permille;
        let full = share >= FULL_SHARE_PERMILLE;
        if full || rng.random_range(0..2 * FULL_SHARE_PERMILLE) < share {
            indices.push(index);
        }
    }
    indices
}

/// Returns up to `count` distinct elements of `indices`, chosen at random.
pub(super) fn sample(rng: &mut ChaCha8Rng, indices: &[usize], count: usize) -> Vec<usize> {
    let mut sampled = indices.to_vec();
    for place in 0..count.min(sampled.len()) {
        let other = rng.random_range(place..sampled.len());
        sampled.swap(place, other);
    }
    sampled.truncate(count);
    sampled
}

/// Returns two distinct random elements of `indices`, the same one twice when there is only one, or
/// none when there is none.
pub(super) fn sample_two(rng: &mut ChaCha8Rng, indices: &[usize]) -> Option<(usize, usize)> {
    let count = indices.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let step = if count > 1 { rng.random_range(1..count) } else { 0 };
    Some((indices[first], indices[(first + step) % count]))
}

/// Returns the index of a random candidate, weighted by share.
///
/// This is used when the reduced shares leave no candidate eligible. Refusing such requests would
/// cause an outage while all backend servers ramp up.
pub(super) fn sample_by_share(rng: &mut ChaCha8Rng, candidates: &[Candidate<'_>]) -> usize {
    let total: u32 = candidates.iter().map(|candidate| u32::from(candidate.share_permille)).sum();
    if total == 0 {
        return rng.random_range(0..candidates.len());
    }
    let mut left = rng.random_range(0..total);
    for (index, candidate) in candidates.iter().enumerate() {
        let share = u32::from(candidate.share_permille);
        if left < share {
            return index;
        }
        left -= share;
    }
    candidates.len() - 1
}
