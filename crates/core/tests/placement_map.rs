//! Validation of expert maps and group shapes, and invariants of every map that a policy proposes.

use googletest::prelude::*;
use hickorycross_config::Balance;
use hickorycross_core::Now;
use hickorycross_core::placement::{
    ChangeOutcome, ExpertMap, GroupShape, LayerPlacement, LoadReport, MapError, PeriodicPolicy,
    ProposedChange, RebalancePolicy, ServerLoadCap, ShapeError, ThresholdPolicy, WeightedPolicy,
    WeightedPolicySettings, pack_layer, refine_layer,
};
use proptest::prelude::{Strategy, any, proptest};
use proptest::test_runner::Config;

const STEPS: u64 = 200;
const BALANCE: Balance =
    Balance { skew_weight: 20.0, rebalance_cost_weight: 1.0, weight_store_bytes_per_s: 1 << 30 };

fn shape(ranks: u16, experts: u16, slots: u16) -> GroupShape {
    GroupShape {
        ranks,
        layers: 2,
        experts_per_layer: experts,
        expert_slots_per_rank: slots,
        expert_bytes: 1 << 20,
    }
}

fn report(index: u64, loads: &[f32], layers: u16) -> LoadReport {
    LoadReport {
        first_step: index * STEPS,
        last_step: index * STEPS + STEPS - 1,
        ended_at: Now::at(index * 1000).unix_ms,
        layer_loads_tokens: vec![loads.to_vec(); usize::from(layers)],
    }
}

struct MapCase {
    name: &'static str,
    experts_of_rank: Vec<Vec<u16>>,
    expected: std::result::Result<(), MapError>,
}

#[gtest]
fn expert_map_is_validated() {
    let cases = [
        MapCase { name: "valid", experts_of_rank: vec![vec![0, 1], vec![2]], expected: Ok(()) },
        MapCase {
            name: "replica",
            experts_of_rank: vec![vec![0, 1], vec![2, 0]],
            expected: Ok(()),
        },
        MapCase {
            name: "too few ranks",
            experts_of_rank: vec![vec![0, 1]],
            expected: Err(MapError::Ranks { layer: 0, found: 1, expected: 2 }),
        },
        MapCase {
            name: "too many experts on a rank",
            experts_of_rank: vec![vec![0, 1, 2], vec![2]],
            expected: Err(MapError::Slots { layer: 0, rank: 0, found: 3, slots: 2 }),
        },
        MapCase {
            name: "repeated expert",
            experts_of_rank: vec![vec![0, 0], vec![1, 2]],
            expected: Err(MapError::Expert { layer: 0, rank: 0, expert: 0 }),
        },
        MapCase {
            name: "unknown expert",
            experts_of_rank: vec![vec![0, 3], vec![1, 2]],
            expected: Err(MapError::Expert { layer: 0, rank: 0, expert: 3 }),
        },
        MapCase {
            name: "missing expert",
            experts_of_rank: vec![vec![0], vec![2]],
            expected: Err(MapError::Missing { layer: 0, expert: 1 }),
        },
    ];
    let shape = GroupShape { layers: 1, ..shape(2, 3, 2) };
    for case in cases {
        let map =
            ExpertMap { layers: vec![LayerPlacement { experts_of_rank: case.experts_of_rank }] };
        expect_that!(map.validate(&shape), eq(case.expected), "{}", case.name);
    }
}

struct ShapeCase {
    shape: GroupShape,
    expected: std::result::Result<(), ShapeError>,
}

#[gtest]
fn group_shape_is_validated() {
    let cases = [
        ShapeCase { shape: shape(8, 64, 8), expected: Ok(()) },
        ShapeCase { shape: shape(0, 64, 8), expected: Err(ShapeError::Zero) },
        ShapeCase {
            shape: shape(8, 64, 7),
            expected: Err(ShapeError::TooFewSlots { slots: 56, experts: 64 }),
        },
    ];
    for case in cases {
        expect_that!(case.shape.validate(), eq(case.expected));
    }
}

struct CapCase {
    name: &'static str,
    max_loads: u32,
    proposes: bool,
}

