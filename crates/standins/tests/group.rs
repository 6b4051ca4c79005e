//! Orders to engines and the steps of a group.

use googletest::prelude::*;
use hickorycross_config::Digest;
use hickorycross_core::Fencing;
use hickorycross_standins::group::{ExpertMap, Order, OrderCall, OrderError, RanksReport};
use hickorycross_standins::{
    EngineOptions, EngineStandIn, Failure, GroupClock, GroupOptions, RankOptions, expected_answer,
};
use std::time::Duration;

/// Bound on the wait for steps that must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Wait for steps that must not come.
const SILENCE: Duration = Duration::from_millis(100);
/// The digest that the tests grant each map with.
const fn digest(version: u64) -> Digest {
    Digest(1_000 + version)
}

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
    async fn order(&self, engines: &[usize], fencing: u64, order: &Order) {
        for index in engines {
            let result = give(&self.engines[*index], fencing, order).await;
            assert_eq!(result, Ok(()), "engine {index}: {order:?}");
        }
    }

    async fn stage_and_grant(&self, version: u64, through_step: u64) {
        self.order(&[0, 1], 1, &stage(version)).await;
        self.order(&[0, 1], 1, &grant(version, through_step)).await;
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
        weights_version: "w1".to_owned(),
        expert_load_us: 0,
        weights_load_ms: 0,
    };
    let options = EngineOptions { ranks: Some(ranks), ..EngineOptions::default() };
    EngineStandIn::start(options).await.unwrap()
}

fn map(version: u64) -> ExpertMap {
    let mut map = ExpertMap::even(version, 4, 16, 2);
    // Versions differ in content: one expert gets a replica.
    map.layers[0].experts_of_rank[0].push(u16::try_from(version % 2).unwrap() + 1);
    map
}

fn stage(version: u64) -> Order {
    Order::StageMap { map: map(version) }
}

fn grant(version: u64, through_step: u64) -> Order {
    Order::Grant { version, digest: digest(version), through_step }
}

async fn give(
    engine: &EngineStandIn,
    fencing: u64,
    order: &Order,
) -> std::result::Result<(), OrderError> {
    let url = format!("http://{}/v1/orders", engine.address());
    let call = OrderCall { fencing: Fencing(fencing), order: order.clone() };
    let response = reqwest::Client::new().post(url).json(&call).send().await.unwrap();
    match response.status().as_u16() {
        200 => Ok(()),
        409 | 422 => Err(response.json().await.unwrap()),
        status => panic!("status {status}"),
    }
}

