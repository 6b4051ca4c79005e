//! The policy of the product: a change is made when its weighted gain exceeds its weighted cost.

use crate::placement::change::change_between;
use crate::placement::cooldown::CoolDown;
use crate::placement::cost::CostModel;
use crate::placement::estimate::LoadEstimator;
use crate::placement::expert_map::ExpertMap;
use crate::placement::policy::{ChangeOutcome, ProposedChange, RebalancePolicy};
use crate::placement::realised::Realised;
use crate::placement::report::{LoadReport, ReportError};
use crate::placement::search::{LayerSearch, Trial};
use crate::placement::server_loads::ServerLoads;
use crate::placement::shape::GroupShape;
use crate::time::Now;
use hickorycross_config::Balance;

/// Reduction of a layer's skew below which an edit is not worth its bookkeeping, also when it loads
/// nothing.
const LEAST_GAIN: f64 = 0.002;
/// Demand that was steady for this long may change suddenly without being taken for unsteady.
const STEADY_MS: u64 = 60_000;

/// Settings of [`WeightedPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPolicySettings {
    /// The document's weights and the weight store's rate.
    pub balance: Balance,
    /// Experts loaded in one change at most, on average for each layer.
    pub max_loads_per_layer: u32,
    /// What one server may load in one change; none where nothing bounds it.
    pub server_cap: Option<ServerLoadCap>,
}

/// Bounds the loads of one server in one change.
///
/// A change whose loads one agent cannot pay for in time is abandoned, and would be proposed again
/// as soon as the cool-down ends; one would notice weights read for maps that never come into use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoadCap {
    /// Ranks on each server, in rank order.
    pub ranks_per_server: u16,
    /// Experts that its ranks may load in one change.
    pub max_loads: u32,
}

impl WeightedPolicySettings {
    /// Loads of one change for each layer, unless set otherwise.
    pub const MAX_LOADS_PER_LAYER: u32 = 8;

    /// Settings for a document's weights.
    #[must_use]
    pub const fn new(balance: Balance) -> Self {
        Self { balance, max_loads_per_layer: Self::MAX_LOADS_PER_LAYER, server_cap: None }
    }
}

/// Weighs predicted skew over a horizon against bytes and stalls.
#[derive(Clone, Debug)]
pub struct WeightedPolicy {
    estimator: LoadEstimator,
    cost: CostModel,
    max_loads: u32,
    server_cap: Option<ServerLoadCap>,
    cool_down: CoolDown,
    judged: Option<Realised>,
}

impl WeightedPolicy {
    /// A policy for a group of this shape.
    #[must_use]
    pub fn new(shape: GroupShape, settings: &WeightedPolicySettings) -> Self {
        Self {
            estimator: LoadEstimator::new(shape),
            cost: CostModel::new(settings.balance, &shape),
            max_loads: settings.max_loads_per_layer.saturating_mul(u32::from(shape.layers)),
            server_cap: settings.server_cap,
            cool_down: CoolDown::new(),
            judged: None,
        }
    }

    fn judge_last(&mut self, now: Now, present: &ExpertMap) {
        let Some(judgement) = self.judged.as_ref().and_then(|judged| judged.judge(present)) else {
            return;
        };
        self.cool_down.judge(now, judgement.predicted, judgement.realised);
        self.judged = None;
    }

    /// Edits layers in the order of worth until nothing pays or the limit is reached.
    fn search(&self, present: &ExpertMap) -> Option<ExpertMap> {
        let steps_per_s = self.estimator.steps_per_s();
        let load_steps = self.cost.load_steps(steps_per_s);
        let worth = |trial: &Trial| {
            let gain = self.cost.gain_steps(trial.gain - LEAST_GAIN, steps_per_s);
            gain - load_steps * f64::from(trial.loads)
        };
        let mut layers = self.layer_searches(present);
        let mut best: Vec<_> = layers.iter_mut().map(|layer| layer.best(worth)).collect();
        let (mut loads, mut total_worth) = (0, 0.0);
        let mut servers = ServerLoads::new(self.server_cap);
        while let Some((layer, trial)) = most_worth(&best, worth) {
            if !servers.take(&trial) {
                best[layer] = None;
                continue;
            }
            loads += trial.loads;
            if loads > self.max_loads {
                break;
            }
            total_worth += worth(&trial);
            layers[layer].apply(&trial.edit);
            best[layer] = layers[layer].best(worth);
        }
        let pays = total_worth > self.cost.stall_steps();
        let layers = layers.into_iter().map(LayerSearch::placement);
        pays.then(|| ExpertMap { layers: layers.collect() })
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
        let changed_before_at = self.estimator.changed_at();
        self.estimator.observe(report)?;
        let steady_ms = self.estimator.changed_at().since(changed_before_at);
        if steady_ms >= STEADY_MS {
            self.cool_down.lift();
        }
        if let Some(judged) = &mut self.judged {
            judged.observe(report);
        }
        Ok(())
    }

    fn propose(&mut self, now: Now, present: &ExpertMap) -> Option<ProposedChange> {
        self.judge_last(now, present);
        // A proposal before the last change is judged would take the place of the judgement: the
        // cool-down could never lengthen, and a group whose predictions fail would change its map
        // at the shortest pause for ever.
        if self.judged.is_some() || !self.cool_down.is_over(now) || !self.estimator.is_ready(now) {
            return None;
        }
        let target = self.search(present)?;
        let change = change_between(&self.estimator, present, target)?;
        let predicted = change.prediction.skew_before - change.prediction.skew_after;
        self.judged = Some(Realised::new(present.clone(), predicted));
        Some(change)
    }

    fn record_outcome(&mut self, now: Now, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Adopted { first_step } => {
                self.cool_down.start(now);
                self.judged.iter_mut().for_each(|judged| judged.adopt(first_step));
            }
            ChangeOutcome::Abandoned => {
                self.cool_down.back_off(now);
                self.judged = None;
            }
        }
    }
}

fn most_worth(best: &[Option<Trial>], worth: impl Fn(&Trial) -> f64) -> Option<(usize, Trial)> {
    let found = best.iter().enumerate().filter_map(|(layer, trial)| trial.map(|t| (layer, t)));
    found
        .max_by(|left, right| worth(&left.1).total_cmp(&worth(&right.1)).then(right.0.cmp(&left.0)))
}
