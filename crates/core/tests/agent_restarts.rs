//! Tests idempotency keys across restarts of agents and document changes.

mod agent_harness;

use agent_harness::{
    KEY_HORIZON_MS, Mechanism, answer_holder_queries, document, key_used, keyed_submit, mechanisms,
    route, started,
};
use hickorycross_config::{BackendServerId, Digest, Document, Stamp, TeamId};
use hickorycross_core::agent::{
    ADOPTION_SPREAD_MS, AgentAction, AgentCore, AgentEvent, AgentIdentity, Mechanisms, key_home,
};
use hickorycross_core::message::{KeyDigest, ToAgent};
use hickorycross_core::{AttemptId, Incarnation, LinkId, Now, RequestId, UnixMs};
use indexmap::IndexMap;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::panic::catch_unwind;
use std::sync::Arc;

const BACKENDS: [&str; 3] = ["b0", "b1", "b2"];
const ENTRY: Incarnation = Incarnation(100);
const LINK: LinkId = LinkId(1);
const STEP_MS: u64 = 100;

/// The current incarnation of one agent.
struct Agent {
    core: AgentCore,
    incarnation: Incarnation,
    adopted: u64,
    adopted_at: UnixMs,
    running: Vec<AttemptId>,
}

/// Simulation of three agents, entries that may use an older document, and callers that repeat
/// their requests.
struct Fleet {
    random: ChaCha8Rng,
    mechanisms: Mechanisms,
    now: Now,
    published: Vec<Arc<Document>>,
    published_at: UnixMs,
    agents: Vec<Agent>,
    next_incarnation: u64,
    next_sequence: u64,
    keys: Vec<KeyDigest>,
    /// Key of each attempt.
    attempts: IndexMap<AttemptId, KeyDigest>,
    /// End of the horizon of each key's latest run; `NEVER` while it is running.
    used_until: IndexMap<KeyDigest, UnixMs>,
    starts: u64,
}

