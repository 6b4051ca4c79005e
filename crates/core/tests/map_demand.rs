//! Tests of the demand estimate of a leader.

use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{CountsSample, DemandEstimator};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LAYERS: usize = 8;
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Number of popular experts; one choice in ten is of any expert.
const POPULAR: usize = 12;

/// A group and the time at which its demand shifts.
struct Case {
    name: &'static str,
    ranks: u16,
    experts: usize,
    /// Requests that a rank processes between two samples, each of which chooses a few experts
    /// often.
    requests: usize,
    shifts_at_ms: Option<u64>,
    /// Accepted number of detected shifts.
    detected_shifts: std::ops::RangeInclusive<usize>,
    /// Least share of the final estimate that must belong to the latest demand.
    min_share: f64,
}

const CASES: &[Case] = &[
    Case {
        name: "12 ranks, steady",
        ranks: 12,
        experts: 72,
        requests: 3,
        shifts_at_ms: None,
        detected_shifts: 0..=0,
        min_share: 0.85,
    },
    Case {
        name: "12 ranks, 300 ms after a shift",
        ranks: 12,
        experts: 72,
        requests: 3,
        shifts_at_ms: Some(3_000),
        detected_shifts: 1..=2,
        min_share: 0.75,
    },
    Case {
        name: "63 ranks, steady",
        ranks: 63,
        experts: 252,
        requests: 1,
        shifts_at_ms: None,
        detected_shifts: 0..=0,
        min_share: 0.85,
    },
    Case {
        name: "63 ranks, 300 ms after a shift",
        ranks: 63,
        experts: 252,
        requests: 1,
        shifts_at_ms: Some(3_000),
        detected_shifts: 1..=2,
        min_share: 0.75,
    },
];

const END_MS: u64 = 3_300;

// Guards against two changes of the map after each shift of demand, the first of which gains little
// while streams pause for twice as long. It happens when the leader decides 300 ms after the shift
// from an average over 200 ms that still includes a third of the demand before it. The copies take
// half a second, and then the leader decides again.
#[test]
fn samples_from_before_a_shift_are_dropped() {
    for case in CASES {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let mut demand = DemandEstimator::default();
        let (mut detected_shifts, mut popular_set) = (0, 0);
        for at_ms in (SAMPLE_INTERVAL_MS..=END_MS).step_by(SAMPLE_INTERVAL_MS as usize) {
            popular_set = usize::from(case.shifts_at_ms.is_some_and(|shift_ms| at_ms > shift_ms));
            for rank in 0..case.ranks {
                let sample = CountsSample::of(&choices(case, popular_set, &mut random));
                demand.add(BootMs(at_ms), rank, case.experts, &sample);
            }
            detected_shifts += usize::from(demand.drop_outdated(BootMs(at_ms)));
        }
        assert!(
            case.detected_shifts.contains(&detected_shifts),
            "{}: {detected_shifts} shifts detected",
            case.name
        );
        let share = share_of(case, popular_set, &demand);
        assert!(
            share >= case.min_share,
            "{}: {share} of the estimate is the last demand",
            case.name
        );
    }
}

/// Returns whether an expert is popular: the first ones of each layer, or the last ones.
fn is_popular(case: &Case, popular_set: usize, expert: usize) -> bool {
    if popular_set == 0 { expert < POPULAR } else { expert >= case.experts - POPULAR }
}

fn choices(case: &Case, popular_set: usize, random: &mut ChaCha8Rng) -> Vec<u32> {
    let mut choices = vec![0; LAYERS * case.experts];
    for layer in 0..LAYERS {
        for _ in 0..case.requests * 8 {
            let expert = if random.random_bool(0.1) {
                random.random_range(0..case.experts)
            } else if popular_set == 0 {
                random.random_range(0..POPULAR)
            } else {
                random.random_range(case.experts - POPULAR..case.experts)
            };
            choices[layer * case.experts + expert] += random.random_range(50..150);
        }
    }
    choices
}

fn share_of(case: &Case, popular_set: usize, demand: &DemandEstimator) -> f64 {
    let by_expert = demand.loads().iter().flat_map(|loads| loads.iter().enumerate());
    let sum: f64 = by_expert
        .filter(|(expert, _)| is_popular(case, popular_set, *expert))
        .map(|(_, load)| load)
        .sum();
    sum / demand.total_choices()
}

/// Choices and the sample expected for them.
struct RoundingCase {
    name: &'static str,
    choices: Vec<u32>,
    unit: u32,
    counts: Vec<u32>,
}

#[test]
fn choices_are_scaled_to_small_counts() {
    let cases = [
        RoundingCase { name: "none", choices: vec![], unit: 1, counts: vec![] },
        RoundingCase { name: "idle", choices: vec![0; 3], unit: 1, counts: vec![0; 3] },
        RoundingCase { name: "few", choices: vec![3, 0, 5], unit: 1, counts: vec![3, 0, 5] },
        RoundingCase {
            name: "many",
            choices: vec![4_000, 0, 240],
            unit: 353,
            counts: vec![11, 0, 1],
        },
        RoundingCase {
            name: "the largest count",
            choices: vec![u32::MAX, 0],
            unit: 536_870_911,
            counts: vec![8, 0],
        },
    ];
    for RoundingCase { name, choices, unit, counts } in cases {
        assert_eq!(CountsSample::of(&choices), CountsSample { unit, counts }, "{name}");
    }
}
