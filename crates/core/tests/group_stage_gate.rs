//! Loads of maps that wait for the agent's share of the weight store.

use googletest::prelude::*;
use hickorycross_core::Now;
use hickorycross_core::group::timing::STAGE_DEADLINE_MS;
use hickorycross_core::group::{
    ExpertMap, MapRef, MapShape, StageDecision, StageEvent, StageGate, max_loads_within,
    missing_experts,
};
use hickorycross_core::placement::{WeightLoad, WeightLoaderSettings};

const SHAPE: MapShape = MapShape { ranks: 4, experts: 8, layers: 2 };
const SEED: u64 = 5;
const START_MS: u64 = 1_000;
/// The driver's pause between two ticks.
const TICK_MS: u64 = 20;
/// Experts of the map that the cases load.
const LOADS: u16 = 6;

fn reference(version: u64) -> MapRef {
    ExpertMap::uniform(version, SHAPE).reference()
}

fn loads(count: u16) -> Vec<WeightLoad> {
    (0..count).map(|expert| WeightLoad { layer: 0, expert, rank: 0 }).collect()
}

/// Experts of 1,000 bytes.
fn settings(store_bytes_per_s: u64, agents: u32) -> WeightLoaderSettings {
    WeightLoaderSettings { store_bytes_per_s, agents, expert_bytes: 1_000 }
}

/// Ticks until there is news; gives the moment.
fn news(gate: &mut StageGate, from_ms: u64) -> (u64, StageEvent) {
    let ticks = (from_ms..=from_ms + 2 * STAGE_DEADLINE_MS).step_by(TICK_MS as usize);
    let mut told = ticks.filter_map(|ms| gate.tick(Now::at(ms)).map(|news| (ms, news)));
    told.next().expect("news")
}

struct PaceCase {
    name: &'static str,
    settings: WeightLoaderSettings,
    /// Wait for the order to load six experts, in ticks.
    waits_ms: u64,
}

// Symptom: requests slow down everywhere while one group changes its map.
// Sequence: every agent has its engine load all experts of a map at once.
// Cause: loads go to the weight store as fast as it answers, not as fast as the document allows.
#[gtest]
fn an_order_waits_until_the_share_covers_its_loads() {
    let cases = [
        PaceCase { name: "alone", settings: settings(10_000, 1), waits_ms: 500 },
        PaceCase { name: "slow store", settings: settings(1_000, 1), waits_ms: 5_000 },
        PaceCase { name: "two groups of two", settings: settings(10_000, 4), waits_ms: 2_000 },
        PaceCase { name: "turns below a tick", settings: settings(1_000_000, 1), waits_ms: 20 },
    ];
    for PaceCase { name, settings, waits_ms } in cases {
        let mut gate = StageGate::new(settings, SEED);
        let verdict = gate.request(Now::at(START_MS), reference(1), loads(LOADS));
        expect_that!(verdict, eq(StageDecision::Defer), "{name}");
        let (due_ms, told) = news(&mut gate, START_MS);
        expect_that!(told, eq(StageEvent::Due(reference(1))), "{name}");
        expect_that!(due_ms - START_MS, eq(waits_ms), "{name}");
        let verdict = gate.request(Now::at(due_ms), reference(1), loads(LOADS));
        expect_that!(verdict, eq(StageDecision::Forward), "{name}");
        expect_that!(gate.tick(Now::at(due_ms + 60_000)), none(), "{name}");
    }
}

// Symptom: the weight store refuses loads although every agent keeps to its share.
// Sequence: agents of several groups change their maps again and again.
// Cause: the first load of each map is free, whatever was loaded just before.
#[gtest]
fn a_crowd_of_agents_stays_within_the_stores_rate() {
    const AGENTS: u32 = 6;
    const MAPS: u64 = 8;
    const RATE: u64 = 30_000;
    let settings = settings(RATE, AGENTS);
    let mut gates: Vec<_> = (0..AGENTS).map(|_| StageGate::new(settings, SEED)).collect();
    let mut end_ms = START_MS;
    for gate in &mut gates {
        let mut now_ms = START_MS;
        for version in 1..=MAPS {
            let verdict = gate.request(Now::at(now_ms), reference(version), loads(LOADS));
            assert_that!(verdict, eq(StageDecision::Defer));
            (now_ms, _) = news(gate, now_ms);
            let verdict = gate.request(Now::at(now_ms), reference(version), loads(LOADS));
            assert_that!(verdict, eq(StageDecision::Forward));
            gate.on_loaded(reference(version));
        }
        end_ms = end_ms.max(now_ms);
    }
    let loaded_bytes = u64::from(AGENTS) * MAPS * u64::from(LOADS) * settings.expert_bytes;
    // Each agent's first expert is read at the start of its turn.
    let early_bytes = u64::from(AGENTS) * settings.expert_bytes;
    let allowed_bytes = (end_ms - START_MS) * RATE / 1_000 + early_bytes;
    expect_that!(loaded_bytes, le(allowed_bytes));
}

/// How an order that was given goes wrong.
type Spoil = fn(&mut StageGate, Now) -> bool;

struct RefusalCase {
    name: &'static str,
    spoil: Spoil,
}

