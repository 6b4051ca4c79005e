//! One entry against scripted agents behind a network that loses, doubles, delays and reorders
//! messages, lets links go silent, and against agents that restart or cannot be reached.

mod entry_support;

use bytes::Bytes;
use entry_support::fake_agent::{FakeAgent, whole};
use entry_support::{Caller, START_MS, answered, document, instance};
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
const LOAD_MS: u64 = 20_000;
const SETTLE_MS: u64 = 25_000;
const TICK_MS: u64 = 50;
const BACKENDS: [&str; 3] = ["s-1", "s-2", "s-3"];

/// Chances in ten thousand, for each message or each millisecond.
const LOST: u32 = 100;
const DOUBLED: u32 = 300;
const SLOW: u32 = 300;
const ARRIVAL: u32 = 400;
const SILENT: u32 = 20;
const RESTART: u32 = 4;
const CUT_OFF: u32 = 5;
const PAUSE: u32 = 4;
const GONE: u32 = 10;

#[derive(Debug)]
enum Parcel {
    ToAgent { agent: usize, incarnation: Incarnation, link: LinkId, message: ToAgent },
    ToEntry(EntryEvent),
}

#[derive(Debug)]
struct Link {
    agent: usize,
    incarnation: Incarnation,
    silent: bool,
}

struct World {
    core: EntryCore,
    random: ChaCha8Rng,
    now_ms: u64,
    paused_until_ms: u64,
    agents: Vec<FakeAgent>,
    cut_off_until_ms: Vec<u64>,
    links: IndexMap<LinkId, Link>,
    parcels: Vec<(Reverse<(u64, u64)>, Parcel)>,
    sequence: u64,
    requests: Vec<(RequestId, bool)>,
    gone: IndexSet<RequestId>,
    executions: IndexMap<RequestId, u32>,
    callers: IndexMap<RequestId, Caller>,
    violations: Vec<String>,
    drained: u32,
    /// Digest of all actions, once asked for: it costs more than the run itself.
    digest: Option<u64>,
}

impl World {
    fn new(seed: u64, mechanisms: Mechanisms) -> Self {
        let identity = EntryIdentity {
            incarnation: Incarnation(1),
            failure_domain: FailureDomainId::new("fd-a"),
        };
        let core = EntryCore::new(identity, EntryPolicies::baseline(), seed);
        let mut world = Self {
            core: core.with_mechanisms(mechanisms),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: START_MS,
            paused_until_ms: 0,
            agents: (0..3).map(|index| FakeAgent::new(Incarnation(100 + index))).collect(),
            cut_off_until_ms: vec![0; BACKENDS.len()],
            links: IndexMap::new(),
            parcels: Vec::new(),
            sequence: 0,
            requests: Vec::new(),
            gone: IndexSet::new(),
            executions: IndexMap::new(),
            callers: IndexMap::new(),
            violations: Vec::new(),
            drained: 0,
            digest: None,
        };
        let stamp = Stamp { revision: 1, digest: Digest(1) };
        world.event(EntryEvent::Adopted { stamp, document: Arc::new(document()) });
        let list = BACKENDS.map(|id| instance(id, InstanceState::Live)).to_vec();
        world.event(EntryEvent::Instances(list));
        world
    }

    fn chance(&mut self, of_ten_thousand: u32) -> bool {
        self.random.random_range(0..10_000) < of_ten_thousand
    }

