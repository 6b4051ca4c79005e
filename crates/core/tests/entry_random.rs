//! Randomized test of one entry against simulated agents that restart or cannot be reached, over a
//! network that loses, duplicates, delays and reorders messages and lets links go silent.

mod entry_support;

use bytes::Bytes;
use entry_support::fake_agent::{FakeAgent, full_response};
use entry_support::{Caller, START_MS, document, instance, response_target};
use googletest::prelude::*;
use hickorycross_config::{BackendServerId, Digest, FailureDomainId, Stamp, hash_api_key};
use hickorycross_core::audit::Change;
use hickorycross_core::entry::{
    Arrival, EntryAction, EntryCore, EntryCounters, EntryEvent, EntryIdentity, EntryPolicies,
    Mechanisms, RequestTarget,
};
use hickorycross_core::message::{RequestHead, ToAgent, ToEntry};
use hickorycross_core::{
    AttemptId, Incarnation, InstanceId, InstanceState, LinkId, Now, RequestId, Verdict,
};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::sync::Arc;

const SEEDS: u64 = 12;
const FAULTS_MS: u64 = 20_000;
const SETTLE_MS: u64 = 25_000;
const TICK_MS: u64 = 50;
const BACKENDS: [&str; 3] = ["s-1", "s-2", "s-3"];

// Probabilities in ten thousandths, for each message or each millisecond.
const MESSAGE_LOSS: u32 = 100;
const MESSAGE_DUPLICATION: u32 = 300;
const MESSAGE_DELAY: u32 = 300;
const REQUEST_ARRIVAL: u32 = 400;
const SILENT_LINK: u32 = 20;
const AGENT_RESTART: u32 = 4;
const AGENT_CUT_OFF: u32 = 5;
const ENTRY_PAUSE: u32 = 4;
const CALLER_DISCONNECT: u32 = 10;

#[derive(Debug)]
enum Packet {
    ToAgent { agent: usize, incarnation: Incarnation, link: LinkId, message: ToAgent },
    ToEntry(EntryEvent),
}

#[derive(Debug)]
struct Link {
    agent: usize,
    incarnation: Incarnation,
    silent: bool,
}

struct Simulation {
    core: EntryCore,
    random: ChaCha8Rng,
    now_ms: u64,
    paused_until_ms: u64,
    agents: Vec<FakeAgent>,
    cut_off_until_ms: Vec<u64>,
    links: IndexMap<LinkId, Link>,
    packets: Vec<(Reverse<(u64, u64)>, Packet)>,
    sequence: u64,
    requests: Vec<(RequestId, bool)>,
    disconnected: IndexSet<RequestId>,
    executions: IndexMap<RequestId, u32>,
    callers: IndexMap<RequestId, Caller>,
    violations: Vec<String>,
    drained: u32,
    /// Digest of all actions. Computed only on request, as it takes longer than the run itself.
    digest: Option<u64>,
}

impl Simulation {
    fn new(seed: u64, mechanisms: Mechanisms) -> Self {
        let identity = EntryIdentity {
            incarnation: Incarnation(1),
            failure_domain: FailureDomainId::new("fd-a"),
        };
        let core = EntryCore::new(identity, EntryPolicies::baseline(), seed);
        let mut simulation = Self {
            core: core.with_mechanisms(mechanisms),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: START_MS,
            paused_until_ms: 0,
            agents: (0..3).map(|index| FakeAgent::new(Incarnation(100 + index))).collect(),
            cut_off_until_ms: vec![0; BACKENDS.len()],
            links: IndexMap::new(),
            packets: Vec::new(),
            sequence: 0,
            requests: Vec::new(),
            disconnected: IndexSet::new(),
            executions: IndexMap::new(),
            callers: IndexMap::new(),
            violations: Vec::new(),
            drained: 0,
            digest: None,
        };
        let stamp = Stamp { revision: 1, digest: Digest(1) };
        simulation.handle_event(EntryEvent::Adopted { stamp, document: Arc::new(document()) });
        let list = BACKENDS.map(|id| instance(id, InstanceState::Live)).to_vec();
        simulation.handle_event(EntryEvent::Instances(list));
        simulation
    }

