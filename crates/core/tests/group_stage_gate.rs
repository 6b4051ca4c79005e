//! Tests of the gate that defers map loads until the agent's share of the weight store covers them.

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
/// Interval between the driver's ticks.
const TICK_MS: u64 = 20;
/// Number of experts that the tested orders load.
const LOADS: u16 = 6;

fn reference(version: u64) -> MapRef {
    ExpertMap::uniform(version, SHAPE).reference()
}

fn loads(count: u16) -> Vec<WeightLoad> {
    (0..count).map(|expert| WeightLoad { layer: 0, expert, rank: 0 }).collect()
}

/// Returns settings with experts of 1,000 bytes.
fn settings(store_bytes_per_s: u64, agents: u32) -> WeightLoaderSettings {
    WeightLoaderSettings { store_bytes_per_s, agents, expert_bytes: 1_000 }
}

/// Ticks until the gate returns an event; returns the event and its time.
fn next_event(gate: &mut StageGate, from_ms: u64) -> (u64, StageEvent) {
    let ticks = (from_ms..=from_ms + 2 * STAGE_DEADLINE_MS).step_by(TICK_MS as usize);
    let mut events = ticks.filter_map(|ms| gate.tick(Now::at(ms)).map(|event| (ms, event)));
    events.next().expect("an event before the deadline")
}

struct DeferralCase {
    name: &'static str,
    settings: WeightLoaderSettings,
    /// Time for which the order to load [`LOADS`] experts is deferred, rounded up to a tick.
    deferred_ms: u64,
}

// If every agent had its engine load all experts of a map at once, the loads would exceed the rate
// that the document allows and slow down requests of all groups.
#[gtest]
fn order_is_deferred_until_the_share_covers_its_loads() {
    let cases = [
        DeferralCase { name: "alone", settings: settings(10_000, 1), deferred_ms: 500 },
        DeferralCase { name: "slow store", settings: settings(1_000, 1), deferred_ms: 5_000 },
        DeferralCase {
            name: "two groups of two",
            settings: settings(10_000, 4),
            deferred_ms: 2_000,
        },
        DeferralCase {
            name: "interval below a tick",
            settings: settings(1_000_000, 1),
            deferred_ms: 20,
        },
    ];
    for DeferralCase { name, settings, deferred_ms } in cases {
        let mut gate = StageGate::new(settings, SEED);
        let decision = gate.request(Now::at(START_MS), reference(1), loads(LOADS));
        expect_that!(decision, eq(StageDecision::Defer), "{name}");
        let (due_ms, event) = next_event(&mut gate, START_MS);
        expect_that!(event, eq(StageEvent::Due(reference(1))), "{name}");
        expect_that!(due_ms - START_MS, eq(deferred_ms), "{name}");
        let decision = gate.request(Now::at(due_ms), reference(1), loads(LOADS));
        expect_that!(decision, eq(StageDecision::Forward), "{name}");
        expect_that!(gate.tick(Now::at(due_ms + 60_000)), none(), "{name}");
    }
}

// Agents of several groups change their maps repeatedly. The first load of a map must count against
// the share as well, or the agents together exceed the store's rate and the store refuses loads.
#[gtest]
fn all_agents_together_stay_within_the_store_rate() {
    const AGENTS: u32 = 6;
    const MAPS: u64 = 8;
    const RATE: u64 = 30_000;
    let settings = settings(RATE, AGENTS);
    let mut gates: Vec<_> = (0..AGENTS).map(|_| StageGate::new(settings, SEED)).collect();
    let mut end_ms = START_MS;
    for gate in &mut gates {
        let mut now_ms = START_MS;
        for version in 1..=MAPS {
            let decision = gate.request(Now::at(now_ms), reference(version), loads(LOADS));
            assert_that!(decision, eq(StageDecision::Defer));
            (now_ms, _) = next_event(gate, now_ms);
            let decision = gate.request(Now::at(now_ms), reference(version), loads(LOADS));
            assert_that!(decision, eq(StageDecision::Forward));
            gate.on_loaded(reference(version));
        }
        end_ms = end_ms.max(now_ms);
    }
    let loaded_bytes = u64::from(AGENTS) * MAPS * u64::from(LOADS) * settings.expert_bytes;
    // Each agent's first expert is read at the start of the interval that covers it.
    let early_bytes = u64::from(AGENTS) * settings.expert_bytes;
    let allowed_bytes = (end_ms - START_MS) * RATE / 1_000 + early_bytes;
    expect_that!(loaded_bytes, le(allowed_bytes));
}

/// Makes a forwarded order fail. Returns whether the gate will retry it.
type InjectFault = fn(&mut StageGate, Now) -> bool;

struct RefusalCase {
    name: &'static str,
    inject_fault: InjectFault,
}

