//! The whole measurement.

use super::arrivals::draw;
use super::fleet::{TEAMS, TIERS};
use super::overshoot::{self, Case, Cut, Spread, Through};
use super::policies::PolicySet;
use super::scenario::{Scenario, all};
use super::tally::{Counts, Tally, TierTally};
use super::world;
use serde::Serialize;

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Seeds; every scenario runs once with each.
    pub seeds: u64,
    /// Only scenarios whose name contains this text.
    pub only: String,
    /// Only sets of policies whose name contains this text.
    pub policy: String,
}

/// All results.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Seeds of each row.
    pub seeds: u64,
    pub(crate) runs: Vec<RunRow>,
    pub(crate) overshoot: Vec<OvershootRow>,
}

/// One scenario under one set of policies.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunRow {
    pub(crate) scenario: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) goodput_permille_mean: f64,
    pub(crate) goodput_permille_worst: f64,
    pub(crate) first_tier_permille_worst: f64,
    pub(crate) expired_permille: f64,
    pub(crate) extra_tries_permille: f64,
    /// Worst over the seeds; none where no repair belongs to the scenario.
    pub(crate) recovery: Option<Recovery>,
    pub(crate) tiers: Vec<TierRow>,
    /// Only where a limit binds.
    pub(crate) teams: Vec<TeamRow>,
}

/// How long recovery took.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Recovery {
    /// In the worst seed, so long after the repair.
    WithinMs(u64),
    /// Not within the run, in this many seeds.
    NotInSeeds(usize),
}

/// One tier of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TierRow {
    pub(crate) tier: &'static str,
    pub(crate) in_time_permille: f64,
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    pub(crate) p99_ms: u64,
    pub(crate) counts: Counts,
}

/// One team of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TeamRow {
    pub(crate) team: &'static str,
    /// Requests within the limit over the requests that the limit entitles it to.
    pub(crate) within_of_entitled_permille: f64,
    /// Answers in time over requests within the limit.
    pub(crate) in_time_permille: f64,
}

/// One case of overshoot, the worst of all seeds in each column but for the means.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OvershootRow {
    pub(crate) case: Case,
    pub(crate) worst: Through,
}

/// Measures everything that `effort` asks for.
#[must_use]
pub fn measure(effort: &Effort) -> Measurement {
    let mut runs = Vec::new();
    for scenario in all().iter().filter(|scenario| scenario.name.contains(&effort.only)) {
        runs.extend(measure_scenario(scenario, effort));
    }
    let mut overshoot = Vec::new();
    if "overshoot".contains(&effort.only) {
        overshoot = overshoot_cases().into_iter().map(|case| worst(case, effort.seeds)).collect();
    }
    Measurement { seeds: effort.seeds, runs, overshoot }
}

fn measure_scenario(scenario: &Scenario, effort: &Effort) -> Vec<RunRow> {
    let is_asked_for = |set: &PolicySet| set.name().contains(&effort.policy);
    let sets: Vec<PolicySet> = PolicySet::ALL.into_iter().filter(is_asked_for).collect();
    let mut tallies: Vec<Tally> = sets.iter().map(|_| Tally::new()).collect();
    for seed in 1..=effort.seeds {
        let requests = draw(scenario, seed);
        for (set, tally) in sets.iter().copied().zip(&mut tallies) {
            let ledger = world::run(scenario, &requests, set, seed);
            tally.add(scenario, &requests, &ledger);
        }
    }
    let rows = sets.iter().zip(&tallies);
    rows.map(|(set, tally)| run_row(scenario, *set, tally)).collect()
}

fn run_row(scenario: &Scenario, set: PolicySet, tally: &Tally) -> RunRow {
    let goodput = &tally.goodput_permille;
    let tiers = TIERS.iter().zip(&tally.tiers).map(|(plan, tier)| tier_row(plan.name, tier));
    let teams = if scenario.has_narrow_limits() { 0..TEAMS.len() } else { 0..0 };
    let teams = teams.map(|team| team_row(team, tally));
    RunRow {
        scenario: scenario.name,
        policy: set.name(),
        goodput_permille_mean: goodput.iter().sum::<f64>() / goodput.len().max(1) as f64,
        goodput_permille_worst: lowest(goodput),
        first_tier_permille_worst: lowest(&tally.first_tier_permille),
        expired_permille: tally.all.expired_permille(),
        extra_tries_permille: tally.all.extra_permille(),
        recovery: recovery(&tally.recovery_ms),
        tiers: tiers.collect(),
        teams: teams.collect(),
    }
}

fn tier_row(tier: &'static str, tally: &TierTally) -> TierRow {
    let quantile = |quantile| tally.first_chunk_ms.value_at_quantile(quantile);
    TierRow {
        tier,
        in_time_permille: tally.counts.in_time_permille(),
        p50_ms: quantile(0.5),
        p95_ms: quantile(0.95),
        p99_ms: quantile(0.99),
        counts: tally.counts,
    }
}

fn team_row(team: usize, tally: &Tally) -> TeamRow {
    let counts = &tally.teams[team];
    let within = counts.offered - counts.limited;
    let entitled = tally.entitled[team].max(1.0);
    TeamRow {
        team: TEAMS[team].name,
        within_of_entitled_permille: 1000.0 * within as f64 / entitled,
        in_time_permille: counts.in_time_permille(),
    }
}

fn recovery(recovery_ms: &[Option<u64>]) -> Option<Recovery> {
    let missing = recovery_ms.iter().filter(|recovery_ms| recovery_ms.is_none()).count();
    if missing > 0 {
        return Some(Recovery::NotInSeeds(missing));
    }
    recovery_ms.iter().flatten().copied().max().map(Recovery::WithinMs)
}

fn lowest(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

fn overshoot_cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for entries in [2, 8, 40] {
        for spread in [Spread::Even, Spread::Skewed, Spread::Turning] {
            cases.push(Case { entries, offered_factor: 3.0, spread, cut: Cut::None });
        }
        for cut in [Cut::OneEntry, Cut::HalfOfEntries, Cut::Halves] {
            let spread = Spread::Skewed;
            cases.push(Case { entries, offered_factor: 3.0, spread, cut });
        }
        let spread = Spread::Even;
        cases.push(Case { entries, offered_factor: 0.9, spread, cut: Cut::None });
    }
    cases
}

fn worst(case: Case, seeds: u64) -> OvershootRow {
    let all: Vec<Through> = (1..=seeds).map(|seed| overshoot::run(case, seed)).collect();
    let highest = |of: fn(&Through) -> f64| all.iter().map(of).fold(0.0, f64::max);
    let mean = |of: fn(&Through) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    let worst = Through {
        steady_mean_permille: mean(|through| through.steady_mean_permille),
        steady_peak_permille: highest(|through| through.steady_peak_permille),
        cut_peak_permille: highest(|through| through.cut_peak_permille),
        cut_mean_permille: mean(|through| through.cut_mean_permille),
        cut_overshoot_fair_shares: highest(|through| through.cut_overshoot_fair_shares),
        cut_peak_overshoot_fair_shares: highest(|through| through.cut_peak_overshoot_fair_shares),
        report_bytes_per_s: highest(|through| through.report_bytes_per_s),
    };
    OvershootRow { case, worst }
}
