//! Random runs: rounds of faults, each followed by a period without faults in which the group must
//! step.

use crate::group_fleet::{Conditions, Fleet};
use hickorycross_core::group::{GroupRecord, Mechanisms};
use rand::RngExt;

const ROUNDS: u64 = 4;
const FAULTS_PER_ROUND: u64 = 20;
const MAX_FAULT_INTERVAL_MS: u64 = 1_500;
/// Time without faults after the group steps again.
const STABLE_MS: u64 = 1_000;

/// A random run, determined by its seed.
pub(crate) struct RandomRun {
    fleet: Fleet,
    epoch_handling: EpochHandling,
}

/// Whether the engines check epochs, and the faults that the run injects accordingly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochHandling {
    /// Engines check epochs; documents may overtake each other and agents may start with old ones.
    Checked,
    /// Engines ignore epochs; the members change only after every agent has adopted the last list.
    Ignored,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) fault: Option<String>,
    pub(crate) virtual_ms: u64,
    pub(crate) steps: u64,
    pub(crate) changes: u64,
    pub(crate) longest_stall_ms: u64,
    pub(crate) longest_permille_of_bound: u64,
}

/// Sums and maxima over several runs.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) virtual_ms: u64,
    pub(crate) steps: u64,
    pub(crate) changes: u64,
    pub(crate) longest_stall_ms: u64,
    pub(crate) longest_permille_of_bound: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, outcome: &Outcome) {
        self.virtual_ms += outcome.virtual_ms;
        self.steps += outcome.steps;
        self.changes += outcome.changes;
        self.longest_stall_ms = self.longest_stall_ms.max(outcome.longest_stall_ms);
        self.longest_permille_of_bound =
            self.longest_permille_of_bound.max(outcome.longest_permille_of_bound);
    }
}

impl RandomRun {
    pub(crate) fn new(seed: u64, epoch_handling: EpochHandling, mechanisms: Mechanisms) -> Self {
        let mut fleet = Fleet::new(seed, 4).with_mechanisms(mechanisms);
        fleet.add_server(4, false);
        for index in 0..fleet.server_count() {
            let checks_fencing = fleet.rng.random();
            fleet.set_checks_fencing(index, checks_fencing);
        }
        fleet.conditions.step_ms = 20;
        fleet.report_interval_steps = 4;
        fleet.engines_match_epochs = epoch_handling == EpochHandling::Checked;
        fleet.stale_starts_permille =
            if epoch_handling == EpochHandling::Ignored { 0 } else { 300 };
        fleet.start_all();
        Self { fleet, epoch_handling }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let start_ms = self.fleet.now_ms;
        let mut stalls = Vec::new();
        let mut fault = None;
        for round in 0..ROUNDS {
            self.inject_faults();
            let bound_ms = self.end_faults();
            let stall_ms = self.fleet.run_until(bound_ms, |fleet| {
                !fleet.findings.is_empty() || fleet.last_step_ms >= fleet.now_ms
            });
            stalls.push((stall_ms.unwrap_or(bound_ms), bound_ms));
            self.fleet.run_for(STABLE_MS);
            fault = self.find_fault(round, stall_ms, bound_ms);
            if fault.is_some() {
                self.print_audit_records();
                break;
            }
        }
        let finished = |record: &GroupRecord| matches!(record, GroupRecord::ChangeFinished { .. });
        let changes = self.fleet.records.iter().filter(|(_, _, record)| finished(record)).count();
        let share = |&(stall_ms, bound_ms): &(u64, u64)| stall_ms * 1000 / bound_ms;
        Outcome {
            fault,
            virtual_ms: self.fleet.now_ms - start_ms,
            steps: self.fleet.last_step,
            changes: changes as u64,
            longest_stall_ms: stalls.iter().map(|stall| stall.0).max().unwrap_or(0),
            longest_permille_of_bound: stalls.iter().map(share).max().unwrap_or(0),
        }
    }

    /// Prints the audit records if a single seed is run.
    fn print_audit_records(&self) {
        if std::env::var("HICKORYCROSS_SEED").is_ok() {
            self.fleet.print_audit_records();
        }
    }

    fn find_fault(&self, round: u64, stall_ms: Option<u64>, bound_ms: u64) -> Option<String> {
        if let Some(finding) = self.fleet.findings.first() {
            return Some(format!("round {round}: {finding:?}"));
        }
        let idle_ms = self.fleet.now_ms - self.fleet.last_step_ms;
        (stall_ms.is_none() || idle_ms > bound_ms)
            .then(|| format!("round {round}: no step within {bound_ms} ms"))
    }

    /// Injects random faults at random times.
    fn inject_faults(&mut self) {
        self.fleet.conditions = Conditions {
            delay_max_ms: self.fleet.rng.random_range(2..200),
            lost_permille: self.fleet.rng.random_range(0..100),
            duplicated_permille: self.fleet.rng.random_range(0..300),
            order_max_ms: self.fleet.rng.random_range(1..400),
            stage_ms: self.fleet.rng.random_range(20..800),
            ..self.fleet.conditions
        };
        for _ in 0..FAULTS_PER_ROUND {
            if self.fleet.rng.random_ratio(1, 2) {
                self.fleet.propose();
            }
            self.inject_fault();
            let interval_ms = self.fleet.rng.random_range(0..MAX_FAULT_INTERVAL_MS);
            self.fleet.run_for(interval_ms);
        }
    }

    fn inject_fault(&mut self) {
        let servers = self.fleet.server_count();
        let a = self.fleet.rng.random_range(0..servers);
        let b = self.fleet.rng.random_range(0..servers);
        match self.fleet.rng.random_range(0..30) {
            0..=1 => self.fleet.kill(a),
            2..=3 => self.fleet.kill(self.fleet.coordinator().unwrap_or(a)),
            4..=10 => self.resume_all(),
            11 => self.fleet.pause(a),
            12 => self.fleet.pause(self.fleet.coordinator().unwrap_or(a)),
            13 => self.fleet.partition(a, b),
            14 => self.fleet.block_link(a, b),
            15..=19 => self.fleet.heal(),
            20..=21 => self.fleet.replace_engine(a),
            22..=23 => self.change_members(),
            _ => self.fleet.propose(),
        }
    }

    fn resume_all(&mut self) {
        for index in 0..self.fleet.server_count() {
            self.fleet.resume(index);
        }
        self.fleet.start_all();
    }

    fn change_members(&mut self) {
        if self.epoch_handling == EpochHandling::Ignored && !self.fleet.is_document_adopted_by_all()
        {
            return;
        }
        let servers = self.fleet.server_count();
        let left_out = self.fleet.rng.random_range(0..=servers);
        let indices: Vec<usize> = (0..servers).filter(|&index| index != left_out).collect();
        let ranks = self.fleet.rng.random_range(1..=2);
        self.fleet.change_membership(&indices, ranks, 4_000);
    }

    /// Ends all faults and returns the bound within which the group must step.
    fn end_faults(&mut self) -> u64 {
        self.fleet.heal();
        self.fleet.conditions = Conditions { step_ms: 20, ..Conditions::HEALTHY };
        self.resume_all();
        self.fleet.distribute_membership(0);
        self.fleet.stall_bound_ms()
    }
}