    fn run(&mut self, span_ms: u64, disturbed: bool) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            if disturbed {
                self.disturb();
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
            self.event(EntryEvent::Tick);
        }
        while let Some(parcel) = self.due(|parcel| matches!(parcel, Parcel::ToEntry(_))) {
            if let Parcel::ToEntry(event) = parcel {
                self.event(event);
            }
        }
    }

    fn deliver_to_agents(&mut self) {
        while let Some(parcel) = self.due(|parcel| matches!(parcel, Parcel::ToAgent { .. })) {
            if let Parcel::ToAgent { agent, incarnation, link, message } = parcel
                && self.agents[agent].incarnation == incarnation
            {
                let now_ms = self.now_ms;
                let replies = self.agents[agent].receive(now_ms, &mut self.random, link, message);
                for reply in replies {
                    self.post_to_entry(link, reply);
                }
            }
        }
    }

    /// Takes the earliest parcel that is due.
    fn due(&mut self, wanted: impl Fn(&Parcel) -> bool) -> Option<Parcel> {
        let now_ms = self.now_ms;
        let due = self.parcels.iter().enumerate();
        let due = due.filter(|(_, (Reverse((at_ms, _)), p))| *at_ms <= now_ms && wanted(p));
        let (index, _) = due.max_by_key(|(_, (order, _))| *order)?;
        Some(self.parcels.swap_remove(index).1)
    }

    fn step_agents(&mut self) {
        for agent in 0..self.agents.len() {
            let (started, sent) = self.agents[agent].step(self.now_ms, &mut self.random);
            for attempt in started {
                *self.executions.entry(attempt.request).or_insert(0) += 1;
            }
            for (link, message) in sent {
                self.post_to_entry(link, message);
            }
        }
    }

    fn post(&mut self, parcel: Parcel) {
        let slow_ms = if self.chance(SLOW) { self.random.random_range(50..400) } else { 0 };
        let at_ms = self.now_ms + self.random.random_range(1..6) + slow_ms;
        self.sequence += 1;
        self.parcels.push((Reverse((at_ms, self.sequence)), parcel));
    }

    fn post_to_entry(&mut self, link: LinkId, message: ToEntry) {
        if self.links.get(&link).is_none_or(|link| link.silent) || self.chance(LOST) {
            return;
        }
        if self.chance(DOUBLED) {
            let message = message.clone();
            self.post(Parcel::ToEntry(EntryEvent::Message { link, message }));
        }
        self.post(Parcel::ToEntry(EntryEvent::Message { link, message }));
    }

    fn post_to_agent(&mut self, link: LinkId, message: &ToAgent) {
        let Some(row) = self.links.get(&link) else { return };
        let (agent, incarnation, silent) = (row.agent, row.incarnation, row.silent);
        if silent || self.chance(LOST) {
            return;
        }
        if self.chance(DOUBLED) {
            let message = message.clone();
            self.post(Parcel::ToAgent { agent, incarnation, link, message });
        }
        self.post(Parcel::ToAgent { agent, incarnation, link, message: message.clone() });
    }

    fn event(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.core.handle(Now::at(self.now_ms), event, &mut actions);
        for action in &actions {
            self.hash(action);
            if let Some(request) = answered(action) {
                self.callers.entry(request).or_default().see(action);
            }
            self.carry_out(action);
        }
    }

    fn hash(&mut self, action: &EntryAction) {
        if let Some(digest) = self.digest {
            let text = format!("{digest} {} {action:?}", self.now_ms);
            self.digest = Some(Digest::of(text.as_bytes()).0);
        }
    }

    fn carry_out(&mut self, action: &EntryAction) {
        match action {
            EntryAction::OpenLink { link, instance, .. } => self.open(*link, instance),
            EntryAction::CloseLink { link } => {
                self.links.swap_remove(link);
            }
            EntryAction::Send { link, message } => self.post_to_agent(*link, message),
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
                self.post(Parcel::ToEntry(EntryEvent::LinkClosed { link }));
            }
            return;
        }
        let incarnation = self.agents[agent].incarnation;
        self.links.insert(link, Link { agent, incarnation, silent: false });
        let backend_server = BackendServerId::new(name);
        self.post(Parcel::ToEntry(EntryEvent::LinkOpened { link, backend_server, incarnation }));
    }

    fn disturb(&mut self) {
        if self.chance(ARRIVAL) {
            self.arrive();
        }
        if self.chance(SILENT) && !self.links.is_empty() {
            let index = self.random.random_range(0..self.links.len());
            self.links[index].silent = true;
        }
        if self.chance(RESTART) {
            self.restart();
        }
        if self.chance(CUT_OFF) {
            let agent = self.random.random_range(0..self.agents.len());
            self.cut_off_until_ms[agent] = self.now_ms + self.random.random_range(100..8_000);
            for link in self.links.values_mut().filter(|link| link.agent == agent) {
                link.silent = true;
            }
        }
        if self.chance(PAUSE) {
            self.paused_until_ms = self.now_ms + self.random.random_range(100..3_000);
        }
        if self.chance(GONE) && !self.requests.is_empty() {
            let index = self.random.random_range(0..self.requests.len());
            let (request, _) = self.requests[index];
            self.gone.insert(request);
            self.event(EntryEvent::CallerGone { request });
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
                self.post(Parcel::ToEntry(EntryEvent::LinkClosed { link }));
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
        self.event(EntryEvent::Arrived(Box::new(arrival)));
    }

    /// Everything that does not hold at the end of a run.
    fn faults(&self) -> Vec<String> {
        let mut faults = self.violations.clone();
        for (request, idempotent) in &self.requests {
            faults.extend(self.fault_of(*request, *idempotent));
        }
        let snapshot = self.core.snapshot(Now::at(self.now_ms));
        if !snapshot.in_flight.is_empty() || self.drained != 1 {
            faults.push(format!("left {:?}, drained {}", snapshot.in_flight, self.drained));
        }
        faults
    }

    fn fault_of(&self, request: RequestId, idempotent: bool) -> Option<String> {
        let caller = &self.callers[&request];
        let executions = self.executions.get(&request).copied().unwrap_or(0);
        let finals_due = usize::from(!self.gone.contains(&request));
        let told_not_run = caller.refusals.iter().any(|one| one.verdict == Verdict::NotRun);
        let fault = if caller.finals() < finals_due || caller.finals() > 1 {
            "not exactly one final answer"
        } else if caller.after_final > 0 {
            "something after the final answer"
        } else if !idempotent && executions > 1 {
            "a non-idempotent request ran twice"
        } else if told_not_run && executions > 0 {
            "it ran although its caller was told that it did not"
        } else if caller.finished && !is_whole(request, &caller.bytes) {
            "the answer is not that of one attempt"
        } else {
            return None;
        };
        Some(format!("{request}: {fault}; {executions} executions, {caller:?}"))
    }
}

