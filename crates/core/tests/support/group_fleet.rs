//! Simulation of a group's agents and engines with virtual time and a seeded network.
//!
//! The engines step together whenever every rank is granted the next step. They do not compare
//! their maps, so that a fault in the agreement shows up as a step on different maps.

use hickorycross_config::{BackendServerId, Digest, ModelGroup, ModelGroupId, Stamp};
use hickorycross_core::group::{
    EngineOrder, EngineState, ExpertMap, FencedOrder, GroupAction, GroupEvent, GroupMember,
    GroupMessage, GroupRecord, MapRef, Mechanisms, MemberSettings, Membership, StepGrant,
    StepReport, Violation, timing,
};
use hickorycross_core::{Fencing, Incarnation, Now};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

/// Delays and fault rates of the network and the engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    pub(crate) delay_min_ms: u64,
    pub(crate) delay_max_ms: u64,
    pub(crate) lost_permille: u32,
    pub(crate) duplicated_permille: u32,
    /// Bounds of the one-way delay of an order to an engine, and of its answer.
    pub(crate) order_min_ms: u64,
    pub(crate) order_max_ms: u64,
    pub(crate) stage_ms: u64,
    pub(crate) step_ms: u64,
}

impl Conditions {
    pub(crate) const HEALTHY: Self = Self {
        delay_min_ms: 1,
        delay_max_ms: 3,
        lost_permille: 0,
        duplicated_permille: 0,
        order_min_ms: 0,
        order_max_ms: 1,
        stage_ms: 300,
        step_ms: 5,
    };
}

/// Failure found during a run.
#[derive(Clone, Debug)]
pub(crate) enum Finding {
    MixedMaps { step: u64, maps: Vec<MapRef> },
    Violation(Violation),
}

#[derive(Debug)]
struct Agent {
    member: GroupMember,
    incarnation: Incarnation,
    /// Events received while the process is paused; `None` while it runs.
    paused: Option<Vec<GroupEvent>>,
    orders: VecDeque<FencedOrder>,
    is_order_in_flight: bool,
}

#[derive(Debug, Default)]
struct Engine {
    generation: u64,
    state: EngineState,
    maps: IndexMap<MapRef, Arc<ExpertMap>>,
    seen: Fencing,
    fails_staging: bool,
    /// Whether it reports steps on a map other than the granted one.
    reports_wrong_map: bool,
}

#[derive(Debug)]
struct Server {
    checks_fencing: bool,
    agent: Option<Agent>,
    engine: Engine,
    known: Membership,
}

#[derive(Debug)]
enum Delivery {
    Message { to: BackendServerId, message: GroupMessage },
    Order { to: BackendServerId, generation: u64, incarnation: Incarnation, order: FencedOrder },
    Answer { to: BackendServerId, incarnation: Incarnation, events: Vec<GroupEvent> },
    Staged { to: BackendServerId, generation: u64, map: Arc<ExpertMap> },
    Document { to: BackendServerId, membership: Membership },
    Tick { to: BackendServerId, incarnation: Incarnation },
    Step,
}

pub(crate) type Filter = fn(&GroupMessage) -> bool;

/// A simulated group with its network and engines.
pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) conditions: Conditions,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) findings: Vec<Finding>,
    pub(crate) records: Vec<(u64, BackendServerId, GroupRecord)>,
    pub(crate) membership: Membership,
    pub(crate) last_step: u64,
    pub(crate) last_step_ms: u64,
    /// Messages that match are held until [`Fleet::release_held_messages`].
    pub(crate) hold_filter: Option<Filter>,
    pub(crate) drop_filter: Option<Filter>,
    /// Messages that match are delivered, and copies of them are held as well.
    pub(crate) copy_filter: Option<Filter>,
    /// Longest time between two steps since the test last reset it.
    pub(crate) longest_gap_ms: u64,
    pub(crate) messages: u64,
    /// Total size of the sent messages in postcard encoding, if `counts_bytes` is set.
    pub(crate) bytes: u64,
    pub(crate) counts_bytes: bool,
    /// Whether engines step only if all of their grants have the same epoch.
    pub(crate) engines_match_epochs: bool,
    /// Whether joining engines keep old grants, which engines that ignore epochs must not do.
    pub(crate) joining_engines_keep_grants: bool,
    /// Number of steps between two reports of an engine.
    pub(crate) report_interval_steps: u64,
    /// Whether agents defer loads until [`Fleet::release_deferred_loads`].
    pub(crate) defers_loads: bool,
    deferred_loads: Vec<(BackendServerId, MapRef)>,
    /// Share of agents that start with an old membership, in permille.
    pub(crate) stale_starts_permille: u32,
    old_memberships: Vec<Membership>,
    servers: IndexMap<BackendServerId, Server>,
    blocked_links: IndexSet<(BackendServerId, BackendServerId)>,
    held_messages: Vec<(BackendServerId, GroupMessage)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: IndexMap<u64, Delivery>,
    sequence: u64,
    started_processes: u64,
}