// Symptom: a change is abandoned at the first refusal of the store, or agents hammer the store.
// Sequence: the engine cannot load the map; the agent hears of it by a report, or because the core
// orders the load again. The store goes on refusing, or grants a later try.
// Cause: a refusal is taken for a failure of the map, or repeated without a back-off.
#[gtest]
fn a_refused_load_backs_off_and_keeps_its_turn() {
    let cases = [
        RefusalCase { name: "reported", spoil: |gate, now| gate.on_load_failed(now, reference(1)) },
        RefusalCase {
            name: "ordered again",
            spoil: |gate, now| gate.request(now, reference(1), loads(1)) == StageDecision::Defer,
        },
    ];
    for RefusalCase { name, spoil } in cases {
        let mut gate = StageGate::new(settings(10_000, 1), SEED);
        let mut now_ms = START_MS;
        let given = gate.request(Now::at(now_ms), reference(1), loads(1));
        expect_that!(given, eq(StageDecision::Forward), "{name}");
        let mut waits = Vec::new();
        let gave_up_ms = loop {
            expect_true!(spoil(&mut gate, Now::at(now_ms)));
            let (at_ms, told) = news(&mut gate, now_ms);
            if told == StageEvent::Abandoned(reference(1)) {
                break at_ms;
            }
            waits.push(at_ms - now_ms);
            now_ms = at_ms;
            let given = gate.request(Now::at(now_ms), reference(1), loads(1));
            expect_that!(given, eq(StageDecision::Forward), "{name}");
        };
        expect_that!(gave_up_ms - START_MS, eq(STAGE_DEADLINE_MS), "{name}");
        expect_that!(waits[3], gt(4 * waits[0]), "{name}: longer at first: {waits:?}");
        let last = *waits.last().expect("waits");
        expect_that!(last, le(100 + TICK_MS), "{name}: then a turn: {waits:?}");
        let next = gate.request(Now::at(gave_up_ms + 1_000), reference(2), loads(1));
        expect_that!(next, eq(StageDecision::Forward), "{name}: a later change");
    }
}

struct PassCase {
    name: &'static str,
    verdict: fn(&mut StageGate) -> StageDecision,
    expected: StageDecision,
}

// Symptom: a group that could step stands still, or a change is held that can never be loaded.
// Sequence: while one map waits for its turn, another one is ordered.
// Cause: an order waits for a turn that it does not need, or that comes too late.
#[gtest]
fn only_orders_that_a_wait_helps_are_held() {
    let deadline_loads = u16::try_from(max_loads_within(&settings(1_000, 1), STAGE_DEADLINE_MS));
    let most = deadline_loads.expect("a small number");
    expect_that!(most, eq(30));
    let ask =
        |gate: &mut StageGate, count| gate.request(Now::at(START_MS), reference(2), loads(count));
    let cases = [
        PassCase {
            name: "needed now",
            verdict: StageGate::bypass,
            expected: StageDecision::Forward,
        },
        PassCase {
            name: "no load",
            verdict: |g| g.request(Now::at(START_MS), reference(2), vec![]),
            expected: StageDecision::Forward,
        },
        PassCase {
            name: "too much",
            verdict: |g| g.request(Now::at(START_MS), reference(2), loads(31)),
            expected: StageDecision::Reject,
        },
    ];
    for PassCase { name, verdict, expected } in cases {
        let mut gate = StageGate::new(settings(1_000, 1), SEED);
        expect_that!(ask(&mut gate, most), eq(StageDecision::Defer), "{name}");
        let mut gate = StageGate::new(settings(1_000, 1), SEED);
        gate.request(Now::at(START_MS), reference(1), loads(LOADS));
        expect_that!(verdict(&mut gate), eq(expected), "{name}");
        expect_that!(gate.tick(Now::at(START_MS + 60_000)), none(), "{name}: the other is gone");
    }
}

// Symptom: a change waits for ever, or its loads outrun a store that was made slower.
// Sequence: the document's rate changes while an order is held.
// Cause: the order is lost with the old pace, or keeps it.
#[gtest]
fn a_held_order_follows_another_pace() {
    let mut gate = StageGate::new(settings(10_000, 1), SEED);
    gate.request(Now::at(START_MS), reference(1), loads(LOADS));
    gate.update_settings(Now::at(START_MS), settings(2_000, 1), SEED);
    expect_that!(news(&mut gate, START_MS), eq((START_MS + 2_500, StageEvent::Due(reference(1)))));
    gate.update_settings(Now::at(START_MS), settings(1, 1), SEED);
    let verdict = gate.request(Now::at(START_MS), reference(2), loads(1));
    expect_that!(verdict, eq(StageDecision::Reject));
}

#[gtest]
fn only_experts_that_local_ranks_hold_nowhere_are_lacking() {
    let present = ExpertMap::uniform(1, SHAPE);
    let mut wanted = ExpertMap::uniform(2, SHAPE);
    wanted.layers[1].experts_of_rank[2] = vec![2, 6, 7];
    wanted.layers[1].experts_of_rank[3] = vec![3, 0];
    let lacking =
        |ranks, loaded: &[&ExpertMap]| missing_experts(ranks, loaded.iter().copied(), &wanted);
    let load = |expert, rank| WeightLoad { layer: 1, expert, rank };
    expect_that!(lacking(0..2, &[&present]), is_empty());
    expect_that!(lacking(2..4, &[&present]), elements_are![eq(&load(7, 2)), eq(&load(0, 3))]);
    expect_that!(lacking(2..4, &[&present, &wanted]), is_empty());
    expect_that!(lacking(3..4, &[]).len(), eq(4));
}
