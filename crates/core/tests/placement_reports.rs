//! Policy decisions on late, missing, malformed and noisy load reports.

use googletest::prelude::*;
use hickorycross_config::Balance;
use hickorycross_core::Now;
use hickorycross_core::placement::{
    ChangeOutcome, ExpertMap, GroupShape, LoadEstimator, LoadReport, ProposedChange,
    RebalancePolicy, ReportError, WeightedPolicy, WeightedPolicySettings, pack_layer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};

const STEPS: u64 = 200;
const REPORT_MS: u64 = 1_000;
const SHAPE: GroupShape = GroupShape {
    ranks: 8,
    layers: 3,
    experts_per_layer: 32,
    expert_slots_per_rank: 5,
    expert_bytes: 1 << 20,
};
/// Weight loads are nearly free, so that only the significance test can prevent a change.
const BALANCE: Balance =
    Balance { skew_weight: 100.0, rebalance_cost_weight: 0.01, weight_store_bytes_per_s: 1 << 34 };

fn policy() -> WeightedPolicy {
    WeightedPolicy::new(SHAPE, &WeightedPolicySettings::new(BALANCE))
}

fn even_map() -> ExpertMap {
    let layer = pack_layer(&GroupShape { expert_slots_per_rank: 4, ..SHAPE }, &[1.0; 32]);
    ExpertMap { layers: vec![layer; 3] }
}

fn report(index: u64, layer_loads_tokens: Vec<Vec<f32>>) -> LoadReport {
    LoadReport {
        first_step: index * STEPS,
        last_step: index * STEPS + STEPS - 1,
        ended_at: Now::at((index + 1) * REPORT_MS).unix_ms,
        layer_loads_tokens,
    }
}

/// Returns a report without noise in which one expert has six times the load of the others.
fn hot_expert_report(index: u64, hot_expert: usize) -> LoadReport {
    let mut loads = vec![10_000.0; 32];
    loads[hot_expert] = 60_000.0;
    report(index, vec![loads; 3])
}

/// Returns the time at which a report arrives.
fn arrival(index: u64) -> Now {
    Now::at((index + 2) * REPORT_MS)
}

/// Feeds reports and returns the first proposal.
fn first_change(
    policy: &mut WeightedPolicy,
    map: &ExpertMap,
    reports: impl Iterator<Item = (u64, LoadReport)>,
) -> Option<ProposedChange> {
    let mut decide = |(index, report): (u64, LoadReport)| {
        policy.observe(&report).expect("well-formed");
        policy.propose(arrival(index), map)
    };
    reports.into_iter().find_map(&mut decide)
}

struct NoiseCase {
    name: &'static str,
    /// Relative standard deviation of a report's load.
    deviation: f64,
    /// Correlation of the noise of successive reports.
    correlation: f64,
}

// Guards against experts that are moved back and forth while demand is steady. All experts are
// equally popular, but reports differ by independent or correlated noise, so that some expert
// always looks hot. The largest of many noisy differences must not count as a difference of demand.
#[gtest]
fn noise_alone_proposes_no_change() {
    let cases = [
        NoiseCase { name: "counting", deviation: 0.01, correlation: 0.0 },
        NoiseCase { name: "overdispersed", deviation: 0.1, correlation: 0.0 },
        NoiseCase { name: "correlated", deviation: 0.05, correlation: 0.7 },
        NoiseCase { name: "coarse", deviation: 0.3, correlation: 0.3 },
    ];
    for case in cases {
        // Seeds 60 and 76 come closest to a change among 200 seeds.
        for seed in 60..80 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut noise = vec![vec![0.0; 32]; 3];
            let mut reports = |index| {
                for value in noise.iter_mut().flatten() {
                    let draw: f64 = StandardNormal.sample(&mut rng);
                    *value = case.correlation * *value
                        + (1.0 - case.correlation * case.correlation).sqrt() * draw;
                }
                let load =
                    |value: &f64| (20_000.0 * (1.0 + case.deviation * value)).max(0.0) as f32;
                let loads = noise.iter().map(|layer| layer.iter().map(load).collect()).collect();
                (index, report(index, loads))
            };
            let map = even_map();
            let change = first_change(&mut policy(), &map, (0..600).map(&mut reports));
            let loads = change.map(|change| change.loads);
            expect_that!(loads, none(), "{}, seed {seed}", case.name);
        }
    }
}