fn is_whole(request: RequestId, bytes: &[u8]) -> bool {
    (0..10).any(|ordinal| whole(AttemptId { request, ordinal }) == bytes)
}

fn run(seed: u64, mechanisms: Mechanisms) -> World {
    run_world(World::new(seed, mechanisms))
}

fn run_world(mut world: World) -> World {
    world.run(LOAD_MS, true);
    world.event(EntryEvent::Drain);
    world.run(SETTLE_MS, false);
    world
}

/// A count that must have moved, so that a run without trouble does not pass for a proof.
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
    Exercised { name: "doubled", count: |counters| counters.dropped_doubled },
    Exercised { name: "may have run", count: |counters| counters.refused_may_have_run },
];

#[gtest]
fn outcomes_hold_under_random_faults() {
    let worlds: Vec<World> = (0..SEEDS).map(|seed| run(seed, Mechanisms::ALL)).collect();
    for (seed, world) in worlds.iter().enumerate() {
        expect_that!(world.faults(), is_empty(), "seed {seed}");
    }
    for exercised in &EXERCISED {
        let counts = worlds.iter().map(|world| (exercised.count)(&world.core.counters()));
        expect_that!(counts.sum::<u64>(), gt(SEEDS), "{}", exercised.name);
    }
}

const ON: Mechanisms = Mechanisms::ALL;

/// Mechanisms turned off that this run must notice, whatever the agents do.
const MUTATIONS: [Mechanisms; 5] = [
    Mechanisms { end_marker_check: false, ..ON },
    Mechanisms { chunk_order: false, ..ON },
    Mechanisms { attempt_id_check: false, ..ON },
    Mechanisms { retry_only_not_run: false, ..ON },
    Mechanisms { no_retry_after_begin: false, ..ON },
];

#[gtest]
fn random_faults_find_missing_mechanisms() {
    for mutation in &MUTATIONS {
        let found = (0..SEEDS).any(|seed| !run(seed, *mutation).faults().is_empty());
        expect_true!(found, "{mutation:?}");
    }
}

#[gtest]
fn equal_seeds_give_equal_actions() {
    let digest = || {
        let mut world = World::new(7, Mechanisms::ALL);
        world.digest = Some(0);
        run_world(world).digest
    };
    expect_that!(digest(), eq(digest()));
}
