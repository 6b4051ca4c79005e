//! Random draws among candidates.

use super::policy::Candidate;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The full share of a candidate's normal traffic.
const FULL_SHARE_PERMILLE: u16 = 1000;

/// Indices of the candidates that take part in this choice.
///
/// One with a reduced share takes part in only half as many choices as its share says: it is idle,
/// so it wins nearly every comparison, and of two draws it is in one twice as often as its even
/// part. Without the halving a ramp of 10% would be one of 20%.
pub(super) fn usable(rng: &mut ChaCha8Rng, candidates: &[Candidate<'_>]) -> Vec<usize> {
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

/// Distinct entries of `indices`, drawn at random.
pub(super) fn some_of(rng: &mut ChaCha8Rng, indices: &[usize], count: usize) -> Vec<usize> {
    let mut drawn = indices.to_vec();
    for place in 0..count.min(drawn.len()) {
        let other = rng.random_range(place..drawn.len());
        drawn.swap(place, other);
    }
    drawn.truncate(count);
    drawn
}

/// Two distinct entries of `indices`, or the same one twice when there is only one.
pub(super) fn two_of(rng: &mut ChaCha8Rng, indices: &[usize]) -> Option<(usize, usize)> {
    let count = indices.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let step = if count > 1 { rng.random_range(1..count) } else { 0 };
    Some((indices[first], indices[(first + step) % count]))
}

/// One candidate, drawn by share. When no candidate has its full share, shares still say how they
/// compare with each other; refusing the rest would turn a ramp of all into an outage.
pub(super) fn share_weighted(rng: &mut ChaCha8Rng, candidates: &[Candidate<'_>]) -> usize {
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