    fn chance(&mut self, of_ten_thousand: u32) -> bool {
        self.random.random_range(0..10_000) < of_ten_thousand
    }

    fn run(&mut self, span_ms: u64, with_faults: bool) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            if with_faults {
                self.inject_faults();
            }
            self.step_agents();
            if self.now_ms >= self.paused_until_ms {
                self.step_entry();
            }
            self.deliver_to_agents();
        }
    }

    fn step_entry(&mut self) {
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.handle_event(EntryEvent::Tick);
        }
        while let Some(packet) = self.take_due(|packet| matches!(packet, Packet::ToEntry(_))) {
            if let Packet::ToEntry(event) = packet {
                self.handle_event(event);
            }
        }
    }

    fn deliver_to_agents(&mut self) {
        while let Some(packet) = self.take_due(|packet| matches!(packet, Packet::ToAgent { .. })) {
            if let Packet::ToAgent { agent, incarnation, link, message } = packet
                && self.agents[agent].incarnation == incarnation
            {
                let now_ms = self.now_ms;
                let replies = self.agents[agent].receive(now_ms, &mut self.random, link, message);
                for reply in replies {
                    self.send_to_entry(link, reply);
                }
            }
        }
    }

    /// Removes and returns the earliest matching packet that is due.
    fn take_due(&mut self, wanted: impl Fn(&Packet) -> bool) -> Option<Packet> {
        let now_ms = self.now_ms;
        let due = self.packets.iter().enumerate();
        let due = due.filter(|(_, (Reverse((at_ms, _)), p))| *at_ms <= now_ms && wanted(p));
        let (index, _) = due.max_by_key(|(_, (order, _))| *order)?;
        Some(self.packets.swap_remove(index).1)
    }

    fn step_agents(&mut self) {
        for agent in 0..self.agents.len() {
            let (started, sent) = self.agents[agent].step(self.now_ms, &mut self.random);
            for attempt in started {
                *self.executions.entry(attempt.request).or_insert(0) += 1;
            }
            for (link, message) in sent {
                self.send_to_entry(link, message);
            }
        }
    }

    fn send_packet(&mut self, packet: Packet) {
        let slow_ms =
            if self.chance(MESSAGE_DELAY) { self.random.random_range(50..400) } else { 0 };
        let at_ms = self.now_ms + self.random.random_range(1..6) + slow_ms;
        self.sequence += 1;
        self.packets.push((Reverse((at_ms, self.sequence)), packet));
    }

    fn send_to_entry(&mut self, link: LinkId, message: ToEntry) {
        if self.links.get(&link).is_none_or(|link| link.silent) || self.chance(MESSAGE_LOSS) {
            return;
        }
        if self.chance(MESSAGE_DUPLICATION) {
            let message = message.clone();
            self.send_packet(Packet::ToEntry(EntryEvent::Message { link, message }));
        }
        self.send_packet(Packet::ToEntry(EntryEvent::Message { link, message }));
    }

    fn send_to_agent(&mut self, link: LinkId, message: &ToAgent) {
        let Some(row) = self.links.get(&link) else { return };
        let (agent, incarnation, silent) = (row.agent, row.incarnation, row.silent);
        if silent || self.chance(MESSAGE_LOSS) {
            return;
        }
        if self.chance(MESSAGE_DUPLICATION) {
            let message = message.clone();
            self.send_packet(Packet::ToAgent { agent, incarnation, link, message });
        }
        self.send_packet(Packet::ToAgent { agent, incarnation, link, message: message.clone() });
    }

    fn handle_event(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.core.handle(Now::at(self.now_ms), event, &mut actions);
        for action in &actions {
            self.hash(action);
            if let Some(request) = response_target(action) {
                self.callers.entry(request).or_default().observe(action);
            }
            self.execute(action);
        }
    }

    fn hash(&mut self, action: &EntryAction) {
        if let Some(digest) = self.digest {
            let text = format!("{digest} {} {action:?}", self.now_ms);
            self.digest = Some(Digest::of(text.as_bytes()).0);
        }
    }

    fn execute(&mut self, action: &EntryAction) {
        match action {
            EntryAction::OpenLink { link, instance, .. } => self.open(*link, instance),
            EntryAction::CloseLink { link } => {
                self.links.swap_remove(link);
            }
            EntryAction::Send { link, message } => self.send_to_agent(*link, message),
            EntryAction::Drained => self.drained += 1,
            EntryAction::Audit(record) => {
                if let Change::InvariantViolated { detail } = &record.change {
                    self.violations.push(detail.clone());
                }
            }
            _ => {}
        }
    }

    fn open(&mut self, link: LinkId, instance: &InstanceId) {
        let name = instance.0.trim_start_matches("i-");
        let Some(agent) = BACKENDS.iter().position(|one| *one == name) else { return };
        if self.cut_off_until_ms[agent] > self.now_ms {
            if self.chance(5_000) {
                self.send_packet(Packet::ToEntry(EntryEvent::LinkClosed { link }));
            }
            return;
        }
        let incarnation = self.agents[agent].incarnation;
        self.links.insert(link, Link { agent, incarnation, silent: false });
        let backend_server = BackendServerId::new(name);
        self.send_packet(Packet::ToEntry(EntryEvent::LinkOpened {
            link,
            backend_server,
            incarnation,
        }));
    }

    fn inject_faults(&mut self) {
        if self.chance(REQUEST_ARRIVAL) {
            self.arrive();
        }
        if self.chance(SILENT_LINK) && !self.links.is_empty() {
            let index = self.random.random_range(0..self.links.len());
            self.links[index].silent = true;
        }
        if self.chance(AGENT_RESTART) {
            self.restart();
        }
        if self.chance(AGENT_CUT_OFF) {
            let agent = self.random.random_range(0..self.agents.len());
            self.cut_off_until_ms[agent] = self.now_ms + self.random.random_range(100..8_000);
            for link in self.links.values_mut().filter(|link| link.agent == agent) {
                link.silent = true;
            }
        }
        if self.chance(ENTRY_PAUSE) {
            self.paused_until_ms = self.now_ms + self.random.random_range(100..3_000);
        }
        if self.chance(CALLER_DISCONNECT) && !self.requests.is_empty() {
            let index = self.random.random_range(0..self.requests.len());
            let (request, _) = self.requests[index];
            self.disconnected.insert(request);
            self.handle_event(EntryEvent::CallerGone { request });
        }
    }

    fn restart(&mut self) {
        let agent = self.random.random_range(0..self.agents.len());
        let before = self.agents[agent].incarnation;
        self.agents[agent] = FakeAgent::new(Incarnation(before.0 + 1_000));
        let links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, row)| row.agent == agent)
            .map(|(link, _)| *link)
            .collect();
        let noticed = self.chance(5_000);
        for link in links {
            self.links[&link].silent = true;
            if noticed {
                self.send_packet(Packet::ToEntry(EntryEvent::LinkClosed { link }));
            }
        }
    }

    fn arrive(&mut self) {
        let sequence = self.requests.len() as u64;
        let request = RequestId { entry: Incarnation(1), sequence };
        let idempotent = self.chance(5_000);
        let path = if idempotent { "/read/1" } else { "/lodge/1" };
        let keyed = self.chance(2_000);
        let deadline = self.chance(2_000).then(|| Now::at(self.now_ms).after(700));
        let arrival = Arrival {
            request,
            key_hash: hash_api_key("secret"),
            target: RequestTarget::Path(path.to_owned()),
            non_idempotent: false,
            idempotency_key: keyed.then(|| sequence.to_string()),
            deadline,
            head: RequestHead { method: "POST".to_owned(), path: path.to_owned(), headers: vec![] },
            body: Bytes::new(),
        };
        self.requests.push((request, idempotent));
        self.callers.entry(request).or_default();
        self.handle_event(EntryEvent::Arrived(Box::new(arrival)));
    }

    /// Returns all violations of the expected outcomes at the end of a run.
    fn failures(&self) -> Vec<String> {
        let mut failures = self.violations.clone();
        for (request, idempotent) in &self.requests {
            failures.extend(self.failure_of(*request, *idempotent));
        }
        let snapshot = self.core.snapshot(Now::at(self.now_ms));
        if !snapshot.in_flight.is_empty() || self.drained != 1 {
            failures.push(format!("left {:?}, drained {}", snapshot.in_flight, self.drained));
        }
        failures
    }

    fn failure_of(&self, request: RequestId, idempotent: bool) -> Option<String> {
        let caller = &self.callers[&request];
        let executions = self.executions.get(&request).copied().unwrap_or(0);
        let expected_final_count = usize::from(!self.disconnected.contains(&request));
        let refused_as_not_run = caller.refusals.iter().any(|one| one.verdict == Verdict::NotRun);
        let failure = if caller.final_response_count() < expected_final_count
            || caller.final_response_count() > 1
        {
            "not exactly one final response"
        } else if caller.actions_after_final > 0 {
            "an action after the final response"
        } else if !idempotent && executions > 1 {
            "a non-idempotent request ran twice"
        } else if refused_as_not_run && executions > 0 {
            "it ran although its caller got the verdict that it did not"
        } else if caller.finished && !is_complete_response(request, &caller.bytes) {
            "the response is not that of one attempt"
        } else {
            return None;
        };
        Some(format!("{request}: {failure}; {executions} executions, {caller:?}"))
    }
}

