//! How much load each expert has, from samples of all ranks.
//!
//! DemandEstimator is steady for seconds and then shifts at once. An average over a fixed time is wrong
//! either way: over a long one it holds the time before the shift, over a short one it is noise. So
//! samples are kept in pieces of time, and what came before a shift is dropped when it is seen.

use super::status::CountsSample;
use crate::direct::BootMs;
use std::collections::VecDeque;

/// Time that one piece of samples covers.
const PIECE_MS: u64 = 50;

/// Time that samples are kept while demand is steady. In a group of 12 ranks some 60 requests begin
/// meanwhile, each of which chooses other experts.
const KEPT_MS: u64 = 1_500;

/// Time without samples from which it is skipped: several polls.
const LEAST_GAP_MS: u64 = 500;

/// The newest samples, which are compared with those before: ranks are asked for samples about every
/// 0.1 s, so they are of nearly every rank.
const NEWEST_MS: u64 = 150;

/// Difference between the newest samples and those before from which demand has shifted, in
/// multiples of the difference that chance makes.
const SHIFT_RATIO: f64 = 2.0;

/// The same as a sum over experts of differences of their shares; two unlike demands differ by up to
/// 2. A smaller shift is not worth a change.
const LEAST_SHIFT: f64 = 0.1;

/// Loads by layer and expert.
type Loads = Vec<Vec<f64>>;

/// Choices of experts by layer, as long as they tell of the present demand.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    pieces: VecDeque<Piece>,
    /// The sum of all pieces.
    loads: Loads,
    total_choices: f64,
}

/// Samples of a short time, apart for sources of even and odd numbers.
#[derive(Clone, Debug)]
struct Piece {
    begun_at: BootMs,
    halves: [Loads; 2],
}

impl DemandEstimator {
    /// Adds the choices of one source: a rank or a section of ranks. Sources with even and odd numbers are
    /// compared with each other.
    pub fn add(
        &mut self,
        now: BootMs,
        source: u16,
        experts_per_layer: usize,
        sample: &CountsSample,
    ) {
        if sample.counts.is_empty() || experts_per_layer == 0 {
            return;
        }
        let layers = sample.counts.len() / experts_per_layer;
        let nothing = || vec![vec![0.0; experts_per_layer]; layers];
        if self.loads.len() != layers {
            self.clear();
            self.loads = nothing();
        }
        self.skip_gap(now);
        self.drop_before(now.before(KEPT_MS));
        let is_current = |piece: &Piece| now.since(piece.begun_at) < PIECE_MS;
        if !self.pieces.back().is_some_and(is_current) {
            self.pieces.push_back(Piece { begun_at: now, halves: [nothing(), nothing()] });
        }
        let Some(piece) = self.pieces.back_mut() else { return };
        let half = &mut piece.halves[usize::from(source % 2)];
        let unit = f64::from(sample.unit);
        let sums = self.loads.iter_mut().flatten().zip(half.iter_mut().flatten());
        for ((sum, part), count) in sums.zip(&sample.counts) {
            let choices = f64::from(*count) * unit;
            *sum += choices;
            *part += choices;
            self.total_choices += choices;
        }
    }

    /// Makes a time without samples count as none.
    ///
    /// A group that was away has another map when it is back, and the demand that it had. Without this
    /// the samples would be too old, and the group would be uneven until there are new ones, just when
    /// all that has waited comes.
    fn skip_gap(&mut self, now: BootMs) {
        let Some(newest) = self.pieces.back().map(|piece| piece.begun_at) else { return };
        let gap_ms = now.since(newest);
        if gap_ms > LEAST_GAP_MS {
            for piece in &mut self.pieces {
                piece.begun_at = piece.begun_at.after(gap_ms);
            }
        }
    }

    /// Loads by layer and expert, in choices.
    #[must_use]
    pub fn loads(&self) -> &[Vec<f64>] {
        &self.loads
    }

    /// Choices in the estimate.
    #[must_use]
    pub const fn total_choices(&self) -> f64 {
        self.total_choices
    }

    /// How far the shares of experts lie from the true ones by chance, as a sum over experts.
    ///
    /// It is read off the samples themselves, by comparing those of half of the ranks with the
    /// others': requests choose alike in all their passes, so it depends on how many requests there
    /// are, which nothing tells.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        let [even, odd] = self.sums_since(BootMs(0));
        // Each half is off by the root of two as much as both together, and so is each from the other.
        distance(&even, &odd) / 2.0
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.loads.clear();
        self.total_choices = 0.0;
    }

    /// Drops the samples from before a shift, if the newest ones show one. Returns whether they do.
    ///
    /// A map for a mixture of two demands is uneven for both. One would see two changes after each
    /// shift, the first of which takes as long as the second and brings little.
    pub fn drop_outdated(&mut self, now: BootMs) -> bool {
        let begin = now.before(NEWEST_MS);
        let newest = total(self.sums_since(begin));
        let before: Loads =
            self.loads.iter().zip(&newest).map(|(all, newest)| subtract(all, newest)).collect();
        let (newest_sum, before_sum) = (sum(&newest), sum(&before));
        if newest_sum <= 0.0 || before_sum <= 0.0 {
            return false;
        }
        // Chance goes with the root of the number of choices.
        let parts = self.total_choices / newest_sum + self.total_choices / before_sum;
        let chance = self.uncertainty() * parts.sqrt();
        let has_shifted = distance(&newest, &before) > (SHIFT_RATIO * chance).max(LEAST_SHIFT);
        if has_shifted {
            self.drop_before(begin);
        }
        has_shifted
    }

    fn sums_since(&self, begin: BootMs) -> [Loads; 2] {
        [0, 1].map(|half| {
            let mut sums: Loads = self.loads.iter().map(|it| vec![0.0; it.len()]).collect();
            for piece in self.pieces.iter().filter(|piece| piece.begun_at >= begin) {
                let parts = piece.halves[half].iter().flatten();
                sums.iter_mut().flatten().zip(parts).for_each(|(sum, part)| *sum += part);
            }
            sums
        })
    }

    fn drop_before(&mut self, begin: BootMs) {
        while let Some(piece) = self.pieces.pop_front_if(|piece| piece.begun_at < begin) {
            for half in &piece.halves {
                for (sum, part) in self.loads.iter_mut().flatten().zip(half.iter().flatten()) {
                    *sum -= part;
                    self.total_choices -= part;
                }
            }
        }
    }
}

fn total([even, odd]: [Loads; 2]) -> Loads {
    let mut total = even;
    total.iter_mut().flatten().zip(odd.iter().flatten()).for_each(|(sum, part)| *sum += part);
    total
}

fn subtract(left: &[f64], right: &[f64]) -> Vec<f64> {
    left.iter().zip(right).map(|(left, right)| left - right).collect()
}

fn sum(loads: &Loads) -> f64 {
    loads.iter().flatten().sum()
}

/// How much the shares of experts differ: the mean over layers of the sum over experts.
fn distance(left: &Loads, right: &Loads) -> f64 {
    let of_layer = |(left, right): (&Vec<f64>, &Vec<f64>)| {
        let (left_sum, right_sum): (f64, f64) = (left.iter().sum(), right.iter().sum());
        if left_sum <= 0.0 || right_sum <= 0.0 {
            return 0.0;
        }
        let pairs = left.iter().zip(right);
        pairs.map(|(left, right)| (left / left_sum - right / right_sum).abs()).sum()
    };
    let sum: f64 = left.iter().zip(right).map(of_layer).sum();
    sum / left.len().max(1) as f64
}
