//! Learns how far callers' estimates of the output are off.
//!
//! An estimate that is right in the median, but often far off, says less than it seems to: very
//! long estimates are mostly too long and very short ones too short. So the expected output lies
//! between the usual one and the estimate, the nearer to the estimate the better estimates of the
//! route were.

use indexmap::IndexMap;

/// Number of made-up streams with which a route begins, whose estimates were right. Until as many
/// have finished, the estimates are trusted more than corrected.
const PRIOR_STREAMS: f64 = 16.0;

/// Spread of the estimates of these streams, as a variance of logarithms. It is that of outputs
/// between an eighth and eight times the usual one.
const PRIOR_VARIANCE: f64 = 1.0;

/// Number of streams over which the means are taken at most, so that they follow a route whose
/// callers change.
const MAX_STREAMS: f64 = 500.0;

/// Largest logarithm of a ratio of tokens that counts: a factor of twenty. A single wild sample must
/// not outweigh the others.
const MAX_LOG_RATIO: f64 = 3.0;

/// Largest factor by which the expected output may differ from the estimate.
const MAX_CORRECTION: f64 = 8.0;

/// Most routes that are kept. Names come from the configuration, which changes over time.
const MAX_ROUTES: usize = 1_024;

/// How far callers' estimates of the output are off, by route.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimator {
    routes: IndexMap<String, Accuracy>,
}

/// Moving moments of the logarithms of estimated and observed outputs, both relative to the usual
/// output.
#[derive(Clone, Copy, Debug)]
struct Accuracy {
    streams: f64,
    mean_estimated: f64,
    mean_observed: f64,
    variance_estimated: f64,
    variance_observed: f64,
    covariance: f64,
}

impl Default for Accuracy {
    fn default() -> Self {
        Self {
            streams: PRIOR_STREAMS,
            mean_estimated: 0.0,
            mean_observed: 0.0,
            variance_estimated: PRIOR_VARIANCE,
            variance_observed: PRIOR_VARIANCE,
            covariance: PRIOR_VARIANCE,
        }
    }
}

impl WorkEstimator {
    /// Returns the tokens of output to expect of a request of `route` whose caller expects
    /// `estimate`, in a service whose outputs have `usual` tokens in the mean.
    #[must_use]
    pub fn expected(&self, route: &str, estimate: f64, usual: f64) -> f64 {
        let estimate = estimate.max(1.0);
        let Some(accuracy) = self.routes.get(route) else { return estimate };
        let expected = usual * accuracy.expected(log_ratio(estimate, usual)).exp();
        expected.clamp(estimate / MAX_CORRECTION, estimate * MAX_CORRECTION)
    }

    /// Records that a stream of `route` finished after `observed` events, whose caller expected
    /// `estimate`.
    pub fn note_finished(&mut self, route: &str, estimate: f64, usual: f64, observed: u64) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.swap_remove_index(0);
            }
            self.routes.insert(route.to_owned(), Accuracy::default());
        }
        let observed = log_ratio((observed as f64).max(1.0), usual);
        self.routes[route].note(log_ratio(estimate.max(1.0), usual), observed);
    }
}

/// Returns the logarithm of the ratio of two positive numbers of tokens, bounded.
fn log_ratio(tokens: f64, usual: f64) -> f64 {
    (tokens / usual).ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}

impl Accuracy {
    /// Returns the logarithm of the mean output to expect, by linear regression of the logarithms.
    fn expected(&self, estimated: f64) -> f64 {
        let slope = (self.covariance / self.variance_estimated.max(f64::EPSILON)).clamp(0.0, 1.0);
        let rest = (self.variance_observed - slope * self.covariance).max(0.0);
        // The mean of a log-normal distribution exceeds its median by half of its variance.
        self.mean_observed + slope * (estimated - self.mean_estimated) + rest / 2.0
    }

    fn note(&mut self, estimated: f64, observed: f64) {
        self.streams = (self.streams + 1.0).min(MAX_STREAMS);
        let weight = 1.0 / self.streams;
        let (off_estimated, off_observed) =
            (estimated - self.mean_estimated, observed - self.mean_observed);
        self.mean_estimated += off_estimated * weight;
        self.mean_observed += off_observed * weight;
        let decay = 1.0 - weight;
        let moment = |kept: f64, product: f64| (kept + product * weight) * decay;
        self.variance_estimated = moment(self.variance_estimated, off_estimated * off_estimated);
        self.variance_observed = moment(self.variance_observed, off_observed * off_observed);
        self.covariance = moment(self.covariance, off_estimated * off_observed);
    }
}
