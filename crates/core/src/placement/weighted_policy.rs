//! The production policy: proposes a change when its weighted gain exceeds its weighted cost.

use crate::placement::change::change_between;
use crate::placement::cooldown::CoolDown;
use crate::placement::cost::CostModel;
use crate::placement::estimate::LoadEstimator;
use crate::placement::evaluation::ChangeEvaluation;
use crate::placement::expert_map::ExpertMap;
use crate::placement::policy::{ChangeOutcome, ProposedChange, RebalancePolicy};
use crate::placement::report::{LoadReport, ReportError};
use crate::placement::search::{LayerSearch, Trial};
use crate::placement::server_load_budget::ServerLoadBudget;
use crate::placement::shape::GroupShape;
use crate::time::Now;
use hickorycross_config::Balance;

/// Reduction of a layer's skew that an edit must exceed to be worth its overhead, even if it loads
/// nothing.
const MIN_GAIN: f64 = 0.002;
/// Minimum time without a sudden change of demand after which demand counts as steady.
///
/// A sudden change after that time ends the cool-down.
const STEADY_MS: u64 = 60_000;

/// Settings of [`WeightedPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPolicySettings {
    /// The configured weights of skew and rebalance cost, and the weight store's rate.
    pub balance: Balance,
    /// Maximum number of weight loads in one change, as an average over the group's layers.
    pub max_loads_per_layer: u32,
    /// Limit on the weight loads of each backend server in one change, or `None` for no limit.
    pub server_cap: Option<ServerLoadCap>,
}

/// A limit on the weight loads of each backend server in one change.
///
/// A change is abandoned if one agent's share of the weight store cannot cover its loads in time.
/// Without this limit such a change would be proposed again after each cool-down, and weights would
/// be read for maps that are never used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoadCap {
    /// Number of ranks on each backend server; servers hold consecutive ranks.
    pub ranks_per_server: u16,
    /// Maximum number of experts that the ranks of one server may load in one change.
    pub max_loads: u32,
}

impl WeightedPolicySettings {
    /// Default for [`Self::max_loads_per_layer`].
    pub const MAX_LOADS_PER_LAYER: u32 = 8;

    /// Creates settings with the given weights, the default load limit and no server limit.
    #[must_use]
    pub const fn new(balance: Balance) -> Self {
        Self { balance, max_loads_per_layer: Self::MAX_LOADS_PER_LAYER, server_cap: None }
    }
}

/// Proposes changes whose predicted reduction of skew over a horizon outweighs the cost of weight
/// loads and of the stall at the change.
#[derive(Clone, Debug)]
pub struct WeightedPolicy {
    estimator: LoadEstimator,
    cost: CostModel,
    max_loads: u32,
    server_cap: Option<ServerLoadCap>,
    cool_down: CoolDown,
    evaluation: Option<ChangeEvaluation>,
}

impl WeightedPolicy {
    /// Creates a policy for a group of the given shape.
    #[must_use]
    pub fn new(shape: GroupShape, settings: &WeightedPolicySettings) -> Self {
        Self {
            estimator: LoadEstimator::new(shape),
            cost: CostModel::new(settings.balance, &shape),
            max_loads: settings.max_loads_per_layer.saturating_mul(u32::from(shape.layers)),
            server_cap: settings.server_cap,
            cool_down: CoolDown::new(),
            evaluation: None,
        }
    }

    /// Adjusts the cool-down once the realised gain of the last change is known.
    fn evaluate_last_change(&mut self, now: Now, present: &ExpertMap) {
        let Some(comparison) =
            self.evaluation.as_ref().and_then(|evaluation| evaluation.compare(present))
        else {
            return;
        };
        self.cool_down.evaluate(now, comparison.predicted, comparison.realised);
        self.evaluation = None;
    }