pub(crate) fn server(index: usize) -> BackendServerId {
    BackendServerId::new(&format!("engine-{index}"))
}

/// Returns the membership of the given servers with `ranks_per_server` ranks each.
pub(crate) fn membership(revision: u64, indices: &[usize], ranks_per_server: u16) -> Membership {
    let group = ModelGroup {
        id: ModelGroupId::new("drafts"),
        models: vec!["drafts".to_owned()],
        weights_version: "1".to_owned(),
        backend_servers: indices.iter().map(|&index| server(index)).collect(),
        ranks_per_server,
        layers: 2,
        experts_per_layer: 12,
        expert_bytes: 1,
        expert_slots_per_rank: 12,
    };
    Membership::new(Stamp { revision, digest: Digest(revision) }, &group)
}

impl Fleet {
    /// Creates a fleet without running agents. Engines with an odd index check fencing.
    pub(crate) fn new(seed: u64, servers: usize) -> Self {
        let indices: Vec<usize> = (0..servers).collect();
        let mut fleet = Self {
            now_ms: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            conditions: Conditions::HEALTHY,
            mechanisms: Mechanisms::ALL,
            findings: Vec::new(),
            records: Vec::new(),
            membership: membership(1, &indices, 1),
            last_step: 0,
            last_step_ms: 0,
            hold_filter: None,
            drop_filter: None,
            copy_filter: None,
            longest_gap_ms: 0,
            messages: 0,
            bytes: 0,
            counts_bytes: false,
            engines_match_epochs: true,
            joining_engines_keep_grants: false,
            report_interval_steps: 1,
            defers_loads: false,
            deferred_loads: Vec::new(),
            stale_starts_permille: 0,
            old_memberships: Vec::new(),
            servers: IndexMap::new(),
            blocked_links: IndexSet::new(),
            held_messages: Vec::new(),
            queue: BinaryHeap::new(),
            deliveries: IndexMap::new(),
            sequence: 0,
            started_processes: 0,
        };
        for index in indices {
            fleet.add_server(index, index % 2 == 1);
        }
        fleet.after(1, Delivery::Step);
        fleet
    }

    pub(crate) fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Starts every agent that is not running.
    pub(crate) fn start_all(&mut self) {
        for index in 0..self.servers.len() {
            self.start(index);
        }
    }

    pub(crate) fn add_server(&mut self, index: usize, checks_fencing: bool) {
        let known = self.membership.clone();
        let engine = Engine::default();
        let added = Server { checks_fencing, agent: None, engine, known };
        self.servers.insert(server(index), added);
    }

    pub(crate) fn set_checks_fencing(&mut self, index: usize, checks_fencing: bool) {
        self.servers[&server(index)].checks_fencing = checks_fencing;
    }

    pub(crate) fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Starts an agent unless one is running, since the loopback port excludes a second one.
    pub(crate) fn start(&mut self, index: usize) {
        let id = server(index);
        if self.servers[&id].agent.is_some() {
            return;
        }
        self.started_processes += 1;
        let incarnation = Incarnation(self.started_processes);
        self.read_stale_document(&id);
        let settings = MemberSettings {
            server: id.clone(),
            incarnation,
            checks_fencing: self.servers[&id].checks_fencing,
            membership: self.servers[&id].known.clone(),
            mechanisms: self.mechanisms,
        };
        let member = GroupMember::new(Now::at(self.now_ms), settings);
        let orders = VecDeque::new();
        self.servers[&id].agent =
            Some(Agent { member, incarnation, paused: None, orders, is_order_in_flight: false });
        self.after(1, Delivery::Tick { to: id, incarnation });
    }

