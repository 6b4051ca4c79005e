//! The loop of virtual time that connects entries and backend servers.

use super::arrivals::Request;
use super::backend::Backend;
use super::entry::{Entry, Shared};
use super::fleet::{BACKENDS, document, domain_of};
use super::ledger::{Ledger, Outcome};
use super::policies::PolicySet;
use super::queue::Attempt;
use super::scenario::{Life, Scenario};
use super::wire::{Effect, ToBackend, ToEntry};
use hickorycross_config::Document;
use hickorycross_core::Now;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One way within a failure domain.
const NEAR_MS: u64 = 1;

/// One way between failure domains.
const FAR_MS: u64 = 2;

/// Time between ticks of every process.
const TICK_MS: u64 = 50;

/// Time after the run in which open requests may end.
const DRAIN_MS: u64 = 15_000;

#[derive(Clone, Debug)]
enum Event {
    Arrival(usize),
    ToBackend { backend: usize, entry: usize, message: ToBackend },
    ToEntry { entry: usize, backend: usize, incarnation: u64, message: ToEntry },
    FirstChunk { backend: usize, incarnation: u64, attempt: Attempt },
    Done { backend: usize, incarnation: u64, attempt: Attempt },
    Retry { entry: usize, request: usize },
    Tick,
}

/// Order of events: by time, then as they were scheduled.
type Key = (u64, usize);

/// A run.
struct World<'a> {
    scenario: &'a Scenario,
    requests: &'a [Request],
    set: PolicySet,
    seed: u64,
    document: Document,
    entries: Vec<Entry>,
    entry_lives: Vec<Life>,
    backends: Vec<Backend>,
    ledger: Ledger,
    order: BinaryHeap<Reverse<Key>>,
    events: Vec<Event>,
}

