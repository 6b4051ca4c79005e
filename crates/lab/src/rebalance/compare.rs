//! All policies on the same traces.

use crate::rebalance::bound::Bound;
use crate::rebalance::plan::{Experiment, PolicyKind};
use crate::rebalance::policy_run::PolicyRun;
use crate::rebalance::step_time::StepTime;
use crate::rebalance::summary::{RunFigures, SeedRun, StepFigures};
use crate::rebalance::trace::{Trace, Window};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs policies on each seed's trace, on up to `threads` threads. Results come by seed, then in
/// the order of `policies`.
#[must_use]
pub fn compare(
    experiment: &Experiment,
    policies: &[PolicyKind],
    seeds: &[u64],
    threads: usize,
) -> Vec<SeedRun> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Vec::new(); seeds.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, seeds.len().max(1)) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let runs = run_seed(experiment, policies, *seed);
                    let index = seeds.iter().position(|other| other == seed).unwrap_or_default();
                    results.lock().expect("no run panics")[index] = runs;
                }
            });
        }
    });
    results.into_inner().expect("no run panics").into_iter().flatten().collect()
}

/// One policy's run, or the bound's.
enum Runner {
    Policy(Box<PolicyRun>),
    Bound(Bound, Box<StepFigures>),
}

impl Runner {
    fn new(kind: PolicyKind, first: &Bound, experiment: &Experiment) -> Self {
        let Some(policy) = kind.policy(experiment) else {
            return Self::Bound(first.clone(), Box::default());
        };
        let run = PolicyRun::new(policy, first.map().clone(), experiment);
        Self::Policy(Box::new(run))
    }

    /// Runs a window and returns its mean skew in microseconds.
    fn advance(&mut self, window: &Window, experiment: &Experiment) -> f64 {
        match self {
            Self::Policy(run) => {
                window.ticks.iter().for_each(|tick| run.advance(tick, experiment));
                run.take_recent_skew_us()
            }
            Self::Bound(bound, figures) => {
                bound.foresee(window);
                for loads in window.ticks.iter().flat_map(|tick| &tick.steps) {
                    figures.add(&StepTime::of(bound.map(), loads, false));
                }
                figures.take_recent_skew_us()
            }
        }
    }

    fn figures(&self) -> RunFigures {
        match self {
            Self::Policy(run) => run.figures(),
            Self::Bound(_, figures) => figures.figures(0, 0, 0),
        }
    }
}

fn run_seed(experiment: &Experiment, policies: &[PolicyKind], seed: u64) -> Vec<SeedRun> {
    let mut trace = Trace::new(experiment, seed);
    let first = Bound::new(experiment.shape, &trace.expected_loads());
    let start = |kind: &PolicyKind| Runner::new(*kind, &first, experiment);
    let mut runners: Vec<Runner> = policies.iter().map(start).collect();
    let mut courses_us = vec![Vec::new(); policies.len()];
    while let Some(window) = trace.next_window() {
        for (runner, course_us) in runners.iter_mut().zip(&mut courses_us) {
            course_us.push(runner.advance(&window, experiment));
        }
    }
    let finished = policies.iter().zip(runners).zip(courses_us);
    let finish = |((policy, runner), course_us): ((&PolicyKind, Runner), Vec<f64>)| {
        let figures = runner.figures();
        SeedRun { policy: *policy, seed, figures, course_us }
    };
    finished.map(finish).collect()
}
