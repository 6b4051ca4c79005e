//! One randomised run: spells of faults, each followed by a calm in which the group must step.

use crate::group_fleet::{Fleet, Weather};
use hickorycross_core::group::{GroupRecord, Mechanisms};
use rand::RngExt;

const SPELLS: u64 = 4;
const FAULTS_PER_SPELL: u64 = 20;
const LONGEST_PAUSE_MS: u64 = 1_500;
/// Time that the group goes on undisturbed once it steps again.
const CALM_MS: u64 = 1_000;

/// One run.
pub(crate) struct Storm {
    fleet: Fleet,
    kind: Kind,
}

/// What is asked of the engines, and what they are spared for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Engines match epochs; documents overtake one another and agents start with old ones.
    Matching,
    /// Engines ignore epochs; a member list stands until every agent has read it.
    Ignoring,
}

/// What came of a run.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) fault: Option<String>,
    pub(crate) virtual_ms: u64,
    pub(crate) steps: u64,
    pub(crate) changes: u64,
    pub(crate) longest_stall_ms: u64,
    pub(crate) longest_permille_of_bound: u64,
}

/// Sums and maxima over runs.
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

impl Storm {
    pub(crate) fn new(seed: u64, kind: Kind, mechanisms: Mechanisms) -> Self {
        let mut fleet = Fleet::new(seed, 4).with_mechanisms(mechanisms);
        fleet.add_server(4, false);
        for index in 0..fleet.server_count() {
            let checks_fencing = fleet.rng.random();
            fleet.set_checks_fencing(index, checks_fencing);
        }
        fleet.weather.step_ms = 20;
        fleet.report_every = 4;
        fleet.engines_match_epochs = kind == Kind::Matching;
        fleet.stale_starts_permille = if kind == Kind::Ignoring { 0 } else { 300 };
        fleet.start_all();
        Self { fleet, kind }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let start_ms = self.fleet.now_ms;
        let mut stalls = Vec::new();
        let mut fault = None;
        for spell in 0..SPELLS {
            self.disturb();
            let bound_ms = self.calm();
            let stall_ms = self.fleet.run_until(bound_ms, |fleet| {
                !fleet.findings.is_empty() || fleet.last_step_ms >= fleet.now_ms
            });
            stalls.push((stall_ms.unwrap_or(bound_ms), bound_ms));
            self.fleet.run_for(CALM_MS);
            fault = self.find_fault(spell, stall_ms, bound_ms);
            if fault.is_some() {
                self.print_trail();
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

    /// Shows how it came about, where one seed is run alone.
    fn print_trail(&self) {
        if std::env::var("HICKORYCROSS_SEED").is_ok() {
            self.fleet.print_trail();
        }
    }

    fn find_fault(&self, spell: u64, stall_ms: Option<u64>, bound_ms: u64) -> Option<String> {
        if let Some(finding) = self.fleet.findings.first() {
            return Some(format!("spell {spell}: {finding:?}"));
        }
        let idle_ms = self.fleet.now_ms - self.fleet.last_step_ms;
        (stall_ms.is_none() || idle_ms > bound_ms)
            .then(|| format!("spell {spell}: no step within {bound_ms} ms"))
    }

    /// Faults of all kinds, at random moments.
    fn disturb(&mut self) {
        self.fleet.weather = Weather {
            delay_max_ms: self.fleet.rng.random_range(2..200),
            lost_permille: self.fleet.rng.random_range(0..100),
            doubled_permille: self.fleet.rng.random_range(0..300),
            order_max_ms: self.fleet.rng.random_range(1..400),
            stage_ms: self.fleet.rng.random_range(20..800),
            ..self.fleet.weather
        };
        for _ in 0..FAULTS_PER_SPELL {
            if self.fleet.rng.random_ratio(1, 2) {
                self.fleet.propose();
            }
            self.strike();
            let pause_ms = self.fleet.rng.random_range(0..LONGEST_PAUSE_MS);
            self.fleet.run_for(pause_ms);
        }
    }

    fn strike(&mut self) {
        let servers = self.fleet.server_count();
        let a = self.fleet.rng.random_range(0..servers);
        let b = self.fleet.rng.random_range(0..servers);
        match self.fleet.rng.random_range(0..30) {
            0..=1 => self.fleet.kill(a),
            2..=3 => self.fleet.kill(self.fleet.coordinator().unwrap_or(a)),
            4..=10 => self.wake_all(),
            11 => self.fleet.freeze(a),
            12 => self.fleet.freeze(self.fleet.coordinator().unwrap_or(a)),
            13 => self.fleet.cut(a, b),
            14 => self.fleet.cut_way(a, b),
            15..=19 => self.fleet.heal(),
            20..=21 => self.fleet.replace_engine(a),
            22..=23 => self.change_members(),
            _ => self.fleet.propose(),
        }
    }

    fn wake_all(&mut self) {
        for index in 0..self.fleet.server_count() {
            self.fleet.thaw(index);
        }
        self.fleet.start_all();
    }

    fn change_members(&mut self) {
        if self.kind == Kind::Ignoring && !self.fleet.is_document_everywhere() {
            return;
        }
        let servers = self.fleet.server_count();
        let left_out = self.fleet.rng.random_range(0..=servers);
        let indices: Vec<usize> = (0..servers).filter(|&index| index != left_out).collect();
        let ranks = self.fleet.rng.random_range(1..=2);
        self.fleet.change_membership(&indices, ranks, 4_000);
    }

    /// Ends all faults; gives the bound within which the group must step.
    fn calm(&mut self) -> u64 {
        self.fleet.heal();
        self.fleet.weather = Weather { step_ms: 20, ..Weather::CALM };
        self.wake_all();
        self.fleet.spread_membership(0);
        self.fleet.stall_bound_ms()
    }
}