    /// Applies the edits with the highest net gain until none is positive or the load limit is
    /// reached. Returns `None` unless their total net gain exceeds the cost of the stall.
    fn search(&self, present: &ExpertMap) -> Option<ExpertMap> {
        let steps_per_s = self.estimator.steps_per_s();
        let weight_load_steps = self.cost.weight_load_steps(steps_per_s);
        let net_gain = |trial: &Trial| {
            let gain = self.cost.gain_steps(trial.gain - MIN_GAIN, steps_per_s);
            gain - weight_load_steps * f64::from(trial.weight_loads)
        };
        let mut layers = self.layer_searches(present);
        let mut best: Vec<_> = layers.iter_mut().map(|layer| layer.best_trial(net_gain)).collect();
        let (mut loads, mut total_net_gain) = (0, 0.0);
        let mut server_budget = ServerLoadBudget::new(self.server_cap);
        while let Some((layer, trial)) = best_trial(&best, net_gain) {
            if !server_budget.try_reserve(&trial) {
                best[layer] = None;
                continue;
            }
            loads += trial.weight_loads;
            if loads > self.max_loads {
                break;
            }
            total_net_gain += net_gain(&trial);
            layers[layer].apply(&trial.edit);
            best[layer] = layers[layer].best_trial(net_gain);
        }
        let is_worthwhile = total_net_gain > self.cost.stall_steps();
        let layers = layers.into_iter().map(LayerSearch::placement);
        is_worthwhile.then(|| ExpertMap { layers: layers.collect() })
    }

    fn layer_searches<'a>(&'a self, present: &'a ExpertMap) -> Vec<LayerSearch<'a>> {
        let slots = usize::from(self.estimator.shape().expert_slots_per_rank);
        let search = |(index, placed): (usize, &'a _)| {
            let estimate = self.estimator.layer(index);
            let errors = estimate.rank_error_squares(placed);
            LayerSearch::new(placed, estimate.loads(), slots, errors)
        };
        present.layers.iter().enumerate().map(search).collect()
    }
}

impl RebalancePolicy for WeightedPolicy {
    fn name(&self) -> &'static str {
        "weighted"
    }

    fn observe(&mut self, report: &LoadReport) -> Result<(), ReportError> {
        let changed_before_at = self.estimator.demand_changed_at();
        self.estimator.observe(report)?;
        let steady_ms = self.estimator.demand_changed_at().since(changed_before_at);
        if steady_ms >= STEADY_MS {
            self.cool_down.reset();
        }
        if let Some(evaluation) = &mut self.evaluation {
            evaluation.observe(report);
        }
        Ok(())
    }

    fn propose(&mut self, now: Now, present: &ExpertMap) -> Option<ProposedChange> {
        self.evaluate_last_change(now, present);
        // A new proposal would replace the evaluation of the last change. If one were made earlier,
        // the cool-down could never grow, and a group whose predictions fail would keep changing
        // its map at the minimum pause.
        if self.evaluation.is_some()
            || !self.cool_down.is_over(now)
            || !self.estimator.is_ready(now)
        {
            return None;
        }
        let target = self.search(present)?;
        let change = change_between(&self.estimator, present, target)?;
        let predicted = change.prediction.skew_before - change.prediction.skew_after;
        self.evaluation = Some(ChangeEvaluation::new(present.clone(), predicted));
        Some(change)
    }

    fn record_outcome(&mut self, now: Now, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Adopted { first_step } => {
                self.cool_down.start(now);
                self.evaluation
                    .iter_mut()
                    .for_each(|evaluation| evaluation.record_adoption(first_step));
            }
            ChangeOutcome::Abandoned => {
                self.cool_down.back_off(now);
                self.evaluation = None;
            }
        }
    }
}

/// Returns the trial with the highest net gain and the index of its layer.
fn best_trial(best: &[Option<Trial>], net_gain: impl Fn(&Trial) -> f64) -> Option<(usize, Trial)> {
    let found = best.iter().enumerate().filter_map(|(layer, trial)| trial.map(|t| (layer, t)));
    found.max_by(|left, right| {
        net_gain(&left.1).total_cmp(&net_gain(&right.1)).then(right.0.cmp(&left.0))
    })
}