#[gtest]
fn hot_expert_is_replicated() {
    let map = even_map();
    let change = first_change(
        &mut policy(),
        &map,
        (0..30).map(|index| (index, hot_expert_report(index, 5))),
    );
    let change = change.expect("a hot expert is worth a replica");
    let replicas = change.target.layers[0].replicas(32);
    expect_that!(replicas[5], gt(1));
    expect_that!(change.prediction.skew_after, lt(change.prediction.skew_before / 2.0));
}

struct WeightCase {
    skew_weight: f64,
    rebalance_cost_weight: f64,
    proposes: bool,
}

#[gtest]
fn balance_weights_decide_whether_a_change_is_proposed() {
    let cases = [
        WeightCase { skew_weight: 0.0, rebalance_cost_weight: 0.0, proposes: false },
        WeightCase { skew_weight: 1.0, rebalance_cost_weight: 0.0, proposes: true },
        WeightCase { skew_weight: 1.0, rebalance_cost_weight: 1.0, proposes: true },
        WeightCase { skew_weight: 0.001, rebalance_cost_weight: 100.0, proposes: false },
    ];
    for case in cases {
        let balance = Balance {
            skew_weight: case.skew_weight,
            rebalance_cost_weight: case.rebalance_cost_weight,
            weight_store_bytes_per_s: 1 << 24,
        };
        let mut policy = WeightedPolicy::new(SHAPE, &WeightedPolicySettings::new(balance));
        let reports = (0..60).map(|index| (index, hot_expert_report(index, 5)));
        let change = first_change(&mut policy, &even_map(), reports);
        let (skew, cost) = (case.skew_weight, case.rebalance_cost_weight);
        expect_that!(change.is_some(), eq(case.proposes), "skew {skew}, cost {cost}");
    }
}

struct InvalidReportCase {
    name: &'static str,
    report: LoadReport,
    expected: ReportError,
}

// Guards against estimates that look more certain than they are, so that experts move on few
// reports. A report is repeated, reordered, overlapping or malformed; its steps must not count
// twice.
#[gtest]
fn unusable_report_leaves_the_estimate_unchanged() {
    let covered = |last_step| ReportError::Covered { last_step, covered: 4 * STEPS - 1 };
    let cases = [
        InvalidReportCase {
            name: "repeated",
            report: hot_expert_report(3, 1),
            expected: covered(4 * STEPS - 1),
        },
        InvalidReportCase {
            name: "reordered",
            report: hot_expert_report(2, 1),
            expected: covered(3 * STEPS - 1),
        },
        InvalidReportCase {
            name: "overlapping",
            report: LoadReport { last_step: 5 * STEPS, ..hot_expert_report(3, 1) },
            expected: covered(5 * STEPS),
        },
        InvalidReportCase {
            name: "backwards",
            report: LoadReport { last_step: 0, ..hot_expert_report(9, 1) },
            expected: ReportError::Backwards { last_step: 0 },
        },
        InvalidReportCase {
            name: "wrong number of layers",
            report: report(9, vec![vec![1.0; 32]; 2]),
            expected: ReportError::Dimensions { layer: 2 },
        },
        InvalidReportCase {
            name: "wrong number of experts",
            report: report(9, vec![vec![1.0; 32], vec![1.0; 31], vec![1.0; 32]]),
            expected: ReportError::Dimensions { layer: 1 },
        },
        InvalidReportCase {
            name: "not a number",
            report: report(9, vec![vec![1.0; 32], vec![1.0; 32], vec![f32::NAN; 32]]),
            expected: ReportError::Load { layer: 2 },
        },
    ];
    for case in cases {
        let mut estimator = LoadEstimator::new(SHAPE);
        (0..4).for_each(|index| {
            estimator.observe(&hot_expert_report(index, 0)).expect("well-formed");
        });
        let before = estimator.loads(0).to_vec();
        expect_that!(estimator.observe(&case.report), err(eq(case.expected)), "{}", case.name);
        expect_that!(estimator.loads(0), eq(before.as_slice()), "{}", case.name);
        expect_that!(estimator.last_covered_step(), some(eq(4 * STEPS - 1)), "{}", case.name);
    }
}