fn is_complete_response(request: RequestId, bytes: &[u8]) -> bool {
    (0..10).any(|ordinal| full_response(AttemptId { request, ordinal }) == bytes)
}

fn run(seed: u64, mechanisms: Mechanisms) -> Simulation {
    run_simulation(Simulation::new(seed, mechanisms))
}

fn run_simulation(mut simulation: Simulation) -> Simulation {
    simulation.run(FAULTS_MS, true);
    simulation.handle_event(EntryEvent::Drain);
    simulation.run(SETTLE_MS, false);
    simulation
}

/// A counter that must have increased, so that a run without faults does not pass.
struct Exercised {
    name: &'static str,
    count: fn(&EntryCounters) -> u64,
}

const EXERCISED: [Exercised; 9] = [
    Exercised { name: "finished", count: |counters| counters.finished },
    Exercised { name: "retried", count: |counters| counters.retried },
    Exercised { name: "tombstoned", count: |counters| counters.tombstoned },
    Exercised { name: "attaches", count: |counters| counters.attaches_sent },
    Exercised { name: "suspected", count: |counters| counters.links_suspected },
    Exercised { name: "restarted", count: |counters| counters.agents_restarted },
    Exercised { name: "foreign", count: |counters| counters.dropped_foreign },
    Exercised { name: "duplicates", count: |counters| counters.dropped_doubled },
    Exercised { name: "may have run", count: |counters| counters.refused_may_have_run },
];

