//! The experiments: deployments, sizes, demand and policies.

use crate::rebalance::demand::Demand;
use hickorycross_config::Balance;
use hickorycross_core::UnixMs;
use hickorycross_core::placement::{
    GroupShape, PeriodicPolicy, RebalancePolicy, StaticPolicy, ThresholdPolicy, WeightedPolicy,
    WeightedPolicySettings,
};
use serde::{Deserialize, Serialize};

/// Layers in a trace.
const TRACED_LAYERS: u16 = 4;
/// Layers of the model that the trace stands for. The store's rate is scaled by the same share, so
/// that a change takes as long as it would with all layers.
const MODEL_LAYERS: u64 = 60;
/// Bytes a second that the weight store grants.
const STORE_BYTES_PER_S: u64 = 4_000_000_000;
/// Tokens that each rank processes on average in one layer of one step.
const TOKENS_PER_RANK: f64 = 512.0;
/// Slots of a rank beyond those that one copy of each expert needs.
const SPARE_SLOTS: u16 = 2;
/// Skew above which [`ThresholdPolicy`] acts.
const THRESHOLD: f64 = 0.3;
/// Cool-down of [`ThresholdPolicy`].
const THRESHOLD_COOL_DOWN_MS: u64 = 30_000;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Whose weights an experiment runs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Weighs rebalancing cost more.
    Wodoprzylacze,
    /// Weighs skew more.
    Saraswati,
}

impl Deployment {
    /// The weights of the deployment's document, with the store's rate scaled to the trace.
    #[must_use]
    pub fn balance(self) -> Balance {
        let (skew_weight, rebalance_cost_weight) = match self {
            Self::Wodoprzylacze => (1.0, 10.0),
            Self::Saraswati => (10.0, 1.0),
        };
        let scaled = STORE_BYTES_PER_S * u64::from(TRACED_LAYERS) / MODEL_LAYERS;
        Balance { skew_weight, rebalance_cost_weight, weight_store_bytes_per_s: scaled }
    }
}

/// The policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The first map for ever.
    Static,
    /// A full repacking at fixed intervals.
    Periodic,
    /// Edits above a fixed skew.
    Threshold,
    /// The policy of the product.
    Weighted,
    /// The omniscient map for each window.
    Bound,
}

impl PolicyKind {
    /// All policies, the bound last.
    pub const ALL: [Self; 5] =
        [Self::Static, Self::Periodic, Self::Threshold, Self::Weighted, Self::Bound];

    /// A short name.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Static => "static",
            Self::Periodic => "periodic",
            Self::Threshold => "threshold",
            Self::Weighted => "weighted",
            Self::Bound => "bound",
        }
    }

    /// Makes the policy; the bound is none.
    #[must_use]
    pub fn policy(self, experiment: &Experiment) -> Option<Box<dyn RebalancePolicy>> {
        let shape = experiment.shape;
        match self {
            Self::Static => Some(Box::new(StaticPolicy)),
            Self::Periodic => {
                let period_ms = experiment.period_s * MS_PER_S;
                Some(Box::new(PeriodicPolicy::new(shape, period_ms, UnixMs(period_ms))))
            }
            Self::Threshold => {
                Some(Box::new(ThresholdPolicy::new(shape, THRESHOLD, THRESHOLD_COOL_DOWN_MS)))
            }
            Self::Weighted => {
                let settings = WeightedPolicySettings::new(experiment.balance);
                Some(Box::new(WeightedPolicy::new(shape, &settings)))
            }
            Self::Bound => None,
        }
    }
}

/// One trace model with one set of weights and one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Names the experiment in files.
    pub name: String,
    /// Whose weights it runs with.
    pub deployment: Deployment,
    /// The weights.
    pub balance: Balance,
    /// How demand shifts.
    pub demand: Demand,
    /// Size of the group.
    pub shape: GroupShape,
    /// Tokens in one layer of one step, over all ranks.
    pub tokens_per_step: f64,
    /// Seconds of the trace.
    pub length_s: u64,
    /// Seconds that one report covers; reports lag by as much.
    pub report_s: u64,
    /// Seconds between full repackings by the periodic baseline.
    pub period_s: u64,
    /// Reports in each window of the bound.
    pub ticks_per_window: u32,
}