    /// Makes the next agent start with an old document at random; the newest one follows later.
    fn read_stale_document(&mut self, id: &BackendServerId) {
        let is_stale = self.rng.random_ratio(self.stale_starts_permille, 1000);
        if let Some(old) = self.old_memberships.last().filter(|_| is_stale).cloned() {
            self.servers[id].known = old;
            let after_ms = self.rng.random_range(0..4_000);
            let membership = self.membership.clone();
            self.after(after_ms, Delivery::Document { to: id.clone(), membership });
        }
    }

    /// Kills an agent. An order in transit to the engine still arrives.
    pub(crate) fn kill(&mut self, index: usize) {
        self.servers[&server(index)].agent = None;
    }

    pub(crate) fn pause(&mut self, index: usize) {
        if let Some(agent) = &mut self.servers[&server(index)].agent {
            agent.paused.get_or_insert_default();
        }
    }

    /// Resumes an agent. It acts on its timers first, then on the events received meanwhile.
    pub(crate) fn resume(&mut self, index: usize) {
        let id = server(index);
        let agent = self.servers[&id].agent.as_mut();
        let Some(events) = agent.and_then(|agent| agent.paused.take()) else {
            return;
        };
        self.handle(&id, GroupEvent::Tick);
        for event in events {
            self.handle(&id, event);
        }
    }

    /// Replaces the engine with an empty one.
    pub(crate) fn replace_engine(&mut self, index: usize) {
        let engine = &mut self.servers[&server(index)].engine;
        *engine = Engine { generation: engine.generation + 1, ..Engine::default() };
    }

    pub(crate) fn fail_staging(&mut self, index: usize, fails: bool) {
        self.servers[&server(index)].engine.fails_staging = fails;
    }

    pub(crate) fn report_wrong_map(&mut self, index: usize) {
        self.servers[&server(index)].engine.reports_wrong_map = true;
    }

    /// Blocks messages in both directions between two servers.
    pub(crate) fn partition(&mut self, a: usize, b: usize) {
        self.block_link(a, b);
        self.block_link(b, a);
    }

