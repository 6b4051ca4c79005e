//! Orders to engines and the steps of a group.

use googletest::prelude::*;
use hickorycross_core::Fencing;
use hickorycross_core::group::{EngineOrder, EngineState, Epoch, ExpertMap, MapShape, StepGrant};
use hickorycross_core::placement::RankLoad;
use hickorycross_standins::group::{OldFencing, OrderCall, RanksReport};
use hickorycross_standins::{
    EngineOptions, EngineStandIn, Failure, GroupClock, GroupOptions, RankOptions, expected_answer,
};
use std::time::Duration;

/// Bound on the wait for steps that must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Wait for steps that must not come.
const SILENCE: Duration = Duration::from_millis(100);
/// The group's sizes.
const SHAPE: MapShape = MapShape { ranks: 4, experts: 16, layers: 2 };
/// The membership under which the tests grant.
const EPOCH: Epoch = Epoch { revision: 1, digest: 1 };

struct Group {
    clock: GroupClock,
    engines: Vec<EngineStandIn>,
}

impl Group {
    /// Four ranks on two engines.
    async fn start(checks_fencing: bool) -> Self {
        let options = GroupOptions {
            even_step_us: 1_000,
            window_steps: 10,
            report_lag_ms: 0,
            ..GroupOptions::default()
        };
        let clock = GroupClock::start(options);
        let mut engines = Vec::new();
        for first_rank in [0, 2] {
            engines.push(engine(&clock, first_rank, checks_fencing).await);
        }
        Self { clock, engines }
    }

    /// Gives an order to some engines, all of which must carry it out.
    async fn order(&self, engines: &[usize], fencing: u64, order: &EngineOrder) {
        for index in engines {
            let result = give(&self.engines[*index], fencing, order).await;
            assert!(result.is_ok(), "engine {index}: {order:?}");
        }
    }

    async fn stage_and_grant(&self, version: u64, through_step: u64) {
        self.order(&[0, 1], 1, &stage(version)).await;
        self.order(&[0, 1], 1, &grant(version, through_step)).await;
    }

    async fn change(&self, from: u64, at_step: u64, to: u64, through_step: u64) {
        self.order(&[0, 1], 1, &stage(to)).await;
        let grants = vec![step_grant(from, 1, at_step), step_grant(to, at_step + 1, through_step)];
        self.order(&[0, 1], 1, &EngineOrder::Grant { grants }).await;
    }

    async fn reach(&self, step: u64) {
        tokio::time::timeout(PATIENCE, self.clock.wait_for_step(step)).await.unwrap();
    }

    /// Asserts that the group stands still after a step.
    async fn stands_at(&self, step: u64) {
        self.reach(step).await;
        tokio::time::sleep(SILENCE).await;
        expect_that!(self.clock.steps_made(), eq(step));
    }
}

async fn engine(clock: &GroupClock, first_rank: u16, checks_fencing: bool) -> EngineStandIn {
    let ranks = RankOptions {
        group: clock.clone(),
        first_rank,
        rank_count: 2,
        checks_fencing,
        expert_load_us: 0,
    };
    let options = EngineOptions { ranks: Some(ranks), ..EngineOptions::default() };
    EngineStandIn::start(options).await.unwrap()
}

fn map(version: u64) -> ExpertMap {
    let mut map = ExpertMap::uniform(version, SHAPE);
    // Versions differ in content: one expert gets a replica.
    map.layers[0].experts_of_rank[0].push(u16::try_from(version % 2).unwrap() + 1);
    map
}

fn stage(version: u64) -> EngineOrder {
    stage_map(map(version))
}

fn stage_map(map: ExpertMap) -> EngineOrder {
    EngineOrder::Stage { map: map.into() }
}

fn step_grant(version: u64, from_step: u64, through_step: u64) -> StepGrant {
    StepGrant { epoch: EPOCH, map: map(version).reference(), from_step, through_step }
}

fn grant(version: u64, through_step: u64) -> EngineOrder {
    EngineOrder::Grant { grants: vec![step_grant(version, 1, through_step)] }
}

async fn give(
    engine: &EngineStandIn,
    fencing: u64,
    order: &EngineOrder,
) -> std::result::Result<EngineState, OldFencing> {
    let url = format!("http://{}/v1/orders", engine.address());
    let call = OrderCall { fencing: Fencing(fencing), order: order.clone() };
    let response = reqwest::Client::new().post(url).json(&call).send().await.unwrap();
    match response.status().as_u16() {
        200 => Ok(response.json().await.unwrap()),
        409 => Err(response.json().await.unwrap()),
        status => panic!("status {status}"),
    }
}

