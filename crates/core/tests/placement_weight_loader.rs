//! Pacing, retries and abandonment of weight loads.

use googletest::prelude::*;
use hickorycross_core::placement::{
    AbandonCause, WeightLoad, WeightLoadAction, WeightLoadEvent, WeightLoadKey, WeightLoader,
    WeightLoaderSettings, WeightLoaderState,
};
use hickorycross_core::{Now, UnixMs};

const VERSION: u64 = 7;
const GIVE_UP_AT: UnixMs = UnixMs(600_000);
/// An agent's fair share covers one expert in a tenth of a second.
const SETTINGS: WeightLoaderSettings =
    WeightLoaderSettings { store_bytes_per_s: 1_000_000, agents: 10, expert_bytes: 10_000 };
const LOAD_INTERVAL_MS: u64 = 100;

fn load(expert: u16) -> WeightLoad {
    WeightLoad { layer: 0, expert, rank: 3 }
}

fn key(expert: u16) -> WeightLoadKey {
    WeightLoadKey { map_version: VERSION, load: load(expert) }
}

fn loader_with_first_load_running(loads: &[WeightLoad]) -> WeightLoader {
    let mut loader = WeightLoader::new(SETTINGS, 1);
    let actions = loader.begin(Now::at(0), VERSION, loads, GIVE_UP_AT);
    assert_eq!(
        actions,
        [WeightLoadAction::Start(WeightLoadKey { map_version: VERSION, load: loads[0] })]
    );
    loader
}

#[gtest]
fn loads_are_spaced_by_the_fair_share() {
    let mut loader = loader_with_first_load_running(&[load(0), load(1)]);
    expect_that!(loader.handle(Now::at(1), WeightLoadEvent::Loaded(key(0))), is_empty());
    expect_that!(loader.next_at(), eq(UnixMs(LOAD_INTERVAL_MS)));
    expect_that!(loader.tick(Now::at(LOAD_INTERVAL_MS - 1)), is_empty());
    expect_that!(
        loader.tick(Now::at(LOAD_INTERVAL_MS)),
        elements_are![eq(&WeightLoadAction::Start(key(1)))]
    );
    let ready = loader.handle(Now::at(LOAD_INTERVAL_MS + 1), WeightLoadEvent::Loaded(key(1)));
    expect_that!(ready, elements_are![eq(&WeightLoadAction::Ready { map_version: VERSION })]);
    expect_that!(loader.state(), eq(WeightLoaderState::Ready { map_version: VERSION }));
    expect_that!(loader.tick(Now::at(GIVE_UP_AT.0)), is_empty());
    loader.finish_change(VERSION);
    expect_that!(loader.state(), eq(WeightLoaderState::Idle));
}

#[gtest]
fn change_without_loads_is_ready_at_once() {
    let mut loader = WeightLoader::new(SETTINGS, 1);
    let actions = loader.begin(Now::at(0), VERSION, &[], GIVE_UP_AT);
    expect_that!(actions, elements_are![eq(&WeightLoadAction::Ready { map_version: VERSION })]);
}

struct AbandonCase {
    name: &'static str,
    /// Runs when the first of three loads is done and the second is running.
    abandon: fn(&mut WeightLoader) -> Vec<WeightLoadAction>,
    cause: AbandonCause,
    /// Whether the second load is still running when the change is abandoned.
    is_running: bool,
}

// Guards against abandoned changes that leave loaded weights behind, so that the next change lacks
// room. The first load is done, the second running and the third waiting when the second fails or
// hangs, the change expires, or the coordinator withdraws it.
#[gtest]
fn abandoned_change_is_undone() {
    let cases = [
        AbandonCase {
            name: "failed",
            abandon: |loader| loader.handle(Now::at(150), WeightLoadEvent::Failed(key(1))),
            cause: AbandonCause::Failed,
            is_running: true,
        },
        AbandonCase {
            name: "late",
            abandon: |loader| {
                let late_at = loader.next_at();
                assert_eq!(loader.tick(Now::at(late_at.0 - 1)), []);
                loader.tick(Now { unix_ms: late_at })
            },
            cause: AbandonCause::Late,
            is_running: true,
        },
        AbandonCase {
            name: "expired",
            abandon: |loader| {
                loader.handle(Now::at(150), WeightLoadEvent::Refused(key(1)));
                loader.tick(Now { unix_ms: GIVE_UP_AT })
            },
            cause: AbandonCause::Expired,
            is_running: false,
        },
        AbandonCase {
            name: "withdrawn",
            abandon: WeightLoader::withdraw,
            cause: AbandonCause::Withdrawn,
            is_running: true,
        },
    ];
    for case in cases {
        let mut loader = loader_with_first_load_running(&[load(0), load(1), load(2)]);
        loader.handle(Now::at(1), WeightLoadEvent::Loaded(key(0)));
        loader.tick(Now::at(LOAD_INTERVAL_MS));
        let mut expected = vec![WeightLoadAction::Discard(key(0))];
        expected.extend(case.is_running.then_some(WeightLoadAction::Cancel(key(1))));
        expected.push(WeightLoadAction::Abandon { map_version: VERSION, cause: case.cause });
        expect_that!((case.abandon)(&mut loader), eq(&expected), "{}", case.name);
        expect_that!(loader.state(), eq(WeightLoaderState::Idle), "{}", case.name);
        expect_that!(loader.next_at(), eq(UnixMs::NEVER), "{}", case.name);
    }
}