#[gtest]
fn outcomes_hold_under_random_faults() {
    let simulations: Vec<Simulation> = (0..SEEDS).map(|seed| run(seed, Mechanisms::ALL)).collect();
    for (seed, simulation) in simulations.iter().enumerate() {
        expect_that!(simulation.failures(), is_empty(), "seed {seed}");
    }
    for exercised in &EXERCISED {
        let counts =
            simulations.iter().map(|simulation| (exercised.count)(&simulation.core.counters()));
        expect_that!(counts.sum::<u64>(), gt(SEEDS), "{}", exercised.name);
    }
}

const ALL: Mechanisms = Mechanisms::ALL;

/// Sets with one mechanism disabled, which the randomized run must detect.
const MUTATIONS: [Mechanisms; 5] = [
    Mechanisms { end_marker_check: false, ..ALL },
    Mechanisms { chunk_order: false, ..ALL },
    Mechanisms { attempt_id_check: false, ..ALL },
    Mechanisms { retry_only_not_run: false, ..ALL },
    Mechanisms { no_retry_after_begin: false, ..ALL },
];

#[gtest]
fn random_faults_find_missing_mechanisms() {
    for mutation in &MUTATIONS {
        let found = (0..SEEDS).any(|seed| !run(seed, *mutation).failures().is_empty());
        expect_true!(found, "{mutation:?}");
    }
}

#[gtest]
fn equal_seeds_give_equal_actions() {
    let digest = || {
        let mut simulation = Simulation::new(7, Mechanisms::ALL);
        simulation.digest = Some(0);
        run_simulation(simulation).digest
    };
    expect_that!(digest(), eq(digest()));
}