    pub(crate) fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((server(from), server(to)));
    }

    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Changes the membership; each agent adopts the new document within `within_ms`.
    pub(crate) fn change_membership(&mut self, indices: &[usize], ranks: u16, within_ms: u64) {
        let revision = self.membership.epoch.revision + 1;
        let next = membership(revision, indices, ranks);
        let before = std::mem::replace(&mut self.membership, next);
        for id in self.membership.servers.iter().filter(|id| !before.servers.contains(id)) {
            if !self.joining_engines_keep_grants {
                self.servers[id].engine.state.grants.clear();
            }
        }
        self.old_memberships.push(before);
        self.distribute_membership(within_ms);
    }

    /// Delivers the newest membership to every agent within `within_ms`.
    pub(crate) fn distribute_membership(&mut self, within_ms: u64) {
        for index in 0..self.servers.len() {
            let after_ms = self.rng.random_range(0..=within_ms);
            let membership = self.membership.clone();
            self.after(after_ms, Delivery::Document { to: server(index), membership });
        }
    }

    pub(crate) fn coordinator(&self) -> Option<usize> {
        (0..self.servers.len()).find(|&index| self.is_coordinator(index))
    }

    pub(crate) fn is_coordinator(&self, index: usize) -> bool {
        let agent = self.servers[&server(index)].agent.as_ref();
        agent.is_some_and(|agent| agent.paused.is_none() && agent.member.is_coordinator())
    }

    /// Returns whether some coordinator knows the content of the map in use.
    pub(crate) fn is_map_known(&self) -> bool {
        let agents = self.servers.values().filter_map(|server| server.agent.as_ref());
        agents.filter_map(|agent| agent.member.map_in_use()).next().is_some()
    }

    /// Proposes a uniform map with the ranks of each layer rotated at random.
    pub(crate) fn propose(&mut self) {
        let Some(index) = self.coordinator() else {
            return;
        };
        let mut map = ExpertMap::uniform(0, self.membership.shape);
        for layer in &mut map.layers {
            let turn = self.rng.random_range(0..layer.experts_of_rank.len());
            layer.experts_of_rank.rotate_left(turn);
        }
        self.handle(&server(index), GroupEvent::Propose(map));
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while let Some(&Reverse((at_ms, sequence))) = self.queue.peek() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            if let Some(delivery) = self.deliveries.swap_remove(&sequence) {
                self.deliver(delivery);
            }
        }
        self.now_ms = until_ms;
    }

    /// Returns whether every agent is running, not paused, and has adopted the newest document.
    pub(crate) fn is_document_adopted_by_all(&self) -> bool {
        let is_awake =
            |server: &Server| server.agent.as_ref().is_some_and(|agent| agent.paused.is_none());
        let is_known = |server: &Server| server.known == self.membership;
        self.servers.values().all(|server| is_awake(server) && is_known(server))
    }

    /// Runs until the condition holds and returns the elapsed time, or `None` after `limit_ms`.
    pub(crate) fn run_until(
        &mut self,
        limit_ms: u64,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<u64> {
        let start_ms = self.now_ms;
        while !holds(self) {
            if self.now_ms >= start_ms + limit_ms {
                return None;
            }
            self.run_for(1);
        }
        Some(self.now_ms - start_ms)
    }

    /// Returns whether a matching audit record has been written since `since_ms`.
    pub(crate) fn has_record(&self, since_ms: u64, is: impl Fn(&GroupRecord) -> bool) -> bool {
        self.records.iter().any(|(at_ms, _, record)| *at_ms >= since_ms && is(record))
    }

    /// Delivers the held messages in sending order, one per millisecond.
    pub(crate) fn release_held_messages(&mut self) {
        self.hold_filter = None;
        self.copy_filter = None;
        let held_messages = std::mem::take(&mut self.held_messages);
        for (after_ms, (to, message)) in (0..).zip(held_messages) {
            self.after(after_ms, Delivery::Message { to, message });
        }
    }

    /// Reports every deferred load as due and returns their number.
    pub(crate) fn release_deferred_loads(&mut self) -> usize {
        self.defers_loads = false;
        let held = std::mem::take(&mut self.deferred_loads);
        for (id, map) in &held {
            self.handle(id, GroupEvent::EngineStageDue(*map));
        }
        held.len()
    }

    /// Returns the bound on the time without a step under the current conditions.
    pub(crate) fn stall_bound_ms(&self) -> u64 {
        let members = self.membership.servers.len() as u64;
        let delay_ms = self.conditions.delay_max_ms + self.conditions.order_max_ms;
        timing::stall_bound_ms(members, delay_ms, self.conditions.stage_ms)
            + 2 * timing::TICK_MS
            + self.conditions.step_ms
    }

    fn after(&mut self, span_ms: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_ms + span_ms, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Message { to, message } => self.handle(&to, GroupEvent::Received(message)),
            Delivery::Order { to, generation, incarnation, order } => {
                self.execute_order(to, generation, incarnation, order);
            }
            Delivery::Answer { to, incarnation, events } => self.answer(&to, incarnation, events),
            Delivery::Staged { to, generation, map } => self.staged(&to, generation, map),
            Delivery::Document { to, membership } => {
                let known = &mut self.servers[&to].known;
                if known.epoch.revision < membership.epoch.revision {
                    known.clone_from(&membership);
                }
                self.handle(&to, GroupEvent::MembershipUpdated(membership));
            }
            Delivery::Tick { to, incarnation } => self.tick(to, incarnation),
            Delivery::Step => self.step(),
        }
    }

    fn tick(&mut self, to: BackendServerId, incarnation: Incarnation) {
        let agent = self.servers[&to].agent.as_ref();
        let Some(agent) = agent.filter(|agent| agent.incarnation == incarnation) else {
            return;
        };
        if agent.paused.is_none() {
            self.handle(&to, GroupEvent::Tick);
        }
        self.after(timing::TICK_MS, Delivery::Tick { to, incarnation });
    }

    fn handle(&mut self, to: &BackendServerId, event: GroupEvent) {
        let Some(agent) = &mut self.servers[to].agent else {
            return;
        };
        if let Some(waiting) = &mut agent.paused {
            waiting.push(event);
            return;
        }
        let mut actions = Vec::new();
        agent.member.handle(Now::at(self.now_ms), event, &mut actions);
        for action in actions {
            self.act(to, action);
        }
    }

    fn act(&mut self, from: &BackendServerId, action: GroupAction) {
        match action {
            GroupAction::Send { to, message } => self.send(from, to, message),
            GroupAction::Order(order) => {
                let agent = self.servers[from].agent.as_mut().expect("a running agent");
                agent.orders.push_back(order);
                self.send_order(from);
            }
            GroupAction::ReportViolation(violation) => {
                self.findings.push(Finding::Violation(violation));
            }
            GroupAction::Audit(record) => {
                self.records.push((self.now_ms, from.clone(), record));
            }
        }
    }

    fn send(&mut self, from: &BackendServerId, to: BackendServerId, message: GroupMessage) {
        self.messages += 1;
        if self.counts_bytes {
            let encoded = postcard::to_stdvec(&message).expect("messages are plain data");
            self.bytes += encoded.len() as u64;
        }
        if self.copy_filter.is_some_and(|copies| copies(&message)) {
            self.held_messages.push((to.clone(), message.clone()));
        }
        if self.blocked_links.contains(&(from.clone(), to.clone()))
            || self.drop_filter.is_some_and(|drops| drops(&message))
            || self.rng.random_ratio(self.conditions.lost_permille, 1000)
        {
            return;
        }
        if self.hold_filter.is_some_and(|keeps| keeps(&message)) {
            self.held_messages.push((to, message));
            return;
        }
        if self.rng.random_ratio(self.conditions.duplicated_permille, 1000) {
            let after_ms = 20 * self.delay_ms();
            self.after(after_ms, Delivery::Message { to: to.clone(), message: message.clone() });
        }
        let after_ms = self.delay_ms();
        self.after(after_ms, Delivery::Message { to, message });
    }

    fn delay_ms(&mut self) -> u64 {
        self.rng.random_range(self.conditions.delay_min_ms..=self.conditions.delay_max_ms)
    }

    fn order_ms(&mut self) -> u64 {
        self.rng.random_range(self.conditions.order_min_ms..=self.conditions.order_max_ms)
    }

    fn send_order(&mut self, from: &BackendServerId) {
        let server = &mut self.servers[from];
        let generation = server.engine.generation;
        let agent = server.agent.as_mut().expect("a running agent");
        if agent.is_order_in_flight {
            return;
        }
        let Some(order) = agent.orders.pop_front() else {
            return;
        };
        agent.is_order_in_flight = true;
        let incarnation = agent.incarnation;
        let after_ms = self.order_ms();
        self.after(after_ms, Delivery::Order { to: from.clone(), generation, incarnation, order });
    }

    /// Executes an order in the engine, even if the agent that sent it is no longer running.
    fn execute_order(
        &mut self,
        to: BackendServerId,
        generation: u64,
        incarnation: Incarnation,
        fenced: FencedOrder,
    ) {
        let server = &mut self.servers[&to];
        let FencedOrder { id, fencing, order } = fenced;
        let mut events = Vec::new();
        if let EngineOrder::Stage { map } = &order
            && self.defers_loads
        {
            self.deferred_loads.push((to.clone(), map.reference()));
            events.push(GroupEvent::EngineStageDeferred(map.reference()));
            events.push(GroupEvent::EngineFailed { id });
        } else if server.engine.generation != generation {
            events.push(GroupEvent::EngineFailed { id });
        } else {
            let is_old = server.checks_fencing && fencing < server.engine.seen;
            server.engine.seen = server.engine.seen.max(fencing);
            if is_old {
                events.push(GroupEvent::EngineRefused { id, seen: server.engine.seen });
            } else {
                let staged = server.engine.apply(order, &mut events);
                events.push(GroupEvent::EngineAnswered { id, state: server.engine.state.clone() });
                if let Some(map) = staged {
                    let stage_ms = self.conditions.stage_ms;
                    self.after(stage_ms, Delivery::Staged { to: to.clone(), generation, map });
                }
            }
        }
        let after_ms = self.order_ms();
        self.after(after_ms, Delivery::Answer { to, incarnation, events });
    }

    fn answer(&mut self, to: &BackendServerId, incarnation: Incarnation, events: Vec<GroupEvent>) {
        let agent = self.servers[to].agent.as_mut();
        let Some(agent) = agent.filter(|agent| agent.incarnation == incarnation) else {
            return;
        };
        agent.is_order_in_flight = false;
        for event in events {
            self.handle(to, event);
        }
        if self.servers[to].agent.is_some() {
            self.send_order(to);
        }
    }

    fn staged(&mut self, to: &BackendServerId, generation: u64, map: Arc<ExpertMap>) {
        let engine = &mut self.servers[to].engine;
        let reference = map.reference();
        if engine.generation != generation || engine.state.staging != Some(reference) {
            return;
        }
        engine.state.staging = None;
        if engine.fails_staging {
            self.handle(to, GroupEvent::EngineStageFailed(reference));
            return;
        }
        engine.state.resident.push(reference);
        engine.maps.insert(reference, map);
        self.handle(to, GroupEvent::EngineStaged(reference));
    }

    /// Makes a step if it is granted to every rank of the group.
    fn step(&mut self) {
        self.after(self.conditions.step_ms, Delivery::Step);
        let members = self.membership.servers.clone();
        let states = || members.iter().map(|id| &self.servers[id].engine.state);
        let completed = states().map(|state| state.completed_step).max().unwrap_or(0);
        let first = |state: &EngineState| state.grants.first().map(|grant| grant.from_step);
        let Some(firsts) = states().map(first).collect::<Option<Vec<u64>>>() else {
            return;
        };
        let step = firsts.into_iter().min().unwrap_or(0).max(completed + 1);
        let grant_of =
            |state: &EngineState| state.grants.iter().find(|grant| grant.covers(step)).copied();
        let Some(grants) = states().map(grant_of).collect::<Option<Vec<StepGrant>>>() else {
            return;
        };
        let has_mixed_epochs = grants.iter().any(|grant| grant.epoch != grants[0].epoch);
        if self.engines_match_epochs && has_mixed_epochs {
            return;
        }
        let maps: Vec<MapRef> = grants.iter().map(|grant| grant.map).collect();
        if maps.iter().any(|map| *map != maps[0]) {
            self.findings.push(Finding::MixedMaps { step, maps: maps.clone() });
        }
        self.last_step = step;
        let gap_ms = self.now_ms - self.last_step_ms;
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last_step_ms = self.now_ms;
        for (rank, (id, map)) in (0..).zip(members.iter().zip(maps)) {
            let engine = &mut self.servers[id].engine;
            engine.state.completed_step = step;
            let other = MapRef { version: map.version + 1, ..map };
            let map = if engine.reports_wrong_map { other } else { map };
            if step.is_multiple_of(self.report_interval_steps) {
                self.handle(id, GroupEvent::EngineReported(StepReport { rank, step, map }));
            }
        }
    }
}