/// Runs one set of policies through a scenario.
pub(crate) fn run(scenario: &Scenario, requests: &[Request], set: PolicySet, seed: u64) -> Ledger {
    let mut world = World::new(scenario, requests, set, seed);
    world.schedule(scenario.run.from_ms, Event::Tick);
    for (index, request) in requests.iter().enumerate() {
        world.schedule(request.arrives_ms, Event::Arrival(index));
    }
    while let Some(Reverse((now_ms, index))) = world.order.pop() {
        let event = std::mem::replace(&mut world.events[index], Event::Tick);
        world.handle(now_ms, event);
    }
    world.ledger
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, requests: &'a [Request], set: PolicySet, seed: u64) -> Self {
        let document = document(&scenario.limit_factors);
        let backends = (0..BACKENDS).map(|index| Backend::new(index, set.order())).collect();
        let mut world = Self {
            scenario,
            requests,
            set,
            seed,
            document,
            entries: Vec::new(),
            entry_lives: vec![Life::Serving; scenario.entries],
            backends,
            ledger: Ledger::new(requests.len()),
            order: BinaryHeap::new(),
            events: Vec::new(),
        };
        for index in 0..scenario.entries {
            let entry = world.entry(Now::at(scenario.run.from_ms), index);
            world.entries.push(entry);
        }
        world
    }

    /// A process of an entry; each life has a seed of its own.
    fn entry(&self, now: Now, index: usize) -> Entry {
        let seed = self.seed.wrapping_mul(1_000_003) ^ now.unix_ms.0 << 8 ^ index as u64;
        let incarnations: Vec<u64> =
            self.backends.iter().map(|backend| backend.incarnation).collect();
        Entry::new(now, index, self.scenario.entries, seed, self.set, &self.document, &incarnations)
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.order.push(Reverse((at_ms, self.events.len())));
        self.events.push(event);
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Tick => self.tick(now_ms),
            Event::Arrival(request) => self.arrival(now_ms, request),
            Event::ToBackend { backend, entry, message } => {
                self.reach_backend(now_ms, backend, entry, message);
            }
            Event::ToEntry { entry, backend, incarnation, message } => {
                self.reach_entry(now_ms, entry, backend, incarnation, message);
            }
            Event::FirstChunk { backend, incarnation, attempt } => {
                if self.backends[backend].incarnation == incarnation {
                    let effects = self.backends[backend].first_chunk(attempt);
                    self.of_backend(now_ms, backend, effects);
                }
            }
            Event::Done { backend, incarnation, attempt } => {
                if self.backends[backend].incarnation == incarnation {
                    let effects = self.backends[backend].done(now_ms, self.scenario, attempt);
                    self.of_backend(now_ms, backend, effects);
                }
            }
            Event::Retry { entry, request } => {
                self.with_entry(now_ms, entry, |entry, now, shared| {
                    entry.retry(now, shared, request);
                });
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        for backend in 0..self.backends.len() {
            let effects = self.backends[backend].tick(now_ms, self.scenario, self.scenario.entries);
            self.of_backend(now_ms, backend, effects);
        }
        for index in 0..self.entries.len() {
            self.follow_life(now_ms, index);
            if self.entry_lives[index] != Life::Gone {
                self.with_entry(now_ms, index, Entry::tick);
            }
        }
        if now_ms < self.scenario.run.to_ms + DRAIN_MS {
            self.schedule(now_ms + TICK_MS, Event::Tick);
        }
    }

    fn follow_life(&mut self, now_ms: u64, index: usize) {
        let life = self.scenario.entry_life(index, now_ms);
        let before = std::mem::replace(&mut self.entry_lives[index], life);
        if before == life {
            return;
        }
        if life == Life::Gone {
            let shared = &mut Shared { requests: self.requests, ledger: &mut self.ledger };
            self.entries[index].cut_off(shared);
        }
        if life == Life::Serving {
            self.entries[index] = self.entry(Now::at(now_ms), index);
        }
    }

    /// The platform's balancer spreads arrivals over the entries that serve.
    fn arrival(&mut self, now_ms: u64, request: usize) {
        let serving: Vec<usize> = (0..self.scenario.entries)
            .filter(|&entry| self.entry_lives[entry] == Life::Serving)
            .collect();
        if serving.is_empty() {
            self.ledger.ended(request, Outcome::Failed);
            return;
        }
        let draw = self.requests[request].entry_draw as usize;
        let entry = serving[draw % serving.len()];
        self.with_entry(now_ms, entry, |entry, now, shared| entry.arrived(now, shared, request));
    }

    fn reach_backend(&mut self, now_ms: u64, backend: usize, entry: usize, message: ToBackend) {
        if !self.passes(now_ms, entry, backend) {
            return;
        }
        let effects = self.backends[backend].message(now_ms, self.scenario, entry, message);
        self.of_backend(now_ms, backend, effects);
    }

    fn reach_entry(
        &mut self,
        now_ms: u64,
        entry: usize,
        backend: usize,
        incarnation: u64,
        message: ToEntry,
    ) {
        if !self.passes(now_ms, entry, backend) {
            return;
        }
        self.with_entry(now_ms, entry, |entry, now, shared| {
            entry.message(now, shared, backend, incarnation, message);
        });
    }

    /// Whether a message between the two can arrive now.
    fn passes(&self, now_ms: u64, entry: usize, backend: usize) -> bool {
        self.scenario.backend_life(backend, now_ms) != Life::Gone
            && self.entry_lives[entry] != Life::Gone
            && self.scenario.reachable(domain_of(entry), domain_of(backend), now_ms)
    }

    fn with_entry(
        &mut self,
        now_ms: u64,
        index: usize,
        act: impl FnOnce(&mut Entry, Now, &mut Shared<'_>),
    ) {
        let shared = &mut Shared { requests: self.requests, ledger: &mut self.ledger };
        act(&mut self.entries[index], Now::at(now_ms), shared);
        for effect in self.entries[index].take_effects() {
            self.of_entry(now_ms, index, effect);
        }
    }

    fn of_entry(&mut self, now_ms: u64, entry: usize, effect: Effect) {
        match effect {
            Effect::SendBackend { backend, message } => {
                let at_ms = now_ms + self.one_way_ms(entry, backend);
                self.schedule(at_ms, Event::ToBackend { backend, entry, message });
            }
            Effect::RetryIn { request, after_ms } => {
                self.schedule(now_ms + after_ms, Event::Retry { entry, request });
            }
            Effect::SendEntry { .. } | Effect::FirstChunkIn { .. } | Effect::DoneIn { .. } => {}
        }
    }

    fn of_backend(&mut self, now_ms: u64, backend: usize, effects: Vec<Effect>) {
        let incarnation = self.backends[backend].incarnation;
        for effect in effects {
            match effect {
                Effect::SendEntry { entry, message } => {
                    let at_ms = now_ms + self.one_way_ms(entry, backend);
                    let event = Event::ToEntry { entry, backend, incarnation, message };
                    self.schedule(at_ms, event);
                }
                Effect::FirstChunkIn { attempt, after_ms } => {
                    let event = Event::FirstChunk { backend, incarnation, attempt };
                    self.schedule(now_ms + after_ms, event);
                }
                Effect::DoneIn { attempt, after_ms } => {
                    let event = Event::Done { backend, incarnation, attempt };
                    self.schedule(now_ms + after_ms, event);
                }
                Effect::SendBackend { .. } | Effect::RetryIn { .. } => {}
            }
        }
    }

    fn one_way_ms(&self, entry: usize, backend: usize) -> u64 {
        let near = self.entries[entry].domain() == self.backends[backend].domain();
        if near { NEAR_MS } else { FAR_MS }
    }
}
