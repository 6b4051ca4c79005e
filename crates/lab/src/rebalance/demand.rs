//! How demand shifts during a trace.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::f64::consts::TAU;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// Swing of the daily mix around one half.
const DAILY_SWING: f64 = 0.4;
/// Shares of the first class of requests before and after a sudden change.
const CLASS_SHARES: [f64; 2] = [0.85, 0.1];
/// Shortest and longest span between sudden changes.
const PHASE_S: std::ops::Range<f64> = 240.0..720.0;
/// Factor by which the hot expert's popularity rises, in multiples of the mean expert.
const HOT_MEANS: f64 = 6.0;
/// The hot expert is hot during this part of the trace.
const HOT_PART: std::ops::Range<f64> = 0.35..0.7;

/// A pattern of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Demand {
    /// Site-plan reviews against status lookups: the mix follows the day, and the popularity of
    /// each expert wanders over hours.
    DailyDrift,
    /// Essays against words: the mix changes suddenly every few minutes.
    ClassChange,
    /// One expert in each layer becomes hot for a third of the trace.
    HotExpert,
    /// Steady demand with noise.
    NoiseOnly,
}

/// A pattern with the moments drawn for one trace.
#[derive(Clone, Debug)]
pub(crate) struct DemandCourse {
    demand: Demand,
    length_s: f64,
    changes_s: Vec<f64>,
}

impl DemandCourse {
    pub(crate) fn new(demand: Demand, length_s: f64, rng: &mut ChaCha8Rng) -> Self {
        let mut changes_s = Vec::new();
        let mut at_s = 0.0;
        while at_s < length_s {
            at_s += rng.random_range(PHASE_S);
            changes_s.push(at_s);
        }
        Self { demand, length_s, changes_s }
    }

    /// Share of the first class of requests at a moment of the trace.
    pub(crate) fn first_share(&self, at_s: f64) -> f64 {
        match self.demand {
            Demand::DailyDrift => 0.5 + DAILY_SWING * (TAU * at_s / DAY_S).sin(),
            Demand::ClassChange => {
                let changes = self.changes_s.iter().filter(|change_s| **change_s <= at_s).count();
                CLASS_SHARES[changes % CLASS_SHARES.len()]
            }
            Demand::HotExpert | Demand::NoiseOnly => 0.5,
        }
    }

    /// Popularity that the hot expert gains, in multiples of the mean expert.
    pub(crate) fn hot_means(&self, at_s: f64) -> f64 {
        let part = at_s / self.length_s;
        let is_hot = self.demand == Demand::HotExpert && HOT_PART.contains(&part);
        if is_hot { HOT_MEANS } else { 0.0 }
    }

    /// Whether the popularity of experts wanders.
    pub(crate) fn wanders(&self) -> bool {
        self.demand == Demand::DailyDrift
    }
}
