//! How popular each expert is with each class of requests.

use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};

/// Standard deviation of the logarithm of an expert's popularity.
const LOG_DEVIATION: f64 = 0.9;
/// Share of that variance which the two classes have in common.
const COMMON_SHARE: f64 = 0.5;
/// Standard deviation of the slow wandering of the logarithm.
const WANDER_DEVIATION: f64 = 0.15;
/// Time constant of the slow wandering.
const WANDER_S: f64 = 6.0 * 3600.0;
/// Standard deviation of the short noise of the logarithm.
const JITTER_DEVIATION: f64 = 0.05;
/// Time constant of the short noise: about the life of a request.
const JITTER_S: f64 = 3.0;

/// Popularity of the experts of one layer.
#[derive(Clone, Debug)]
pub(crate) struct LayerPopularity {
    classes: [Vec<f64>; 2],
    wander: Vec<f64>,
    jitter: Vec<f64>,
}

impl LayerPopularity {
    pub(crate) fn new(experts: usize, rng: &mut ChaCha8Rng) -> Self {
        let common = normals(experts, rng);
        let classes = [class(&common, rng), class(&common, rng)];
        let wander = vec![0.0; experts];
        let jitter = normals(experts, rng).iter().map(|draw| JITTER_DEVIATION * draw).collect();
        Self { classes, wander, jitter }
    }

    /// Advances the wandering and the noise by `span_s` seconds.
    pub(crate) fn advance(&mut self, span_s: f64, wanders: bool, rng: &mut ChaCha8Rng) {
        if wanders {
            advance(&mut self.wander, WANDER_DEVIATION, span_s / WANDER_S, rng);
        }
        advance(&mut self.jitter, JITTER_DEVIATION, span_s / JITTER_S, rng);
    }

    /// Shares of a layer's tokens by expert; they add up to 1.
    pub(crate) fn shares(&self, first: f64, hot: (usize, f64), with_jitter: bool) -> Vec<f64> {
        let experts = self.wander.len();
        let mut shares = Vec::with_capacity(experts);
        for expert in 0..experts {
            let mix = first * self.classes[0][expert] + (1.0 - first) * self.classes[1][expert];
            let jitter = if with_jitter { self.jitter[expert] } else { 0.0 };
            shares.push(mix * (self.wander[expert] + jitter).exp());
        }
        let mean = shares.iter().sum::<f64>() / experts as f64;
        shares[hot.0] += hot.1 * mean;
        normalise(&mut shares);
        shares
    }
}

fn class(common: &[f64], rng: &mut ChaCha8Rng) -> Vec<f64> {
    let own = normals(common.len(), rng);
    let pairs = common.iter().zip(&own);
    let log =
        |pair: (&f64, &f64)| COMMON_SHARE.sqrt() * pair.0 + (1.0 - COMMON_SHARE).sqrt() * pair.1;
    let mut shares: Vec<f64> = pairs.map(|pair| (LOG_DEVIATION * log(pair)).exp()).collect();
    normalise(&mut shares);
    shares
}

fn normals(count: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    (0..count).map(|_| StandardNormal.sample(rng)).collect()
}

fn normalise(shares: &mut [f64]) {
    let sum: f64 = shares.iter().sum();
    shares.iter_mut().for_each(|share| *share /= sum);
}

fn advance(values: &mut [f64], deviation: f64, constants: f64, rng: &mut ChaCha8Rng) {
    let kept = (-constants).exp();
    let fresh = deviation * (1.0 - kept * kept).sqrt();
    for value in values {
        let draw: f64 = StandardNormal.sample(rng);
        *value = kept * *value + fresh * draw;
    }
}