#[derive(serde::Deserialize)]
struct Loads {
    windows: Vec<RankLoad>,
}

async fn load(engine: &EngineStandIn) -> RankLoad {
    let url = format!("http://{}/v1/ranks/load?after=0", engine.address());
    let loads: Loads = reqwest::get(url).await.unwrap().json().await.unwrap();
    let windows = loads.windows;
    assert!(windows.windows(2).all(|pair| pair[0].last_step < pair[1].first_step));
    windows.into_iter().next_back().unwrap()
}

async fn report(engine: &EngineStandIn) -> RanksReport {
    let url = format!("http://{}/v1/ranks", engine.address());
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

#[gtest]
#[tokio::test]
async fn orders_have_the_shape_of_the_protocol() {
    struct Case {
        order: EngineOrder,
        json: &'static str,
    }
    let small = MapShape { ranks: 2, experts: 2, layers: 1 };
    let cases = [
        Case { order: EngineOrder::Inspect, json: r#"{"fencing":3,"order":{"kind":"inspect"}}"# },
        Case {
            order: stage_map(ExpertMap::uniform(7, small)),
            json: r#"{"fencing":3,"order":{"kind":"stage","map":{"version":7,"ranks":2,"experts":2,"layers":[{"experts_of_rank":[[0],[1]]}]}}}"#,
        },
        Case {
            order: EngineOrder::Grant { grants: vec![] },
            json: r#"{"fencing":3,"order":{"kind":"grant","grants":[]}}"#,
        },
    ];
    for case in cases {
        let call = OrderCall { fencing: Fencing(3), order: case.order };
        expect_that!(serde_json::to_string(&call).unwrap().as_str(), eq(case.json));
        expect_that!(serde_json::from_str::<OrderCall>(case.json).unwrap(), eq(&call));
    }
}

#[gtest]
#[tokio::test]
async fn orders_by_what_went_before() {
    let mut incomplete = map(3);
    incomplete.layers[1].experts_of_rank[3].clear();
    let mut out_of_range = map(3);
    out_of_range.layers[0].experts_of_rank[0].push(16);
    let other_shape = ExpertMap::uniform(3, MapShape { ranks: 2, ..SHAPE });
    let discard = EngineOrder::Discard { map: map(1).reference() };
    struct Case {
        name: &'static str,
        before: Vec<EngineOrder>,
        order: EngineOrder,
        resident: Vec<u64>,
        granted: Vec<u64>,
        stage_failed: bool,
    }
    let case = |name, before, order, resident: &[u64], granted: &[u64], stage_failed| Case {
        name,
        before,
        order,
        resident: resident.to_vec(),
        granted: granted.to_vec(),
        stage_failed,
    };
    let cases = [
        case("stage", vec![], stage(1), &[1], &[], false),
        case("stage twice", vec![stage(1)], stage(1), &[1], &[], false),
        case("stage another", vec![stage(1)], stage(2), &[1, 2], &[], false),
        case("grant", vec![stage(1)], grant(1, 5), &[1], &[1], false),
        case("grant of a map that is not there", vec![stage(1)], grant(2, 5), &[1], &[], false),
        case("discard", vec![stage(1)], discard.clone(), &[], &[], false),
        case("discard of a granted map", vec![stage(1), grant(1, 5)], discard, &[1], &[1], false),
        case("expert left out", vec![], stage_map(incomplete), &[], &[], true),
        case("expert out of range", vec![], stage_map(out_of_range), &[], &[], true),
        case("other shape", vec![], stage_map(other_shape), &[], &[], true),
    ];
    for case in cases {
        let group = Group::start(true).await;
        for order in &case.before {
            group.order(&[0], 1, order).await;
        }
        let state = give(&group.engines[0], 1, &case.order).await.unwrap();
        let resident: Vec<u64> = state.resident.iter().map(|map| map.version).collect();
        let granted: Vec<u64> = state.grants.iter().map(|grant| grant.map.version).collect();
        let failed = report(&group.engines[0]).await.stage_failed.is_some();
        expect_that!(resident, eq(&case.resident), "{}", case.name);
        expect_that!(granted, eq(&case.granted), "{}", case.name);
        expect_that!(failed, eq(case.stage_failed), "{}", case.name);
        expect_that!(group.engines[0].orders().len(), eq(case.before.len() + 1), "{}", case.name);
        expect_that!(group.clock.steps_made(), eq(0), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn old_fencing_tokens_by_kind_of_engine() {
    // Symptom: an engine follows two coordinators.
    // Sequence: a coordinator is replaced, wakes late and goes on giving orders.
    // Cause: the engine does not compare fencing tokens, or nobody shields it.
    struct Case {
        checks_fencing: bool,
        result: std::result::Result<(), OldFencing>,
    }
    let cases = [
        Case { checks_fencing: true, result: Err(OldFencing { highest: Fencing(5) }) },
        Case { checks_fencing: false, result: Ok(()) },
    ];
    for case in cases {
        let group = Group::start(case.checks_fencing).await;
        group.order(&[0], 5, &stage(1)).await;
        let result = give(&group.engines[0], 4, &stage(2)).await.map(|_| ());
        expect_that!(result, eq(case.result));
        group.order(&[0], 5, &stage(3)).await;
        group.order(&[0], 6, &stage(4)).await;
    }
}

#[gtest]
#[tokio::test]
async fn group_steps_only_as_far_as_every_rank_is_granted() {
    let group = Group::start(true).await;
    group.stands_at(0).await;
    group.order(&[0, 1], 1, &stage(1)).await;
    group.order(&[0], 1, &grant(1, 20)).await;
    group.stands_at(0).await;
    group.order(&[1], 1, &grant(1, 10)).await;
    group.stands_at(10).await;
    group.order(&[1], 1, &grant(1, 30)).await;
    group.stands_at(20).await;
    expect_that!(group.clock.mixed_steps(), eq(0));
}

#[gtest]
#[tokio::test]
async fn map_changes_at_one_step_for_all() {
    let group = Group::start(true).await;
    group.order(&[0, 1], 1, &stage(1)).await;
    group.change(1, 10, 2, 20).await;
    group.stands_at(20).await;
    let steps = group.clock.steps();
    expect_that!(steps.len(), eq(20));
    for step in &steps {
        let version = if step.step <= 10 { 1 } else { 2 };
        expect_that!(step.is_uniform(), eq(true), "{step:?}");
        expect_that!(step.ranks[3].map, eq(map(version).reference()), "{step:?}");
    }
    let report = report(&group.engines[1]).await;
    expect_that!(report.steps.len(), eq(2));
    expect_that!(report.steps[0].map, eq(map(2).reference()));
    expect_that!(report.steps[0].step, eq(20));
    expect_that!(report.resident.len(), eq(2));
}

#[gtest]
#[tokio::test]
async fn unshielded_engines_mix_maps_and_the_clock_notices() {
    // Symptom: ranks of one group use different maps in one step.
    // Sequence: two coordinators grant different maps to engines that ignore fencing tokens.
    // Cause: nobody between the deposed coordinator and the engine refuses its orders.
    let group = Group::start(false).await;
    group.order(&[0, 1], 2, &stage(1)).await;
    group.order(&[0, 1], 2, &stage(2)).await;
    group.order(&[0], 2, &grant(2, 10)).await;
    group.order(&[1], 1, &grant(1, 10)).await;
    group.stands_at(10).await;
    expect_that!(group.clock.mixed_steps(), eq(10));
    expect_that!(group.clock.steps()[0].is_uniform(), eq(false));
}

#[gtest]
#[tokio::test]
async fn slowest_rank_sets_the_time_of_a_step() {
    let group = Group::start(true).await;
    group.stage_and_grant(1, 5).await;
    group.reach(5).await;
    group.engines[0].update(|knobs| knobs.latency_permille = 4_000);
    group.order(&[0, 1], 1, &grant(1, 10)).await;
    group.reach(10).await;
    let steps = group.clock.steps();
    expect_that!(steps[7].step_us, gt(3 * steps[2].step_us));
    expect_that!(steps[7].skew_us(), gt(3 * steps[2].ranks[0].rank_us / 2));
}

#[gtest]
#[tokio::test]
async fn stalled_or_lost_rank_holds_the_whole_group() {
    // Symptom: no rank of a group makes a step.
    // Sequence: one engine stalls, goes on, dies and is replaced by a new one.
    // Cause: ranks in lock-step wait for each other, and a new engine knows no map.
    let mut group = Group::start(true).await;
    group.stage_and_grant(1, 1_000_000).await;
    group.reach(3).await;
    group.engines[1].update(|knobs| knobs.failure = Failure::Stall);
    tokio::time::sleep(SILENCE).await;
    let stalled = group.clock.steps_made();
    group.stands_at(stalled).await;
    group.engines[1].update(|knobs| knobs.failure = Failure::None);
    group.reach(stalled + 3).await;
    group.engines.pop();
    tokio::time::sleep(SILENCE).await;
    let lost = group.clock.steps_made();
    let replacement = engine(&group.clock, 2, true).await;
    group.engines.push(replacement);
    group.stands_at(lost).await;
    expect_that!(report(&group.engines[1]).await.steps, is_empty());
    group.order(&[1], 2, &stage(1)).await;
    group.order(&[1], 2, &grant(1, 1_000_000)).await;
    group.reach(lost + 3).await;
    expect_that!(group.clock.mixed_steps(), eq(0));
}

#[gtest]
#[tokio::test]
async fn reports_follow_demand() {
    let group = Group::start(true).await;
    let mut demand = vec![vec![0.0; 16]; 2];
    demand[0][1] = 40.0;
    demand[1][2] = 20.0;
    group.clock.set_demand(demand);
    group.stage_and_grant(2, 50).await;
    group.stands_at(50).await;
    // Map 2 has a replica of expert 1 on rank 0 in layer 0; expert 2 stands on rank 2 alone.
    let first = load(&group.engines[0]).await;
    expect_that!(first.layer_loads_tokens[0][1], eq(400));
    expect_that!(first.layer_loads_tokens[1][2], eq(0));
    let second = load(&group.engines[1]).await;
    expect_that!(second.layer_loads_tokens[0][1], eq(0));
    expect_that!(second.layer_loads_tokens[1][2], eq(200));
    expect_that!(first.last_step - first.first_step, eq(9));
    expect_that!(second.first_rank, eq(2));
}

#[gtest]
#[tokio::test]
async fn moved_experts_take_time_to_load_and_are_counted() {
    let clock = GroupClock::start(GroupOptions::default());
    let ranks = RankOptions {
        group: clock.clone(),
        first_rank: 0,
        rank_count: 4,
        checks_fencing: true,
        expert_load_us: 20_000,
    };
    let options = EngineOptions { ranks: Some(ranks), ..EngineOptions::default() };
    let engine = EngineStandIn::start(options).await.unwrap();
    give(&engine, 1, &stage_map(ExpertMap::uniform(1, SHAPE))).await.unwrap();
    let state = give(&engine, 1, &stage(2)).await.unwrap();
    expect_that!(state.staging, some(eq(map(2).reference())));
    expect_that!(engine.experts_moved(), eq(1));
    let loaded = async {
        while report(&engine).await.resident.len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, loaded).await.unwrap();
    let state = give(&engine, 1, &grant(2, 2_000_000)).await.unwrap();
    expect_that!(state.grants, elements_are![eq(&step_grant(2, 1, 2_000_000))]);
}

#[gtest]
#[tokio::test]
async fn tokens_wait_for_steps() {
    let group = Group::start(true).await;
    let url = format!("http://{}/v1/completions", group.engines[0].address());
    let body = r#"{"model":"m","prompt":"p","max_tokens":5}"#;
    let answer = tokio::spawn(reqwest::Client::new().post(url).body(body).send());
    while group.engines[0].running() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    group.stage_and_grant(1, 4).await;
    group.stands_at(4).await;
    expect_that!(group.engines[0].running(), eq(1));
    group.order(&[0, 1], 1, &grant(1, 8)).await;
    let text = answer.await.unwrap().unwrap().text().await.unwrap();
    expect_that!(text, contains_substring(expected_answer("m", "p", 5)));
}

/// Guards against an answer that never ends because steps of a burst, as after a pause of the
/// machine, count as one.
#[gtest]
#[tokio::test]
async fn each_token_takes_one_step_of_a_burst() {
    const TOKENS: u64 = 5;
    let group = Group::start(true).await;
    let url = format!("http://{}/v1/completions", group.engines[0].address());
    let body = r#"{"model":"m","prompt":"p","max_tokens":5}"#;
    let answer = tokio::spawn(reqwest::Client::new().post(url).body(body).send());
    while group.engines[0].running() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    group.stage_and_grant(1, TOKENS).await;
    // Nothing else runs on this thread meanwhile, so that all steps are due at once.
    std::thread::sleep(Duration::from_millis(50));
    let answer = tokio::time::timeout(PATIENCE, answer).await;
    let answer = answer.expect("all tokens within as many steps").unwrap().unwrap();
    expect_that!(answer.text().await.unwrap(), contains_substring(expected_answer("m", "p", 5)));
}
