//! Noise of per-expert loads, from differences between reports.
//!
//! Differences are blind to slow drift, which would otherwise count as noise. Two distances, one
//! report and [`LONG_LAG_REPORTS`], show how far noise is correlated in time: requests live for
//! many steps, so neighbouring reports share most of their tokens.

use std::collections::VecDeque;

/// Distance in reports at which noise counts as independent.
const LONG_LAG_REPORTS: usize = 4;
/// Weight of a new difference in the running variance.
const GAIN: f64 = 1.0 / 30.0;
/// Differences needed before outliers are bounded.
const SETTLED_REPORTS: u32 = 20;
/// A squared difference counts at most this multiple of the present variance.
///
/// Without the bound, a sudden change of demand inflates the variance for minutes; the significance
/// test then keeps the group on a map that no longer fits, visible as skew without a change.
const OUTLIER_RATIO: f64 = 9.0;
/// Highest correlation of neighbouring reports that is believed.
const MAX_CORRELATION: f64 = 0.9;
/// Halvings of the interval in which the correlation lies.
const BISECTIONS: u32 = 16;

/// Noise of the experts of one layer.
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

    /// Takes loads in tokens a step, averaged over `steps` steps.
    pub(crate) fn observe(&mut self, loads: &[f64], steps: f64) {
        if self.recent.len() == LONG_LAG_REPORTS {
            self.update(loads, steps);
        }
        let mut slot = match self.recent.len() == LONG_LAG_REPORTS {
            true => self.recent.pop_front().unwrap_or_default(),
            false => Vec::with_capacity(loads.len()),
        };
        slot.clear();
        slot.extend_from_slice(loads);
        self.recent.push_back(slot);
    }

    fn update(&mut self, loads: &[f64], steps: f64) {
        self.reports = self.reports.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.reports));
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

    /// Whether enough reports were seen to judge anything.
    pub(crate) fn is_settled(&self) -> bool {
        self.reports >= SETTLED_REPORTS
    }

    /// Variance of one report's load, in square tokens a step; at least that of counting.
    ///
    /// Half of it comes from the layer as a whole. An expert's own variance rests on few differences
    /// and is now and then far too small; the significance test would then let noise pass.
    pub(crate) fn report_variance(&self, expert: usize, load: f64, steps: f64) -> f64 {
        let floor = load.max(1.0) / steps;
        let pooled = floor * self.long_sum / self.variance.len() as f64;
        (pooled.midpoint(self.variance[expert])).max(floor)
    }

    /// How many reports carry as much information as one independent one; at least 1.
    ///
    /// Takes noise for a first-order autoregression, for which the variances at lags 1 and 4 are as
    /// 1 to 1 + r + r^2 + r^3. The result also makes up for the part of the variance that the long
    /// lag does not show.
    pub(crate) fn correlated_reports(&self) -> f64 {
        if self.short_sum <= 0.0 {
            return 1.0;
        }
        let correlation = correlation(self.long_sum / self.short_sum);
        let shown = 1.0 - correlation.powi(LONG_LAG_REPORTS as i32);
        (1.0 + correlation) / (1.0 - correlation) / shown
    }
}

/// Solves 1 + r + r^2 + r^3 = `ratio` for r, bounded to what is believed.
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