impl Fleet {
    fn new(seed: u64, mechanisms: Mechanisms) -> Self {
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            mechanisms,
            now: Now::at(10_000_000),
            published: vec![Arc::new(document_with(&BACKENDS))],
            published_at: UnixMs(10_000_000),
            agents: Vec::new(),
            next_incarnation: 1,
            next_sequence: 0,
            keys: Vec::new(),
            attempts: IndexMap::new(),
            used_until: IndexMap::new(),
            starts: 0,
        };
        for index in 0..BACKENDS.len() {
            let agent = fleet.start_agent(index);
            fleet.agents.push(agent);
        }
        fleet
    }

    fn start_agent(&mut self, index: usize) -> Agent {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        let identity = AgentIdentity { incarnation, backend_server: BACKENDS[index].into() };
        let core = AgentCore::with_mechanisms(identity, 1, self.mechanisms);
        let adopted_at = self.now.unix_ms;
        let mut agent = Agent { core, incarnation, adopted: 0, adopted_at, running: Vec::new() };
        // A restarted agent may start on the previous document within `ADOPTION_SPREAD_MS`.
        let revision = self.visible_revision();
        adopt(&mut agent, self.now, revision, &self.published);
        let opened = AgentEvent::LinkOpened { link: LINK, entry: ENTRY };
        agent.core.handle(self.now, opened, &mut Vec::new());
        agent
    }

    /// Returns a revision that a process may be using now.
    fn visible_revision(&mut self) -> u64 {
        let latest = self.published.len() as u64;
        let spread_over = self.now.unix_ms.since(self.published_at) >= ADOPTION_SPREAD_MS;
        let lags = latest > 1 && !spread_over && self.random.random_range(0..2) == 0;
        if lags { latest - 1 } else { latest }
    }

    fn step(&mut self) {
        self.now = Now { unix_ms: self.now.after(STEP_MS) };
        self.adopt_latest_document();
        match self.random.random_range(0..1_000) {
            0 => self.restart(),
            1 => self.publish(),
            2..60 => self.request(true),
            60..200 => self.request(false),
            200..400 => self.end_run(),
            _ => {}
        }
        for index in 0..self.agents.len() {
            self.handle(index, AgentEvent::Tick);
        }
    }

    fn adopt_latest_document(&mut self) {
        let latest = self.published.len() as u64;
        let overdue = self.now.unix_ms.since(self.published_at) + STEP_MS >= ADOPTION_SPREAD_MS;
        for agent in &mut self.agents {
            if agent.adopted < latest && (overdue || self.random.random_range(0..20) == 0) {
                adopt(agent, self.now, latest, &self.published);
            }
        }
    }

    /// Publishes a document with other homes once the previous one is in force everywhere.
    fn publish(&mut self) {
        if self.now.unix_ms.since(self.published_at) < ADOPTION_SPREAD_MS {
            return;
        }
        let sets: [&[&str]; 4] = [&BACKENDS, &["b0", "b1"], &["b2"], &["b1", "b2"]];
        let backends = sets.choose(&mut self.random).copied().unwrap_or(&BACKENDS);
        self.published.push(Arc::new(document_with(backends)));
        self.published_at = self.now.unix_ms;
    }

    fn restart(&mut self) {
        let index = self.random.random_range(0..BACKENDS.len());
        let agent = self.start_agent(index);
        let former = std::mem::replace(&mut self.agents[index], agent);
        former.running.iter().for_each(|run| self.record_run_end(*run));
    }

    /// Sends a request with a new key or a repeat of an earlier one, from an entry that may use an
    /// older document.
    fn request(&mut self, new: bool) {
        if new || self.keys.is_empty() {
            let key = self.new_key();
            self.keys.push(key);
        }
        let recent = &self.keys[self.keys.len().saturating_sub(20)..];
        let key = if new {
            *recent.last().expect("a key")
        } else {
            *recent.choose(&mut self.random).expect("a key")
        };
        let revision = self.visible_revision();
        let document = self.published[revision as usize - 1].clone();
        let home = key_home(&document, &document.routes[1], key).expect("a home").clone();
        let index = BACKENDS.iter().position(|id| BackendServerId::new(id) == home).expect("known");
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let mut submit = keyed_submit(sequence, key, self.now);
        submit.attempt = AttemptId { request: RequestId { entry: ENTRY, sequence }, ordinal: 0 };
        submit.agent = self.agents[index].incarnation;
        self.attempts.insert(submit.attempt, key);
        let message = ToAgent::Submit(Box::new(submit));
        self.handle(index, AgentEvent::Message { link: LINK, message });
    }

    /// Returns a plain key, or a timestamped key from a clock that is up to a minute off.
    fn new_key(&mut self) -> KeyDigest {
        let number = self.next_sequence;
        if self.random.random_range(0..2) == 0 {
            return KeyDigest::of(&TeamId::new("hog"), &format!("plain {number}"));
        }
        let off_ms = [0, 0, 500, 5_000, 60_000].choose(&mut self.random).copied().unwrap_or(0);
        let now_ms = self.now.unix_ms.0;
        let behind = self.random.random_range(0..2) == 0;
        timestamped(if behind { now_ms - off_ms } else { now_ms + off_ms }, number)
    }

    fn end_run(&mut self) {
        let index = self.random.random_range(0..BACKENDS.len());
        let Some(run) = self.agents[index].running.pop() else { return };
        self.record_run_end(run);
        self.handle(index, AgentEvent::BackendEnd { attempt: run });
    }

    fn record_run_end(&mut self, run: AttemptId) {
        self.used_until.insert(self.attempts[&run], self.now.after(KEY_HORIZON_MS.into()));
    }

    fn handle(&mut self, index: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        let held: Vec<_> = self.agents.iter().map(|one| (one.adopted, one.adopted_at)).collect();
        let own = self.agents[index].adopted;
        let adopted_at = |id: &str| {
            let of_id = BACKENDS.iter().position(|backend| *backend == id)?;
            let (adopted, at) = held[of_id];
            (adopted == own).then_some(at)
        };
        let core = &mut self.agents[index].core;
        core.handle(self.now, event, &mut actions);
        answer_holder_queries(core, self.now, &mut actions, adopted_at);
        for run in started(&actions) {
            self.starts += 1;
            self.agents[index].running.push(run);
            let key = self.attempts[&run];
            let free_at = self.used_until.insert(key, UnixMs::NEVER).unwrap_or_default();
            assert!(free_at.is_past(self.now), "a key ran twice within its horizon");
        }
    }
}

