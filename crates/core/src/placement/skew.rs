//! Predicts the skew of a layer: the difference between its slowest and its fastest rank.
//!
//! Even a perfect map has skew in every step, because the tokens of one step are a random sample.
//! The prediction therefore uses a smooth maximum and minimum whose softness follows that sampling
//! noise. It accounts for ranks that are nearly as slow as the slowest, and it predicts no gain
//! from removing differences within the noise.

use crate::placement::expert_map::LayerPlacement;

/// Softness of the extremes as a share of the standard deviation of one rank's load in one step.
///
/// With this value, the smooth extremes of 8 to 64 equal ranks lie within a tenth of the mean
/// extremes of as many normal draws.
const SOFTNESS_PER_DEVIATION: f64 = 0.6;
/// Minimum softness as a share of the mean load, which keeps the exponents within range.
const MIN_SOFTNESS: f64 = 0.01;

/// Returns the softness for a mean rank load in tokens per step, if token counts are independent.
pub(crate) fn softness_tokens(mean_tokens: f64) -> f64 {
    let softness = SOFTNESS_PER_DEVIATION * mean_tokens.max(0.0).sqrt();
    softness.max(MIN_SOFTNESS * mean_tokens).max(f64::MIN_POSITIVE)
}

/// The spread between the smooth maximum and minimum of rank loads.
///
/// Keeps the terms of each rank, so that trial changes of a few ranks are cheap to evaluate.
#[derive(Clone, Debug)]
pub(crate) struct SmoothSpread {
    softness: f64,
    highest: f64,
    lowest: f64,
    terms: Vec<RankTerms>,
}

/// One rank's terms in the sums for the smooth maximum (`peak`) and minimum (`trough`).
#[derive(Clone, Copy, Debug)]
struct RankTerms {
    load: f64,
    peak: f64,
    trough: f64,
}

impl SmoothSpread {
    pub(crate) fn new(rank_loads: &[f64], softness: f64) -> Self {
        let highest = rank_loads.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let lowest = rank_loads.iter().copied().fold(f64::INFINITY, f64::min);
        let mut spread = Self { softness, highest, lowest, terms: Vec::new() };
        spread.terms = rank_loads.iter().map(|load| spread.terms_at(*load)).collect();
        spread
    }

    fn terms_at(&self, load: f64) -> RankTerms {
        let peak = ((load - self.highest) / self.softness).exp();
        let trough = ((self.lowest - load) / self.softness).exp();
        RankTerms { load, peak, trough }
    }

    /// Returns the spread in the unit of the loads.
    pub(crate) fn value(&self) -> f64 {
        let peak_sum = self.terms.iter().map(|terms| terms.peak).sum();
        let trough_sum = self.terms.iter().map(|terms| terms.trough).sum();
        self.spread(peak_sum, trough_sum)
    }

    /// Returns the spread after each rank's load changes by its entry in `deltas`.
    ///
    /// The sums are recomputed in full. Subtracting the terms of a very slow rank from a running
    /// sum would cancel all digits of the others, and the trial would show a gain that does not
    /// exist.
    pub(crate) fn value_with_deltas(&self, deltas: &[f64]) -> f64 {
        let (mut peak_sum, mut trough_sum) = (0.0, 0.0);
        for (terms, delta) in self.terms.iter().zip(deltas) {
            let terms = if *delta == 0.0 { *terms } else { self.terms_at(terms.load + delta) };
            peak_sum += terms.peak;
            trough_sum += terms.trough;
        }
        self.spread(peak_sum, trough_sum)
    }

    fn spread(&self, peak_sum: f64, trough_sum: f64) -> f64 {
        let peak = peak_sum.max(f64::MIN_POSITIVE).ln();
        let trough = trough_sum.max(f64::MIN_POSITIVE).ln();
        self.highest - self.lowest + self.softness * (peak + trough)
    }
}

/// Returns the predicted skew of a layer: the load of the slowest rank minus that of the fastest,
/// as a share of the mean.
///
/// `loads` holds the tokens per step of each expert. The skew of a layer without load is 0.
#[must_use]
pub fn layer_skew(placed: &LayerPlacement, loads: &[f64]) -> f64 {
    let rank_loads = placed.rank_loads(loads);
    let mean = rank_loads.iter().sum::<f64>() / rank_loads.len().max(1) as f64;
    if mean <= 0.0 {
        return 0.0;
    }
    SmoothSpread::new(&rank_loads, softness_tokens(mean)).value() / mean
}