// The engine cannot load the map because the store refuses it. The agent learns this from a report,
// or from the core's repeated order. A refusal must neither abandon the change at once nor be
// retried without a back-off, which would overload the store.
#[gtest]
fn refused_load_is_retried_with_a_back_off() {
    let cases = [
        RefusalCase {
            name: "reported",
            inject_fault: |gate, now| gate.on_load_failed(now, reference(1)),
        },
        RefusalCase {
            name: "ordered again",
            inject_fault: |gate, now| {
                gate.request(now, reference(1), loads(1)) == StageDecision::Defer
            },
        },
    ];
    for RefusalCase { name, inject_fault } in cases {
        let mut gate = StageGate::new(settings(10_000, 1), SEED);
        let mut now_ms = START_MS;
        let decision = gate.request(Now::at(now_ms), reference(1), loads(1));
        expect_that!(decision, eq(StageDecision::Forward), "{name}");
        let mut waits = Vec::new();
        let abandoned_ms = loop {
            expect_true!(inject_fault(&mut gate, Now::at(now_ms)));
            let (at_ms, event) = next_event(&mut gate, now_ms);
            if event == StageEvent::Abandoned(reference(1)) {
                break at_ms;
            }
            waits.push(at_ms - now_ms);
            now_ms = at_ms;
            let decision = gate.request(Now::at(now_ms), reference(1), loads(1));
            expect_that!(decision, eq(StageDecision::Forward), "{name}");
        };
        expect_that!(abandoned_ms - START_MS, eq(STAGE_DEADLINE_MS), "{name}");
        expect_that!(waits[3], gt(4 * waits[0]), "{name}: waits grow at first: {waits:?}");
        let last = *waits.last().expect("waits");
        expect_that!(
            last,
            le(100 + TICK_MS),
            "{name}: later waits are one load interval: {waits:?}"
        );
        let next = gate.request(Now::at(abandoned_ms + 1_000), reference(2), loads(1));
        expect_that!(next, eq(StageDecision::Forward), "{name}: a later change");
    }
}

struct DecisionCase {
    name: &'static str,
    decision: fn(&mut StageGate) -> StageDecision,
    expected: StageDecision,
}

// While the load of one map is deferred, another map is ordered. An order must not be deferred if
// the group needs its map now, if it loads nothing, or if its loads cannot finish in time.
#[gtest]
fn orders_are_deferred_only_if_waiting_helps() {
    let deadline_loads = u16::try_from(max_loads_within(&settings(1_000, 1), STAGE_DEADLINE_MS));
    let max_loads = deadline_loads.expect("a small number");
    expect_that!(max_loads, eq(30));
    let request =
        |gate: &mut StageGate, count| gate.request(Now::at(START_MS), reference(2), loads(count));
    let cases = [
        DecisionCase {
            name: "needed now",
            decision: StageGate::bypass,
            expected: StageDecision::Forward,
        },
        DecisionCase {
            name: "no load",
            decision: |g| g.request(Now::at(START_MS), reference(2), vec![]),
            expected: StageDecision::Forward,
        },
        DecisionCase {
            name: "too much",
            decision: |g| g.request(Now::at(START_MS), reference(2), loads(31)),
            expected: StageDecision::Reject,
        },
    ];
    for DecisionCase { name, decision, expected } in cases {
        let mut gate = StageGate::new(settings(1_000, 1), SEED);
        expect_that!(request(&mut gate, max_loads), eq(StageDecision::Defer), "{name}");
        let mut gate = StageGate::new(settings(1_000, 1), SEED);
        gate.request(Now::at(START_MS), reference(1), loads(LOADS));
        expect_that!(decision(&mut gate), eq(expected), "{name}");
        expect_that!(
            gate.tick(Now::at(START_MS + 60_000)),
            none(),
            "{name}: the earlier order is dropped"
        );
    }
}

// The document's rate changes while an order is deferred. The order must not be lost, and it must
// follow the new rate.
#[gtest]
fn deferred_order_follows_new_settings() {
    let mut gate = StageGate::new(settings(10_000, 1), SEED);
    gate.request(Now::at(START_MS), reference(1), loads(LOADS));
    gate.update_settings(Now::at(START_MS), settings(2_000, 1), SEED);
    expect_that!(
        next_event(&mut gate, START_MS),
        eq((START_MS + 2_500, StageEvent::Due(reference(1))))
    );
    gate.update_settings(Now::at(START_MS), settings(1, 1), SEED);
    let decision = gate.request(Now::at(START_MS), reference(2), loads(1));
    expect_that!(decision, eq(StageDecision::Reject));
}

#[gtest]
fn missing_experts_are_those_in_no_loaded_map() {
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