fn document_with(backends: &[&str]) -> Document {
    let mut document = document();
    document.routes[1] = route("create", false, backends);
    document
}

fn adopt(agent: &mut Agent, now: Now, revision: u64, published: &[Arc<Document>]) {
    agent.adopted = revision;
    agent.adopted_at = now.unix_ms;
    let stamp = Stamp { revision, digest: Digest(revision) };
    let document = published[revision as usize - 1].clone();
    agent.core.handle(now, AgentEvent::Adopted { stamp, document }, &mut Vec::new());
}

fn timestamped(created_ms: u64, number: u64) -> KeyDigest {
    let hex = format!("{created_ms:012x}");
    let text = format!("{}-{}-7000-8000-{number:012x}", &hex[..8], &hex[8..]);
    KeyDigest::of(&TeamId::new("hog"), &text)
}

fn run(seed: u64, mechanisms: Mechanisms) -> u64 {
    let mut fleet = Fleet::new(seed, mechanisms);
    (0..10_000).for_each(|_| fleet.step());
    fleet.starts
}

// A key must run once within its horizon, in any mixture of restarts, home changes that agents and
// entries adopt late, repeats, and wrong caller clocks.
#[test]
fn key_runs_once_across_restarts_and_document_changes() {
    let starts: u64 = (0..20).map(|seed| run(seed, Mechanisms::default())).sum();
    println!("{starts} starts in 20 runs");
    assert!(starts > 500, "too few starts to be meaningful: {starts}");
}

const DETECTED_MECHANISMS: &[Mechanism] =
    mechanisms!(unknown_keys_after_start, key_home_changes, key_home_check, key_future_check);

#[test]
fn simulation_detects_each_disabled_mechanism() {
    for mechanism in DETECTED_MECHANISMS {
        let mechanisms = mechanism.without(Mechanisms::default());
        let detected = (0..100).any(|seed| catch_unwind(|| run(seed, mechanisms)).is_err());
        assert!(detected, "{} is disabled, but no failure was detected", mechanism.name);
    }
}

/// Expected refusals in the hour after a restart of one agent that gets one new key per second.
struct RestartCost {
    key_horizon_ms: u32,
    plain: u64,
    timestamped: u64,
}

const COSTS: &[RestartCost] = &[
    RestartCost { key_horizon_ms: 60_000, plain: 98, timestamped: 12 },
    RestartCost { key_horizon_ms: 600_000, plain: 638, timestamped: 12 },
    RestartCost { key_horizon_ms: 3_000_000, plain: 3_038, timestamped: 12 },
];

#[test]
fn restart_refuses_plain_keys_for_one_horizon_and_timestamped_keys_for_seconds() {
    for cost in COSTS {
        let plain = |_, number: u64| KeyDigest::of(&TeamId::new("hog"), &format!("{number}"));
        let detected =
            (refused_after_restart(cost, plain), refused_after_restart(cost, timestamped));
        println!(
            "horizon {} ms: {} plain, {} timestamped",
            cost.key_horizon_ms, detected.0, detected.1
        );
        assert_eq!(detected, (cost.plain, cost.timestamped));
    }
}

fn refused_after_restart(cost: &RestartCost, key: impl Fn(u64, u64) -> KeyDigest) -> u64 {
    let mut document = document_with(&["b0"]);
    document.routes[1].key_horizon_ms = cost.key_horizon_ms;
    let mut harness = agent_harness::Harness::with_document(Mechanisms::default(), document);
    let mut refused = 0;
    for sequence in 0..3_600 {
        let key = key(harness.now.unix_ms.0, sequence);
        let actions: Vec<AgentAction> = harness.submit(keyed_submit(sequence, key, harness.now));
        refused += u64::from(key_used(&actions).is_some());
        harness.end(sequence);
        harness.advance(1_000);
        harness.tick();
    }
    refused
}
