//! Drift traces: reports and single steps drawn from one seed.

use crate::rebalance::demand::DemandCourse;
use crate::rebalance::plan::Experiment;
use crate::rebalance::popularity::LayerPopularity;
use hickorycross_core::Now;
use hickorycross_core::placement::LoadReport;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};

/// Variance of token counts as a multiple of independent counts.
const DISPERSION: f64 = 2.0;
/// Single steps drawn from each report's span, on which skew is measured.
const SAMPLED_STEPS: usize = 2;
/// Steps a second at which reports count their steps.
const STEPS_PER_S: u64 = 200;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// A generator of one trace.
#[derive(Debug)]
pub struct Trace {
    experiment: Experiment,
    rng: ChaCha8Rng,
    course: DemandCourse,
    layers: Vec<LayerPopularity>,
    hot_experts: Vec<usize>,
    ticks: u64,
}

/// What happens during one report's span.
#[derive(Clone, Debug)]
pub struct Tick {
    /// End of the span.
    pub now: Now,
    /// The report on the span; it arrives late.
    pub report: LoadReport,
    /// Expert loads of single steps, in tokens, by step and layer.
    pub steps: Vec<Vec<Vec<f64>>>,
}

/// Ticks over which the bound keeps one map.
#[derive(Clone, Debug)]
pub struct Window {
    /// The ticks in order.
    pub ticks: Vec<Tick>,
}

impl Trace {
    /// Starts the trace of an experiment for a seed.
    #[must_use]
    pub fn new(experiment: &Experiment, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shape = experiment.shape;
        let experts = usize::from(shape.experts_per_layer);
        let course = DemandCourse::new(experiment.demand, experiment.length_s as f64, &mut rng);
        let layers = (0..shape.layers).map(|_| LayerPopularity::new(experts, &mut rng)).collect();
        let hot_experts = (0..shape.layers).map(|_| rng.random_range(0..experts)).collect();
        Self { experiment: experiment.clone(), rng, course, layers, hot_experts, ticks: 0 }
    }

    /// Expected expert loads of a step at the present moment, without noise, by layer.
    #[must_use]
    pub fn expected_loads(&self) -> Vec<Vec<f64>> {
        self.loads(false)
    }

    /// The next window, or none at the end of the trace.
    pub fn next_window(&mut self) -> Option<Window> {
        let mut ticks = Vec::new();
        for _ in 0..self.experiment.ticks_per_window {
            if self.ticks * self.experiment.report_s >= self.experiment.length_s {
                break;
            }
            ticks.push(self.next_tick());
        }
        if ticks.is_empty() { None } else { Some(Window { ticks }) }
    }

    fn loads(&self, with_jitter: bool) -> Vec<Vec<f64>> {
        let at_s = (self.ticks * self.experiment.report_s) as f64;
        let first = self.course.first_share(at_s);
        let hot_means = self.course.hot_means(at_s);
        let tokens = self.experiment.tokens_per_step;
        let layers = self.layers.iter().zip(&self.hot_experts);
        let shares = layers.map(|(layer, hot)| layer.shares(first, (*hot, hot_means), with_jitter));
        shares.map(|shares| shares.iter().map(|share| tokens * share).collect()).collect()
    }

    fn next_tick(&mut self) -> Tick {
        let span_s = self.experiment.report_s;
        for layer in &mut self.layers {
            layer.advance(span_s as f64, self.course.wanders(), &mut self.rng);
        }
        let loads = self.loads(true);
        let steps = span_s * STEPS_PER_S;
        let first_step = self.ticks * steps;
        self.ticks += 1;
        let now = Now::at(self.ticks * span_s * MS_PER_S);
        let report = LoadReport {
            first_step,
            last_step: first_step + steps - 1,
            ended_at: now.unix_ms,
            layer_loads_tokens: self.draw_report(&loads, steps as f64),
        };
        let steps = (0..SAMPLED_STEPS).map(|_| self.draw_step(&loads)).collect();
        Tick { now, report, steps }
    }

    fn draw_report(&mut self, loads: &[Vec<f64>], steps: f64) -> Vec<Vec<f32>> {
        let mut draw = |load: &f64| count(load * steps, &mut self.rng) as f32;
        loads.iter().map(|layer| layer.iter().map(&mut draw).collect()).collect()
    }

    fn draw_step(&mut self, loads: &[Vec<f64>]) -> Vec<Vec<f64>> {
        let mut draw = |load: &f64| count(*load, &mut self.rng);
        loads.iter().map(|layer| layer.iter().map(&mut draw).collect()).collect()
    }
}

/// Draws a number of tokens by the normal approximation of an overdispersed count.
fn count(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    let draw: f64 = StandardNormal.sample(rng);
    (mean + (DISPERSION * mean).sqrt() * draw).max(0.0)
}
