//! Simulates entries before a group that gets more than it can do, and instances that freeze while
//! requests are queued at their ranks. Accounts for the time of callers that give up.
//!
//! The entries use the tables and rules of the core in the order in which they do when they
//! forward a request. Ranks and the network are models: an event reaches its entry at once, and a
//! pass takes the same time whatever its prompts are.

#[path = "frozen_queue/mod.rs"]
mod model;

use googletest::prelude::*;
use model::account::Counts;
use model::cases::{CASES, Case, Fault, MISSING_RULES};
use model::run::Simulation;
use std::ops::Range;

/// Seeds of each case.
const SEEDS: Range<u64> = 0..20;
/// Further seeds of the cases that show no fault in those above; some of them do.
const MORE_SEEDS: Range<u64> = 20..300;

/// A case and what it has counted, beside the same requests in a group that does not freeze. The
/// latter show which callers left for the overload only.
struct Outcome {
    calm: Counts,
    frozen: Counts,
}

impl Outcome {
    fn new(case: Case, seed: u64) -> Self {
        Self {
            calm: Simulation::new(Case { freezes: false, ..case }, seed).run(),
            frozen: Simulation::new(case, seed).run(),
        }
    }

    /// Returns the callers that left for the freeze, and the runs for nobody.
    fn lost(&self) -> (usize, usize) {
        let left_for_freeze = self.frozen.queued_left.difference(&self.calm.queued_left).count();
        (left_for_freeze, self.frozen.queued_runs.len())
    }
}

/// Returns the cases in which a fault is known, or those in which it is not.
fn cases(fault: Fault, is_known: bool) -> impl Iterator<Item = Case> {
    CASES.iter().copied().filter(move |case| case.known_faults.contains(&fault) == is_known)
}

fn expect_no_lost_caller(case: Case, seeds: Range<u64>) {
    for seed in seeds {
        let outcome = Outcome::new(case, seed);
        expect_that!(
            outcome.lost(),
            eq((0, 0)),
            "{} seed {seed}: callers that left for the freeze, and runs for nobody; of {} queued {}",
            case.name,
            outcome.frozen.queued_at_freeze.len(),
            outcome.frozen.queued
        );
    }
}

fn expect_no_stream_that_goes_on(case: Case) {
    for seed in SEEDS {
        let counts = Simulation::new(case, seed).run();
        expect_that!(counts.running_runs.len(), eq(0), "{} seed {seed}", case.name);
    }
}

/// Guards against callers that give up because their requests lay unbegun at a rank whose instance
/// froze, and against the runs that the rank then begins for them.
#[gtest]
fn no_caller_gives_up_on_a_request_queued_at_a_frozen_rank() {
    cases(Fault::QueuedAreLost, false).for_each(|case| expect_no_lost_caller(case, SEEDS));
}

/// Guards against the same failure, in the cases and seeds that show it.
#[gtest]
fn known_fault_a_caller_gives_up_on_a_request_queued_at_a_frozen_rank() {
    cases(Fault::QueuedAreLost, true).for_each(|case| expect_no_lost_caller(case, SEEDS));
    cases(Fault::QueuedAreLost, false).for_each(|case| expect_no_lost_caller(case, MORE_SEEDS));
}

/// Guards against a rank that runs streams on for callers that got no event after it froze.
#[gtest]
fn no_stream_of_a_frozen_rank_runs_for_a_caller_that_left() {
    cases(Fault::RunningGoOn, false).for_each(expect_no_stream_that_goes_on);
}

/// Guards against the same failure, in the cases that show it.
#[gtest]
fn known_fault_a_stream_of_a_frozen_rank_runs_for_a_caller_that_left() {
    cases(Fault::RunningGoOn, true).for_each(expect_no_stream_that_goes_on);
}

/// Returns the callers that left for the freeze, and the runs for nobody, over all seeds.
fn count_lost(case: Case) -> usize {
    let lost = SEEDS.map(|seed| Outcome::new(case, seed).lost());
    lost.map(|(left, runs)| left + runs).sum()
}

/// Guards against a model in which a rule changes nothing, so that the tests above would pass
/// without it.
#[gtest]
fn each_rule_keeps_callers() {
    for missing in MISSING_RULES {
        let case = CASES.iter().find(|case| case.name == missing.case).copied().expect("a case");
        let without = Case { rules: missing.rules, ..case };
        expect_that!(count_lost(without), gt(count_lost(case)), "{}, {}", missing.name, case.name);
    }
}
