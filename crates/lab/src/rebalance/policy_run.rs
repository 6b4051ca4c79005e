//! One policy on one trace.

use crate::rebalance::plan::Experiment;
use crate::rebalance::step_time::StepTime;
use crate::rebalance::summary::{RunFigures, StepFigures};
use crate::rebalance::trace::Tick;
use hickorycross_core::placement::{
    ChangeOutcome, ExpertMap, LoadReport, ProposedChange, RebalancePolicy, STALL_STEPS_PER_CHANGE,
};
use hickorycross_core::{Now, UnixMs};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// A policy with the map that it has brought about and what was measured under it.
pub struct PolicyRun {
    policy: Box<dyn RebalancePolicy>,
    map: ExpertMap,
    loading: Option<Loading>,
    delayed: Option<LoadReport>,
    store_bytes_per_s: u64,
    steps: StepFigures,
    moved_bytes: u64,
    changes: u64,
}

/// A change whose weights are being loaded.
struct Loading {
    change: ProposedChange,
    ready_at: UnixMs,
}

impl PolicyRun {
    /// Starts a policy on a map.
    #[must_use]
    pub fn new(policy: Box<dyn RebalancePolicy>, map: ExpertMap, experiment: &Experiment) -> Self {
        Self {
            policy,
            map,
            loading: None,
            delayed: None,
            store_bytes_per_s: experiment.balance.weight_store_bytes_per_s.max(1),
            steps: StepFigures::default(),
            moved_bytes: 0,
            changes: 0,
        }
    }

    /// Measures the tick under the present map, then lets the policy act on the report before.
    ///
    /// # Panics
    ///
    /// When the policy refuses a report of the trace or proposes a map that is malformed.
    pub fn advance(&mut self, tick: &Tick, experiment: &Experiment) {
        for loads in &tick.steps {
            self.steps.add(&StepTime::of(&self.map, loads, self.loading.is_some()));
        }
        self.adopt(tick);
        let report = self.delayed.replace(tick.report.clone());
        if let Some(report) = report {
            self.policy.observe(&report).expect("reports of the trace are well-formed");
        }
        if self.loading.is_none() {
            self.propose(tick.now, experiment);
        }
    }

    fn propose(&mut self, now: Now, experiment: &Experiment) {
        let Some(change) = self.policy.propose(now, &self.map) else { return };
        change.target.validate(&experiment.shape).expect("a proposed map is well-formed");
        let loading_ms = change.prediction.moved_bytes * MS_PER_S / self.store_bytes_per_s;
        self.loading = Some(Loading { change, ready_at: now.after(loading_ms) });
    }

    fn adopt(&mut self, tick: &Tick) {
        let Some(loading) = self.loading.take_if(|loading| loading.ready_at.is_past(tick.now))
        else {
            return;
        };
        self.moved_bytes += loading.change.prediction.moved_bytes;
        self.changes += 1;
        self.map = loading.change.target;
        let first_step = tick.report.last_step + 1;
        self.policy.record_outcome(tick.now, ChangeOutcome::Adopted { first_step });
    }

    /// What was measured so far.
    #[must_use]
    pub fn figures(&self) -> RunFigures {
        let stall_steps = self.changes * u64::from(STALL_STEPS_PER_CHANGE);
        self.steps.figures(self.moved_bytes, self.changes, stall_steps)
    }

    /// Mean skew in microseconds since the last call, for a course over time.
    pub fn take_recent_skew_us(&mut self) -> f64 {
        self.steps.take_recent_skew_us()
    }
}
