//! Measures the time that the rebalancing policy takes at full size: 32 ranks, 256 experts and 60
//! layers, with a report and a decision every second.

use hickorycross_core::placement::{
    ChangeOutcome, RebalancePolicy, WeightedPolicy, WeightedPolicySettings,
};
use hickorycross_lab::rebalance::{Bound, Experiment, Trace, experiments};
use std::time::Instant;

/// Layers of the full size.
const LAYERS: u16 = 60;
/// Seconds of the trace: some sudden changes of demand and the quiet between.
const LENGTH_S: u64 = 1_200;
/// Seed of the trace.
const SEED: u64 = 1_000;

fn main() {
    let mut experiment = full_size("saraswati-class-change-32x256");
    measure(&experiment);
    experiment = full_size("wodoprzylacze-hot-expert-32x256");
    measure(&experiment);
}

fn full_size(name: &str) -> Experiment {
    let found = experiments().into_iter().find(|experiment| experiment.name == name);
    let mut experiment = found.expect("the experiment exists");
    let scale = u64::from(LAYERS) / u64::from(experiment.shape.layers);
    experiment.balance.weight_store_bytes_per_s *= scale;
    experiment.shape.layers = LAYERS;
    experiment.length_s = LENGTH_S;
    experiment
}

/// Times of one kind of call.
#[derive(Default)]
struct Times {
    sum_ms: f64,
    longest_ms: f64,
}

impl Times {
    fn measure<T>(&mut self, call: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = call();
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        self.sum_ms += elapsed_ms;
        self.longest_ms = self.longest_ms.max(elapsed_ms);
        result
    }

    fn print(&self, name: &str) {
        let mean_ms = self.sum_ms / LENGTH_S as f64;
        let longest_ms = self.longest_ms;
        println!("  {name:<8} mean {mean_ms:.2} ms a second, longest {longest_ms:.2} ms");
    }
}

fn measure(experiment: &Experiment) {
    let mut trace = Trace::new(experiment, SEED);
    let mut map = Bound::new(experiment.shape, &trace.expected_loads()).map().clone();
    let mut policy =
        WeightedPolicy::new(experiment.shape, &WeightedPolicySettings::new(experiment.balance));
    let (mut observe, mut decide) = (Times::default(), Times::default());
    let mut changes = 0;
    while let Some(window) = trace.next_window() {
        for tick in &window.ticks {
            observe.measure(|| policy.observe(&tick.report)).expect("well-formed");
            let change = decide.measure(|| policy.propose(tick.now, &map));
            let Some(change) = change else { continue };
            changes += 1;
            map = change.target;
            let first_step = tick.report.last_step + 1;
            policy.record_outcome(tick.now, ChangeOutcome::Adopted { first_step });
        }
    }
    println!("{} with {LAYERS} layers, {LENGTH_S} s, {changes} changes", experiment.name);
    observe.print("observe");
    decide.print("decide");
    let share = (observe.sum_ms + decide.sum_ms) / 1e3 / LENGTH_S as f64;
    println!("  share of a core: {:.2}%", share * 100.0);
}