/// Sizes of the groups.
#[derive(Clone, Copy, Debug)]
struct Size {
    ranks: u16,
    experts: u16,
    expert_bytes: u64,
}

const SIZES: [Size; 2] = [
    Size { ranks: 8, experts: 64, expert_bytes: 8_000_000 },
    Size { ranks: 32, experts: 256, expert_bytes: 24_000_000 },
];

/// All experiments of the comparison.
#[must_use]
pub fn experiments() -> Vec<Experiment> {
    let cases = [
        (Deployment::Wodoprzylacze, Demand::DailyDrift),
        (Deployment::Saraswati, Demand::ClassChange),
        (Deployment::Wodoprzylacze, Demand::HotExpert),
        (Deployment::Saraswati, Demand::HotExpert),
        (Deployment::Wodoprzylacze, Demand::NoiseOnly),
        (Deployment::Saraswati, Demand::NoiseOnly),
    ];
    let sized = |size: Size| cases.map(|(deployment, demand)| experiment(deployment, demand, size));
    SIZES.into_iter().flat_map(sized).collect()
}

/// Experiments on class changes that differ only in the cost weight, from 0.01 to 100 against a skew
/// weight of 1.
#[must_use]
pub fn weight_sweep() -> Vec<Experiment> {
    let weights = [0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];
    let sweep = weights.map(|weight| {
        let mut swept = experiment(Deployment::Saraswati, Demand::ClassChange, SIZES[0]);
        swept.balance.skew_weight = 1.0;
        swept.balance.rebalance_cost_weight = weight;
        swept.name = format!("sweep-{weight}");
        swept
    });
    sweep.into()
}

fn experiment(deployment: Deployment, demand: Demand, size: Size) -> Experiment {
    let span = span(demand);
    let shape = GroupShape {
        ranks: size.ranks,
        layers: TRACED_LAYERS,
        experts_per_layer: size.experts,
        expert_slots_per_rank: size.experts / size.ranks + SPARE_SLOTS,
        expert_bytes: size.expert_bytes,
    };
    Experiment {
        name: format!("{}-{}-{}x{}", owner(deployment), pattern(demand), size.ranks, size.experts),
        deployment,
        balance: deployment.balance(),
        demand,
        shape,
        tokens_per_step: TOKENS_PER_RANK * f64::from(size.ranks),
        length_s: span.length_s,
        report_s: span.report_s,
        period_s: span.period_s,
        ticks_per_window: span.ticks_per_window,
    }
}

/// Lengths in time of a trace's parts.
#[derive(Clone, Copy, Debug)]
struct Span {
    length_s: u64,
    report_s: u64,
    period_s: u64,
    ticks_per_window: u32,
}

/// The day is stepped by reports of ten seconds to bound the time of a run.
const fn span(demand: Demand) -> Span {
    match demand {
        Demand::DailyDrift => {
            Span { length_s: 86_400, report_s: 10, period_s: 3_600, ticks_per_window: 12 }
        }
        Demand::ClassChange => {
            Span { length_s: 3_600, report_s: 1, period_s: 60, ticks_per_window: 10 }
        }
        Demand::HotExpert | Demand::NoiseOnly => {
            Span { length_s: 1_800, report_s: 1, period_s: 60, ticks_per_window: 10 }
        }
    }
}

const fn owner(deployment: Deployment) -> &'static str {
    match deployment {
        Deployment::Wodoprzylacze => "wodoprzylacze",
        Deployment::Saraswati => "saraswati",
    }
}

const fn pattern(demand: Demand) -> &'static str {
    match demand {
        Demand::DailyDrift => "daily-drift",
        Demand::ClassChange => "class-change",
        Demand::HotExpert => "hot-expert",
        Demand::NoiseOnly => "noise-only",
    }
}
