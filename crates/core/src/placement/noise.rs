//! Estimates the noise of per-expert loads from differences between reports.
//!
//! Differences between reports cancel slow drift, which a variance around the mean would count as
//! noise. Differences are taken at a lag of one report and at a lag of [`LONG_LAG_REPORTS`]; their
//! ratio shows how strongly noise is correlated in time. It is correlated because requests last for
//! many steps, so neighbouring reports share most of their requests.

use std::collections::VecDeque;

/// Lag in reports at which noise is treated as independent.
const LONG_LAG_REPORTS: usize = 4;
/// Weight of a new difference in the running variance once many reports have been seen.
const MIN_GAIN: f64 = 1.0 / 30.0;
/// Number of differences after which the variance is usable and outliers are bounded.
const SETTLED_REPORTS: u32 = 20;
/// Maximum ratio of a squared difference to the current variance; larger differences are clipped.
///
/// Without the limit, a sudden change of demand inflates the variance for minutes. The significance
/// test then keeps the group on a map that no longer fits, and skew persists without a change.
const OUTLIER_RATIO: f64 = 9.0;
/// Upper limit for the estimated correlation of neighbouring reports.
const MAX_CORRELATION: f64 = 0.9;
/// Number of bisection steps when solving for the correlation.
const BISECTIONS: u32 = 16;

/// A running estimate of the noise in the loads of one layer's experts.
#[derive(Clone, Debug)]
pub(crate) struct LayerNoise {
    variance: Vec<f64>,
    short_sum: f64,
    long_sum: f64,
    reports: u32,
    recent: VecDeque<Vec<f64>>,
}

impl LayerNoise {
    pub(crate) fn new(experts: usize) -> Self {
        Self {
            variance: vec![0.0; experts],
            short_sum: 0.0,
            long_sum: 0.0,
            reports: 0,
            recent: VecDeque::with_capacity(LONG_LAG_REPORTS + 1),
        }
    }

    /// Adds a report's loads in tokens per step, averaged over `steps` steps.
    pub(crate) fn observe(&mut self, loads: &[f64], steps: f64) {
        if self.recent.len() == LONG_LAG_REPORTS {
            self.update(loads, steps);
        }
        let mut buffer = match self.recent.len() == LONG_LAG_REPORTS {
            true => self.recent.pop_front().unwrap_or_default(),
            false => Vec::with_capacity(loads.len()),
        };
        buffer.clear();
        buffer.extend_from_slice(loads);
        self.recent.push_back(buffer);
    }

    fn update(&mut self, loads: &[f64], steps: f64) {
        self.reports = self.reports.saturating_add(1);
        let gain = MIN_GAIN.max(1.0 / f64::from(self.reports));
        let far = &self.recent[0];
        let near = &self.recent[LONG_LAG_REPORTS - 1];
        let (mut short_sum, mut long_sum) = (0.0, 0.0);
        for (expert, load) in loads.iter().enumerate() {
            let floor = load.max(1.0) / steps;
            let bound = match self.reports > SETTLED_REPORTS {
                true => OUTLIER_RATIO * self.variance[expert].max(floor),
                false => f64::INFINITY,
            };
            let long = half_square(load - far[expert]).min(bound);
            let short = half_square(load - near[expert]).min(bound);
            let running = self.variance[expert];
            self.variance[expert] = running + gain * (long - running);
            long_sum += long / floor;
            short_sum += short / floor;
        }
        self.long_sum += gain * (long_sum - self.long_sum);
        self.short_sum += gain * (short_sum - self.short_sum);
    }

    /// Returns whether enough reports were seen for the estimates to be usable.
    pub(crate) fn is_settled(&self) -> bool {
        self.reports >= SETTLED_REPORTS
    }

    /// Returns the variance of one report's load, in squared tokens per step. It is at least the
    /// variance of independent token counts.
    ///
    /// The expert's own variance and one pooled over the layer are averaged. An expert's own
    /// variance is estimated from few differences and is sometimes far too small, so that noise
    /// would pass the significance test.
    pub(crate) fn report_variance(&self, expert: usize, load: f64, steps: f64) -> f64 {
        let floor = load.max(1.0) / steps;
        let pooled = floor * self.long_sum / self.variance.len() as f64;
        (pooled.midpoint(self.variance[expert])).max(floor)
    }

    /// Returns how many reports carry as much information as one independent report; at least 1.
    ///
    /// Models noise as a first-order autoregression with correlation r, for which the variances of
    /// differences at lags 1 and 4 have the ratio 1 to 1 + r + r^2 + r^3. The result also corrects
    /// for the part of the variance that differences at the long lag do not show.
    pub(crate) fn correlated_reports(&self) -> f64 {
        if self.short_sum <= 0.0 {
            return 1.0;
        }
        let correlation = correlation(self.long_sum / self.short_sum);
        let shown = 1.0 - correlation.powi(LONG_LAG_REPORTS as i32);
        (1.0 + correlation) / (1.0 - correlation) / shown
    }
}

/// Solves 1 + r + r^2 + r^3 = `ratio` for r by bisection between 0 and [`MAX_CORRELATION`].
fn correlation(ratio: f64) -> f64 {
    let (mut low, mut high) = (0.0, MAX_CORRELATION);
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        let is_low = 1.0 + middle * (1.0 + middle * (1.0 + middle)) < ratio;
        if is_low { low = middle } else { high = middle }
    }
    low
}

fn half_square(difference: f64) -> f64 {
    difference * difference / 2.0
}
