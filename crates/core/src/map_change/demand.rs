//! Estimates the load of each expert from samples of all ranks.
//!
//! Demand is steady for seconds and then shifts abruptly. A moving average with a long window
//! includes the time before the shift, and one with a short window is noisy. Samples are therefore
//! kept in time buckets, and the buckets from before a shift are dropped when the shift is
//! detected.

use super::status::CountsSample;
use crate::direct::BootMs;
use std::collections::VecDeque;

/// Time span of one bucket of samples.
const BUCKET_MS: u64 = 50;

/// Time for which samples are kept while demand is steady. In a group of 12 ranks some 60 requests
/// begin in that time, each of which chooses other experts.
const RETENTION_MS: u64 = 1_500;

/// Shortest time without samples that is excluded from the age of the samples: several polls.
const MIN_GAP_MS: u64 = 500;

/// Time span of the newest samples, which are compared with the older ones. Ranks are polled about
/// every 0.1 s, so it covers nearly every rank.
const NEWEST_MS: u64 = 150;

/// Difference between the newest and the older samples from which demand counts as shifted, in
/// multiples of the difference expected by chance.
const SHIFT_RATIO: f64 = 2.0;

/// Least difference for a shift, as the sum over experts of the differences of their shares, which
/// is 2 for entirely different demands. A smaller shift is not worth a change.
const MIN_SHIFT: f64 = 0.1;

/// Loads by layer and expert.
type Loads = Vec<Vec<f64>>;

/// Estimates the present demand for each expert, by layer.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    buckets: VecDeque<Bucket>,
    /// Sum of all buckets.
    loads: Loads,
    total_choices: f64,
}

/// Samples of a short time span, separate for sources with even and odd numbers.
#[derive(Clone, Debug)]
struct Bucket {
    begun_at: BootMs,
    halves: [Loads; 2],
}

impl DemandEstimator {
    /// Adds the choices of one source, which is a rank or a section of ranks. The sums of sources
    /// with even and odd numbers are compared to estimate the uncertainty.
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
        let zeros = || vec![vec![0.0; experts_per_layer]; layers];
        if self.loads.len() != layers {
            self.clear();
            self.loads = zeros();
        }
        self.skip_gap(now);
        self.drop_before(now.before(RETENTION_MS));
        let is_current = |bucket: &Bucket| now.since(bucket.begun_at) < BUCKET_MS;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket { begun_at: now, halves: [zeros(), zeros()] });
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        let half = &mut bucket.halves[usize::from(source % 2)];
        let unit = f64::from(sample.unit);
        let sums = self.loads.iter_mut().flatten().zip(half.iter_mut().flatten());
        for ((sum, part), count) in sums.zip(&sample.counts) {
            let choices = f64::from(*count) * unit;
            *sum += choices;
            *part += choices;
            self.total_choices += choices;
        }
    }

    /// Excludes a long gap without samples from the age of the samples.
    ///
    /// A group that was down has another map when it is formed again, but the same demand as
    /// before. Without this the samples would be too old, and the group would stay unbalanced until
    /// new ones arrive, just when the backlog of requests reaches it.
    fn skip_gap(&mut self, now: BootMs) {
        let Some(newest) = self.buckets.back().map(|bucket| bucket.begun_at) else { return };
        let gap_ms = now.since(newest);
        if gap_ms > MIN_GAP_MS {
            for bucket in &mut self.buckets {
                bucket.begun_at = bucket.begun_at.after(gap_ms);
            }
        }
    }

    /// Returns the loads by layer and expert, in choices.
    #[must_use]
    pub fn loads(&self) -> &[Vec<f64>] {
        &self.loads
    }

    /// Returns the number of choices in the estimate.
    #[must_use]
    pub const fn total_choices(&self) -> f64 {
        self.total_choices
    }

    /// Returns the expected random error of the shares of experts, as a sum over experts.
    ///
    /// It is derived from the samples, by comparing those of one half of the ranks with the other
    /// half. Each request chooses similar experts in all its passes, so the error depends on the
    /// number of requests, which is not reported.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        let [even, odd] = self.sums_since(BootMs(0));
        // The error of each half is the square root of two times that of the whole, and the
        // distance between the halves is larger by the same factor again.
        distance(&even, &odd) / 2.0
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.loads.clear();
        self.total_choices = 0.0;
    }

    /// Drops the samples from before a shift if the newest ones show a shift. Returns whether they
    /// do.
    ///
    /// A map for a mixture of two demands is unbalanced for both. Without this, each shift would
    /// cause two changes, the first of which takes as long as the second and gains little.
    pub fn drop_outdated(&mut self, now: BootMs) -> bool {
        let begin = now.before(NEWEST_MS);
        let newest = total(self.sums_since(begin));
        let before: Loads =
            self.loads.iter().zip(&newest).map(|(all, newest)| subtract(all, newest)).collect();
        let (newest_sum, before_sum) = (sum(&newest), sum(&before));
        if newest_sum <= 0.0 || before_sum <= 0.0 {
            return false;
        }
        // The random error is inversely proportional to the square root of the number of choices.
        let parts = self.total_choices / newest_sum + self.total_choices / before_sum;
        let chance = self.uncertainty() * parts.sqrt();
        let has_shifted = distance(&newest, &before) > (SHIFT_RATIO * chance).max(MIN_SHIFT);
        if has_shifted {
            self.drop_before(begin);
        }
        has_shifted
    }

    fn sums_since(&self, begin: BootMs) -> [Loads; 2] {
        [0, 1].map(|half| {
            let mut sums: Loads = self.loads.iter().map(|it| vec![0.0; it.len()]).collect();
            for bucket in self.buckets.iter().filter(|bucket| bucket.begun_at >= begin) {
                let parts = bucket.halves[half].iter().flatten();
                sums.iter_mut().flatten().zip(parts).for_each(|(sum, part)| *sum += part);
            }
            sums
        })
    }

    fn drop_before(&mut self, begin: BootMs) {
        while let Some(bucket) = self.buckets.pop_front_if(|bucket| bucket.begun_at < begin) {
            for half in &bucket.halves {
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

/// Returns the difference of the shares of experts: the mean over layers of the sum over experts.
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