impl Engine {
    /// Applies an order and returns the map whose load it starts, if any.
    fn apply(
        &mut self,
        order: EngineOrder,
        events: &mut Vec<GroupEvent>,
    ) -> Option<Arc<ExpertMap>> {
        match order {
            EngineOrder::Inspect => {}
            EngineOrder::Grant { grants } => {
                assert!(grants.len() <= 2, "an engine takes two grants at most");
                let loaded = |grant: &&_| self.is_loaded(grant);
                self.state.grants = grants.iter().filter(loaded).copied().collect();
            }
            EngineOrder::Stage { map } => {
                let reference = map.reference();
                let is_known = self.state.resident.contains(&reference);
                if !is_known && self.state.staging != Some(reference) {
                    self.state.staging = Some(reference);
                    return Some(map);
                }
            }
            EngineOrder::Discard { map } => self.state.resident.retain(|held| *held != map),
            EngineOrder::ReadMap { map } => {
                events.extend(self.maps.get(&map).cloned().map(GroupEvent::EngineMapRead));
            }
        }
        None
    }

    fn is_loaded(&self, grant: &StepGrant) -> bool {
        self.state.resident.contains(&grant.map)
    }
}

impl Fleet {
    /// Prints the audit records of all members.
    pub(crate) fn print_audit_records(&self) {
        for (at_ms, server, record) in &self.records {
            println!("{at_ms} {server} {record:?}");
        }
    }
}
