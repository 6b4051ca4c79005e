//! Fake backend server with its agent: a queue, slots, service times and faults.

use super::demand::DemandTable;
use super::fleet::{SERVICE_MS, SLOTS, domain_of};
use super::queue::{Attempt, Offered, Order, Queue};
use super::scenario::{Life, Scenario};
use super::wire::{Effect, ToBackend, ToEntry};
use hickorycross_core::UnixMs;
use hickorycross_core::message::{AgentState, Load, RefusalReason};

/// Part of the service time after which the first chunk comes.
const FIRST_CHUNK_PART: f64 = 0.2;

/// Time after a start during which caches are cold.
const COLD_MS: u64 = 5000;

/// Slowness while caches are cold.
const COLD_FACTOR: f64 = 1.5;

/// Time that an attempt takes on a backend server that fails at once.
const FAIL_MS: u64 = 2;

/// Weight of one request in the smoothed service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// One backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    index: usize,
    life: Life,
    /// Counts the lives of its process.
    pub(crate) incarnation: u64,
    cold_until_ms: u64,
    queue: Queue,
    running: Vec<Attempt>,
    service_ms: f64,
    demands: DemandTable,
}

impl Backend {
    /// A backend server that has served for a while.
    pub(crate) fn new(index: usize, order: Order) -> Self {
        Self {
            index,
            life: Life::Serving,
            incarnation: 0,
            cold_until_ms: 0,
            queue: Queue::new(order),
            running: Vec::new(),
            service_ms: SERVICE_MS,
            demands: DemandTable::default(),
        }
    }

    /// Failure domain.
    pub(crate) const fn domain(&self) -> usize {
        domain_of(self.index)
    }

    /// Handles a message of an entry.
    pub(crate) fn message(
        &mut self,
        now_ms: u64,
        scenario: &Scenario,
        entry: usize,
        message: ToBackend,
    ) -> Vec<Effect> {
        match message {
            ToBackend::Submit(attempt) => self.submit(now_ms, scenario, attempt),
            ToBackend::Heartbeat => {
                let message = ToEntry::HeartbeatAck { load: self.load(now_ms) };
                vec![Effect::SendEntry { entry, message }]
            }
            ToBackend::Demand(demands) => {
                let totals = self.demands.learn(now_ms, entry, &demands);
                vec![Effect::SendEntry { entry, message: ToEntry::Totals(totals) }]
            }
        }
    }

    /// Follows the scenario's faults; `entries` are told when it leaves.
    pub(crate) fn tick(&mut self, now_ms: u64, scenario: &Scenario, entries: usize) -> Vec<Effect> {
        let life = scenario.backend_life(self.index, now_ms);
        if life != self.life {
            return self.live_on(now_ms, life, entries);
        }
        self.start(now_ms, scenario)
    }

    /// The first chunk of an attempt is there.
    pub(crate) fn first_chunk(&self, attempt: Attempt) -> Vec<Effect> {
        vec![Effect::SendEntry { entry: attempt.entry, message: ToEntry::FirstChunk { attempt } }]
    }

    /// An attempt leaves its slot.
    pub(crate) fn done(
        &mut self,
        now_ms: u64,
        scenario: &Scenario,
        attempt: Attempt,
    ) -> Vec<Effect> {
        self.running.retain(|running| *running != attempt);
        let failed = scenario.fails_fast(self.index, now_ms);
        if !failed {
            let occupied_ms = attempt.service_ms * self.slowness(now_ms, scenario);
            self.service_ms += SERVICE_WEIGHT * (occupied_ms - self.service_ms);
        }
        let mut effects = self.start(now_ms, scenario);
        let load = self.load(now_ms);
        let message =
            if failed { ToEntry::Failed { attempt, load } } else { ToEntry::End { attempt, load } };
        effects.push(Effect::SendEntry { entry: attempt.entry, message });
        effects
    }

    fn submit(&mut self, now_ms: u64, scenario: &Scenario, attempt: Attempt) -> Vec<Effect> {
        if self.life == Life::Leaving {
            return vec![self.refusal(now_ms, attempt, RefusalReason::Leaving)];
        }
        let offered = self.queue.offer(attempt);
        if offered == Offered::Full {
            return vec![self.refusal(now_ms, attempt, RefusalReason::QueueFull)];
        }
        let mut effects = self.start(now_ms, scenario);
        if let Offered::Evicted(evicted) = offered {
            effects.push(self.refusal(now_ms, evicted, RefusalReason::QueueFull));
        }
        let message = ToEntry::Accepted { attempt, load: self.load(now_ms) };
        effects.push(Effect::SendEntry { entry: attempt.entry, message });
        effects
    }

    fn start(&mut self, now_ms: u64, scenario: &Scenario) -> Vec<Effect> {
        let mut effects = Vec::new();
        for expired in self.queue.take_expired(now_ms) {
            effects.push(self.refusal(now_ms, expired, RefusalReason::Expired));
        }
        while self.running.len() < SLOTS as usize {
            let Some(attempt) = self.queue.next() else { break };
            self.running.push(attempt);
            self.run(now_ms, scenario, attempt, &mut effects);
        }
        effects
    }

    fn run(&self, now_ms: u64, scenario: &Scenario, attempt: Attempt, effects: &mut Vec<Effect>) {
        if scenario.fails_fast(self.index, now_ms) {
            effects.push(Effect::DoneIn { attempt, after_ms: FAIL_MS });
            return;
        }
        let occupied_ms = attempt.service_ms * self.slowness(now_ms, scenario);
        let first_chunk_ms = (occupied_ms * FIRST_CHUNK_PART) as u64;
        effects.push(Effect::FirstChunkIn { attempt, after_ms: first_chunk_ms });
        effects.push(Effect::DoneIn { attempt, after_ms: (occupied_ms as u64).max(1) });
    }

    fn slowness(&self, now_ms: u64, scenario: &Scenario) -> f64 {
        let cold = if now_ms < self.cold_until_ms { COLD_FACTOR } else { 1.0 };
        cold * scenario.slowness(self.index, now_ms)
    }

    fn live_on(&mut self, now_ms: u64, life: Life, entries: usize) -> Vec<Effect> {
        self.life = life;
        match life {
            Life::Leaving => self.leave(now_ms, entries),
            Life::Gone => {
                self.queue.take_all();
                self.running.clear();
                self.demands = DemandTable::default();
                self.incarnation += 1;
                Vec::new()
            }
            Life::Serving => {
                self.cold_until_ms = now_ms + COLD_MS;
                self.service_ms = SERVICE_MS;
                Vec::new()
            }
        }
    }

    fn leave(&mut self, now_ms: u64, entries: usize) -> Vec<Effect> {
        let mut effects: Vec<Effect> = (0..entries)
            .map(|entry| Effect::SendEntry { entry, message: ToEntry::Leaving })
            .collect();
        for attempt in self.queue.take_all() {
            effects.push(self.refusal(now_ms, attempt, RefusalReason::Leaving));
        }
        effects
    }

    fn refusal(&self, now_ms: u64, attempt: Attempt, reason: RefusalReason) -> Effect {
        let load = self.load(now_ms);
        let message = ToEntry::Refused { attempt, reason, load };
        Effect::SendEntry { entry: attempt.entry, message }
    }

    fn load(&self, now_ms: u64) -> Load {
        let serving = self.life == Life::Serving;
        Load {
            sampled: UnixMs(now_ms),
            state: if serving { AgentState::Serving } else { AgentState::Leaving },
            running: self.running.len() as u32,
            slots: SLOTS,
            waiting: self.queue.waiting(),
            service_ms: self.service_ms as u32,
        }
    }
}