// Guards against a rank that runs out of slots because of unused weights. A load is cancelled with
// its change but completes anyway, while there is no change or during the next one.
#[gtest]
fn weights_of_an_abandoned_change_are_freed() {
    let mut loader = loader_with_first_load_running(&[load(0)]);
    loader.withdraw();
    let actions = loader.handle(Now::at(5), WeightLoadEvent::Loaded(key(0)));
    expect_that!(actions, elements_are![eq(&WeightLoadAction::Discard(key(0)))]);
    loader.begin(Now::at(500), VERSION + 1, &[load(0)], GIVE_UP_AT);
    let actions = loader.handle(Now::at(501), WeightLoadEvent::Loaded(key(0)));
    expect_that!(actions, elements_are![eq(&WeightLoadAction::Discard(key(0)))]);
    let loading = WeightLoaderState::Loading { map_version: VERSION + 1, outstanding: 1 };
    expect_that!(loader.state(), eq(loading));
    expect_that!(loader.handle(Now::at(502), WeightLoadEvent::Failed(key(0))), is_empty());
    expect_that!(loader.state(), eq(loading));
}

/// A store that refuses all loads until `busy_until` and then grants `loads_per_s` in any second.
struct FakeStore {
    busy_until: UnixMs,
    loads_per_s: usize,
    granted_at: Vec<UnixMs>,
}

impl FakeStore {
    fn answer(&mut self, now: Now, key: WeightLoadKey) -> WeightLoadEvent {
        self.granted_at.retain(|granted_at| !granted_at.after(1_000).is_past(now));
        if !self.busy_until.is_past(now) || self.granted_at.len() >= self.loads_per_s {
            return WeightLoadEvent::Refused(key);
        }
        self.granted_at.push(now.unix_ms);
        WeightLoadEvent::Loaded(key)
    }
}

/// Ticks a loader once and lets the store answer the load that it starts.
fn advance(loader: &mut WeightLoader, store: &mut FakeStore, now: Now) {
    for action in loader.tick(now) {
        if let WeightLoadAction::Start(key) = action {
            loader.handle(now, store.answer(now, key));
        }
    }
}

// Guards against starvation of one agent. All agents start at once and are refused dozens of times
// while others keep the store busy for minutes; then half of its rate is free. With a back-off that
// only grows, an agent would lose this capacity to agents that retry more often.
#[gtest]
fn refused_loads_finish_once_the_store_has_capacity() {
    const BUSY_UNTIL: UnixMs = UnixMs(200_000);
    const END_MS: u64 = BUSY_UNTIL.0 + 5_000;
    const STEP_MS: usize = 10;
    let loads: Vec<WeightLoad> = (0..5).map(load).collect();
    for seed in 0..5 {
        let mut store =
            FakeStore { busy_until: BUSY_UNTIL, loads_per_s: 50, granted_at: Vec::new() };
        let agents = (0..u64::from(SETTINGS.agents)).map(|agent| seed * 100 + agent);
        let mut loaders: Vec<WeightLoader> =
            agents.map(|agent| WeightLoader::new(SETTINGS, agent)).collect();
        for loader in &mut loaders {
            loader.begin(Now::at(0), VERSION, &loads, GIVE_UP_AT);
            loader.handle(Now::at(0), WeightLoadEvent::Refused(key(0)));
        }
        for now in (0..END_MS).step_by(STEP_MS).map(Now::at) {
            loaders.iter_mut().for_each(|loader| advance(loader, &mut store, now));
        }
        let states: Vec<WeightLoaderState> = loaders.iter().map(WeightLoader::state).collect();
        expect_that!(states, each(eq(&WeightLoaderState::Ready { map_version: VERSION })));
    }
}

// Guards against replays of a recorded failure that differ from the original run, because jitter
// comes from a source that the seed does not determine.
#[gtest]
fn back_off_waits_are_determined_by_the_seed() {
    let waits = |seed: u64| {
        let mut loader = WeightLoader::new(SETTINGS, seed);
        let mut now = Now::at(0);
        loader.begin(now, VERSION, &[load(0)], UnixMs::NEVER);
        let mut refuse = || {
            loader.handle(now, WeightLoadEvent::Refused(key(0)));
            let wait_ms = loader.next_at().since(now.unix_ms);
            now = Now { unix_ms: loader.next_at() };
            loader.tick(now);
            wait_ms
        };
        (0..30).map(|_| refuse()).collect::<Vec<u64>>()
    };
    expect_that!(waits(1), eq(&waits(1)));
    expect_that!(waits(1), not(eq(&waits(2))));
    expect_that!(waits(1)[20..], each(le(&LOAD_INTERVAL_MS)));
    expect_that!(waits(1), each(le(&(32 * LOAD_INTERVAL_MS))));
}
