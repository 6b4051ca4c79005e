//! How much load each expert has, from samples of all ranks.
//!
//! Demand is steady for seconds and then shifts at once. An average over a fixed time is wrong
//! either way: over a long one it holds the time before the shift, over a short one it is noise. So
//! samples are kept in pieces of time, and what came before a shift is dropped when it is seen.

use crate::direct::BootMs;
use std::collections::VecDeque;

/// Time that one piece of samples covers.
const PIECE_MS: u64 = 50;

/// Time that samples are kept while demand is steady: about ten passes.
const KEPT_MS: u64 = 800;

/// The newest samples, which are compared with those before: ranks are asked for samples about every
/// 0.1 s, so they are of nearly every rank.
const NEWEST_MS: u64 = 150;

/// Difference between the newest samples and those before from which demand has shifted. Two
/// unlike demands differ by up to 2. Seen in steady times: 0.1 to 0.3 in a group of 12 ranks, 0.03 to
/// 0.15 in one of 63; after a shift 0.7 and more.
const SHIFT_DISTANCE: f64 = 0.4;

/// Choices of experts by layer, as long as they tell of the present demand.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    pieces: VecDeque<Piece>,
    /// The sum of all pieces.
    loads: Vec<Vec<f64>>,
    seen: f64,
}

/// Samples of a short time.
#[derive(Clone, Debug)]
struct Piece {
    begun_at: BootMs,
    loads: Vec<Vec<f64>>,
}

impl Demand {
    /// Adds one rank's choices.
    pub fn add(&mut self, now: BootMs, experts_per_layer: usize, choices: &[u32]) {
        if choices.is_empty() || experts_per_layer == 0 {
            return;
        }
        let layers = choices.len() / experts_per_layer;
        if self.loads.len() != layers {
            self.clear();
            self.loads = vec![vec![0.0; experts_per_layer]; layers];
        }
        self.drop_before(now.before(KEPT_MS));
        let is_current = |piece: &Piece| now.since(piece.begun_at) < PIECE_MS;
        if !self.pieces.back().is_some_and(is_current) {
            let loads = vec![vec![0.0; experts_per_layer]; layers];
            self.pieces.push_back(Piece { begun_at: now, loads });
        }
        let Some(piece) = self.pieces.back_mut() else { return };
        let counted = choices.chunks_exact(experts_per_layer);
        for ((sum, part), choices) in self.loads.iter_mut().zip(&mut piece.loads).zip(counted) {
            for ((sum, part), choices) in sum.iter_mut().zip(part).zip(choices) {
                *sum += f64::from(*choices);
                *part += f64::from(*choices);
            }
        }
        self.seen += choices.iter().copied().map(f64::from).sum::<f64>();
    }

    /// Loads by layer and expert, in choices.
    #[must_use]
    pub fn loads(&self) -> &[Vec<f64>] {
        &self.loads
    }

    /// Choices in the estimate.
    #[must_use]
    pub const fn seen(&self) -> f64 {
        self.seen
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.loads.clear();
        self.seen = 0.0;
    }

    /// Drops the samples from before a shift, if the newest ones show one. Returns whether they do.
    ///
    /// A map for a mixture of two demands is uneven for both. One would see two changes after each
    /// shift, the first of which takes as long as the second and brings little.
    pub fn drop_outdated(&mut self, now: BootMs) -> bool {
        let begin = now.before(NEWEST_MS);
        let newest = self.sum_since(begin);
        let has_shifted = distance(&self.loads, &newest) > SHIFT_DISTANCE;
        if has_shifted {
            self.drop_before(begin);
        }
        has_shifted
    }

    fn sum_since(&self, begin: BootMs) -> Vec<Vec<f64>> {
        let mut sum: Vec<Vec<f64>> = self.loads.iter().map(|it| vec![0.0; it.len()]).collect();
        for piece in self.pieces.iter().filter(|piece| piece.begun_at >= begin) {
            for (sum, part) in sum.iter_mut().flatten().zip(piece.loads.iter().flatten()) {
                *sum += part;
            }
        }
        sum
    }

    fn drop_before(&mut self, begin: BootMs) {
        while let Some(piece) = self.pieces.pop_front_if(|piece| piece.begun_at < begin) {
            for (sum, part) in self.loads.iter_mut().flatten().zip(piece.loads.iter().flatten()) {
                *sum -= part;
                self.seen -= part;
            }
        }
    }
}

/// How much the shares of experts in the newest choices differ from those in the rest of `all`: the
/// mean over layers of the sum over experts, less where the rest is so little that chance alone
/// makes it differ.
fn distance(all: &[Vec<f64>], newest: &[Vec<f64>]) -> f64 {
    let mut sum = 0.0;
    for (all, newest) in all.iter().zip(newest) {
        let newest_sum: f64 = newest.iter().sum();
        let before_sum = all.iter().sum::<f64>() - newest_sum;
        if newest_sum <= 0.0 || before_sum <= 0.0 {
            continue;
        }
        let pairs = all.iter().zip(newest);
        let change =
            |(all, newest): (&f64, &f64)| (newest / newest_sum - (all - newest) / before_sum).abs();
        sum += pairs.map(change).sum::<f64>() / (1.0 + newest_sum / before_sum).sqrt();
    }
    sum / all.len().max(1) as f64
}