// Guards against changes that are abandoned repeatedly after their weights were read. Demand shifts
// to experts of few ranks, and the best change makes one server load more than its share of the
// weight store covers in time. A limit on the change as a whole does not prevent this.
#[gtest]
fn proposed_loads_stay_within_the_server_cap() {
    let cases = [
        CapCase { name: "nothing", max_loads: 0, proposes: false },
        CapCase { name: "one", max_loads: 1, proposes: true },
        CapCase { name: "two", max_loads: 2, proposes: true },
        CapCase { name: "plenty", max_loads: 100, proposes: true },
    ];
    let shape = shape(8, 32, 6);
    let uniform = pack_layer(&shape, &[1.0; 32]);
    let map = ExpertMap { layers: vec![uniform; 2] };
    let demand: Vec<f32> = (0..32).map(|expert| if expert < 4 { 9e4 } else { 1e4 }).collect();
    let mut most_loads_by_case = Vec::new();
    for CapCase { name, max_loads, proposes } in cases {
        let cap = ServerLoadCap { ranks_per_server: 2, max_loads };
        let settings = WeightedPolicySettings {
            server_cap: Some(cap),
            ..WeightedPolicySettings::new(BALANCE)
        };
        let mut policy = WeightedPolicy::new(shape, &settings);
        let change = (0..60).find_map(|index| {
            policy.observe(&report(index, &demand, shape.layers)).expect("well-formed");
            policy.propose(Now::at(index * 1000), &map)
        });
        expect_that!(change.is_some(), eq(proposes), "{name}");
        let loads = change.map_or_else(Vec::new, |change| change.loads);
        let of = |server| loads.iter().filter(|load| load.rank / 2 == server).count();
        let server_most = (0..4).map(of).max().unwrap_or(0);
        expect_that!(server_most, le(max_loads as usize), "{name}");
        most_loads_by_case.push(server_most);
    }
    expect_that!(
        most_loads_by_case[3],
        gt(2),
        "the smaller caps limit the loads: {most_loads_by_case:?}"
    );
}

fn policies(shape: GroupShape) -> Vec<Box<dyn RebalancePolicy>> {
    vec![
        Box::new(PeriodicPolicy::new(shape, 1000, Now::at(0).unix_ms)),
        Box::new(ThresholdPolicy::new(shape, 0.05, 1000)),
        Box::new(WeightedPolicy::new(shape, &WeightedPolicySettings::new(BALANCE))),
    ]
}

/// Asserts that a change leads to a valid map and that its loads and bytes match that map.
fn check_change(shape: &GroupShape, present: &ExpertMap, change: &ProposedChange) {
    assert_eq!(change.target.validate(shape), Ok(()));
    assert_eq!(change.loads, present.weight_loads_for(&change.target));
    assert_eq!(change.prediction.moved_bytes, change.loads.len() as u64 * shape.expert_bytes);
}

fn shapes() -> impl Strategy<Value = GroupShape> {
    (1u16..10, 1u16..40, 0u16..4)
        .prop_map(|(ranks, experts, spare)| shape(ranks, experts, experts.div_ceil(ranks) + spare))
}

proptest! {
    #![proptest_config(Config::with_cases(32))]

    #[test]
    fn packed_and_refined_layers_keep_the_invariants(
        shape in shapes(),
        loads in proptest::collection::vec(0.0f64..1e4, 40),
    ) {
        let loads = &loads[..usize::from(shape.experts_per_layer)];
        let packed = pack_layer(&shape, loads);
        let refined = refine_layer(&shape, &packed, loads, 10);
        let map = ExpertMap { layers: vec![packed, refined] };
        assert_eq!(map.validate(&shape), Ok(()));
    }

    #[test]
    fn every_proposed_map_keeps_the_invariants(
        shape in shapes(),
        demands in proptest::collection::vec(proptest::collection::vec(0.0f32..1e6, 40), 1..4),
        adopts in any::<bool>(),
    ) {
        for mut policy in policies(shape) {
            let experts = usize::from(shape.experts_per_layer);
            let uniform = vec![1.0; experts];
            let mut map = ExpertMap { layers: vec![pack_layer(&shape, &uniform); 2] };
            for index in 0..60u64 {
                let demand = &demands[index as usize * demands.len() / 60][..experts];
                policy.observe(&report(index, demand, shape.layers)).expect("well-formed");
                let now = Now::at(index * 1000);
                let Some(change) = policy.propose(now, &map) else { continue };
                check_change(&shape, &map, &change);
                if policy.name() == "weighted" {
                    let limit =
                        WeightedPolicySettings::MAX_LOADS_PER_LAYER * u32::from(shape.layers);
                    assert!(change.loads.len() <= limit as usize);
                }
                if adopts {
                    map = change.target;
                    policy.record_outcome(
                        now,
                        ChangeOutcome::Adopted { first_step: index * STEPS + 100 },
                    );
                } else {
                    policy.record_outcome(now, ChangeOutcome::Abandoned);
                }
            }
        }
    }
}