async fn report(engine: &EngineStandIn) -> RanksReport {
    let url = format!("http://{}/v1/ranks", engine.address());
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

#[gtest]
#[tokio::test]
async fn orders_have_the_shape_of_the_protocol() {
    struct Case {
        order: Order,
        json: &'static str,
    }
    let cases = [
        Case {
            order: Order::StageMap { map: ExpertMap::even(7, 2, 2, 1) },
            json: r#"{"fencing":3,"order":{"kind":"stage_map","map":{"version":7,"ranks":2,"experts":2,"layers":[{"experts_of_rank":[[0],[1]]}]}}}"#,
        },
        Case {
            order: Order::Grant { version: 7, digest: Digest(5), through_step: 90 },
            json: r#"{"fencing":3,"order":{"kind":"grant","version":7,"digest":5,"through_step":90}}"#,
        },
        Case {
            order: Order::LoadWeights { version: "w2".to_owned() },
            json: r#"{"fencing":3,"order":{"kind":"load_weights","version":"w2"}}"#,
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
    let mut other = map(1);
    other.layers[1].experts_of_rank[3].push(0);
    let mut incomplete = map(3);
    incomplete.layers[1].experts_of_rank[3].clear();
    let mut out_of_range = map(3);
    out_of_range.layers[0].experts_of_rank[0].push(16);
    struct Case {
        name: &'static str,
        before: Vec<Order>,
        order: Order,
        result: std::result::Result<(), OrderError>,
    }
    let cases = [
        Case { name: "stage", before: vec![], order: stage(1), result: Ok(()) },
        Case { name: "stage twice", before: vec![stage(1)], order: stage(1), result: Ok(()) },
        Case { name: "grant", before: vec![stage(1)], order: grant(1, 5), result: Ok(()) },
        Case {
            name: "grant of another",
            before: vec![stage(1)],
            order: grant(2, 5),
            result: Err(OrderError::NotStaged { version: 2 }),
        },
        Case {
            name: "other content of a staged version",
            before: vec![stage(1)],
            order: Order::StageMap { map: other.clone() },
            result: Ok(()),
        },
        Case {
            name: "other content of a granted version",
            before: vec![stage(1), grant(1, 5)],
            order: Order::StageMap { map: other },
            result: Err(OrderError::VersionTaken { version: 1 }),
        },
        Case {
            name: "expert left out",
            before: vec![],
            order: Order::StageMap { map: incomplete },
            result: Err(OrderError::BadMap),
        },
        Case {
            name: "expert out of range",
            before: vec![],
            order: Order::StageMap { map: out_of_range },
            result: Err(OrderError::BadMap),
        },
        Case {
            name: "other shape",
            before: vec![],
            order: Order::StageMap { map: ExpertMap::even(1, 2, 16, 2) },
            result: Err(OrderError::BadMap),
        },
    ];
    for case in cases {
        let group = Group::start(true).await;
        for order in &case.before {
            group.order(&[0], 1, order).await;
        }
        let result = give(&group.engines[0], 1, &case.order).await;
        expect_that!(result, eq(case.result), "{}", case.name);
        let seen = group.engines[0].orders().pop().unwrap();
        expect_that!(seen.result, eq(case.result), "{}", case.name);
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
        result: std::result::Result<(), OrderError>,
    }
    let cases = [
        Case { checks_fencing: true, result: Err(OrderError::OldFencing { highest: Fencing(5) }) },
        Case { checks_fencing: false, result: Ok(()) },
    ];
    for case in cases {
        let group = Group::start(case.checks_fencing).await;
        group.order(&[0], 5, &stage(1)).await;
        expect_that!(give(&group.engines[0], 4, &stage(2)).await, eq(case.result));
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
    group.stage_and_grant(1, 10).await;
    group.stage_and_grant(2, 20).await;
    group.stands_at(20).await;
    let steps = group.clock.steps();
    expect_that!(steps.len(), eq(20));
    for step in &steps {
        let version = if step.step <= 10 { 1 } else { 2 };
        expect_that!(step.is_uniform(), eq(true), "{step:?}");
        expect_that!(step.ranks[3].version, eq(version), "{step:?}");
        expect_that!(step.ranks[3].digest, eq(digest(version)), "{step:?}");
        expect_that!(step.ranks[3].content, eq(map(version).content_digest()), "{step:?}");
    }
    let report = report(&group.engines[1]).await;
    expect_that!(report.map_version, eq(2));
    expect_that!(report.granted_through, eq(20));
    expect_that!(report.step, eq(20));
    expect_that!(report.staged, elements_are![eq(&1), eq(&2)]);
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
    expect_that!(report(&group.engines[1]).await.map_version, eq(0));
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
    let first = report(&group.engines[0]).await.load.unwrap();
    expect_that!(first.tokens_of_expert[0][1], eq(400));
    expect_that!(first.tokens_of_expert[1][2], eq(0));
    let second = report(&group.engines[1]).await.load.unwrap();
    expect_that!(second.tokens_of_expert[0][1], eq(0));
    expect_that!(second.tokens_of_expert[1][2], eq(200));
    expect_that!(first.reports_to_step - first.reports_from_step, eq(9));
    expect_that!(first.map_version, eq(2));
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
        weights_version: "w1".to_owned(),
        expert_load_us: 20_000,
        weights_load_ms: 20,
    };
    let options = EngineOptions { ranks: Some(ranks), ..EngineOptions::default() };
    let engine = EngineStandIn::start(options).await.unwrap();
    let orders =
        [Order::StageMap { map: ExpertMap::even(1, 4, 16, 2) }, grant(1, 1_000_000), stage(2)];
    for order in &orders {
        expect_that!(give(&engine, 1, order).await, eq(Ok(())));
    }
    expect_that!(engine.experts_moved(), eq(1));
    expect_that!(give(&engine, 1, &Order::LoadWeights { version: "w2".into() }).await, eq(Ok(())));
    let loaded = async {
        while report(&engine).await.staged != [1, 2]
            || report(&engine).await.weights_version != "w2"
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, loaded).await.unwrap();
    expect_that!(give(&engine, 1, &grant(2, 2_000_000)).await, eq(Ok(())));
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