// Guards against a change right after a gap in the reports that is soon undone. Reports show a hot
// expert, then none arrive for a minute, for instance because the process was suspended. Stale
// reports must not count as present demand.
#[gtest]
fn stale_reports_propose_no_change() {
    let mut policy = policy();
    let map = even_map();
    for index in 0..30 {
        policy.observe(&hot_expert_report(index, 5)).expect("well-formed");
    }
    let last = arrival(29).unix_ms;
    expect_that!(policy.propose(Now { unix_ms: last.after(60_000) }, &map), none());
    expect_that!(policy.propose(Now { unix_ms: last }, &map), some(anything()));
}

// Guards against a group that keeps an uneven map under steady demand because two of three reports
// are lost and each gap counts as a permanent failure.
#[gtest]
fn missing_reports_only_delay_a_change() {
    let map = even_map();
    let reports = (0..90).step_by(3).map(|index| (index, hot_expert_report(index, 5)));
    expect_that!(first_change(&mut policy(), &map, reports), some(anything()));
}

// Guards against a group that follows the old demand for a minute after a sudden change, because a
// long window averages over it. One expert is hot for long, then another.
#[gtest]
fn sudden_change_restarts_the_window() {
    let mut estimator = LoadEstimator::new(SHAPE);
    for index in 0..100 {
        estimator.observe(&hot_expert_report(index, 5)).expect("well-formed");
    }
    for index in 100..103 {
        estimator.observe(&hot_expert_report(index, 9)).expect("well-formed");
    }
    expect_that!(estimator.loads(0)[5], approx_eq(50.0));
    expect_that!(estimator.loads(0)[9], approx_eq(300.0));
}

// Guards against requesting the same loads from a failing weight store every few seconds, with a
// cool-down that does not grow when changes are abandoned repeatedly.
#[gtest]
fn abandoned_changes_lengthen_the_cool_down() {
    let mut policy = policy();
    let map = even_map();
    let mut proposed_at = Vec::new();
    for index in 0..600 {
        policy.observe(&hot_expert_report(index, 5)).expect("well-formed");
        if policy.propose(arrival(index), &map).is_some() {
            proposed_at.push(index);
            policy.record_outcome(arrival(index), ChangeOutcome::Abandoned);
        }
    }
    let pauses: Vec<u64> = proposed_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(pauses, len(ge(4)));
    expect_that!(
        pauses.windows(2).map(|pair| pair[0] < pair[1]).collect::<Vec<_>>(),
        each(eq(&true))
    );
}

// Guards against a group that changes its map continually without reducing skew. Each time that the
// group has adapted to a hot expert, another becomes hot. Predictions that fail must slow the
// policy.
#[gtest]
fn unrealised_gains_lengthen_the_cool_down() {
    let mut policy = policy();
    let mut map = even_map();
    let mut changed_at = Vec::new();
    for index in 0..3_000 {
        let hot_expert = changed_at.len() * 5 % 32;
        policy.observe(&hot_expert_report(index, hot_expert)).expect("well-formed");
        if let Some(change) = policy.propose(arrival(index), &map) {
            map = change.target;
            let first_step = (index + 1) * STEPS;
            policy.record_outcome(arrival(index), ChangeOutcome::Adopted { first_step });
            changed_at.push(index);
        }
    }
    let pauses: Vec<u64> = changed_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    expect_that!(pauses, len(ge(4)));
    expect_that!(pauses[..4].is_sorted_by(|left, right| left < right), eq(true));
    let at_first_pace = 3_000 / pauses[0];
    expect_that!(pauses.len() as u64, lt(at_first_pace / 2));
}
