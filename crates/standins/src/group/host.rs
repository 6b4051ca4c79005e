//! The ranks that one engine hosts: its orders, maps and grants.

use super::clock::GroupClock;
use super::map::StagedMap;
use super::order::{OldFencing, OrderCall, OrderSeen};
use super::report::RanksReport;
use super::table::{Held, Published, Table};
use crate::worker::{Failure, Knobs};
use hickorycross_core::group::{EngineOrder, EngineState, Epoch, ExpertMap, StepReport};
use hickorycross_core::placement::RankLoad;
use indexmap::IndexSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Windows whose load can still be read.
const MAX_KEPT_WINDOWS: usize = 256;

/// Which ranks an engine hosts, and how.
#[derive(Clone, Debug)]
pub struct RankOptions {
    /// The group.
    pub group: GroupClock,
    /// First rank that the engine hosts.
    pub first_rank: u16,
    /// Ranks that it hosts.
    pub rank_count: u16,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Time to load one expert of one layer that none of its ranks held before. The first map is
    /// there at once.
    pub expert_load_us: u64,
}

/// State of an engine's ranks.
#[derive(Debug)]
pub(crate) struct RankHost {
    options: RankOptions,
    knobs: watch::Receiver<Knobs>,
    table: Mutex<Table>,
}

/// What the ranks of an engine use in one step.
#[derive(Clone, Debug)]
pub(super) struct Granted {
    pub(super) epoch: Epoch,
    pub(super) map: Arc<StagedMap>,
}

impl RankHost {
    pub(crate) fn new(options: RankOptions, knobs: watch::Receiver<Knobs>) -> Arc<Self> {
        let host = Arc::new(Self { options, knobs, table: Mutex::default() });
        host.options.group.seat(&host);
        host
    }

    /// Hosts its ranks no longer.
    pub(crate) fn leave(&self) {
        self.options.group.leave(self);
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) const fn group(&self) -> &GroupClock {
        &self.options.group
    }

    pub(super) const fn first_rank(&self) -> u16 {
        self.options.first_rank
    }

    /// The ranks that the engine hosts.
    pub(super) fn ranks(&self) -> std::ops::Range<u16> {
        self.options.first_rank..self.options.first_rank.saturating_add(self.options.rank_count)
    }

    /// Multiplier of the ranks' step time, in thousandths.
    pub(super) fn latency_permille(&self) -> u32 {
        self.knobs.borrow().latency_permille
    }

    /// The first step, from one on, that the ranks are granted; none while they must wait.
    pub(super) fn first_granted(&self, from: u64) -> Option<u64> {
        if self.knobs.borrow().failure == Failure::Stall {
            return None;
        }
        let table = self.lock();
        let ahead = table.grants.iter().filter(|grant| grant.through_step >= from);
        ahead.map(|grant| grant.from_step.max(from)).min()
    }

    /// What the ranks use in a step; none while they must wait.
    pub(super) fn granted(&self, step: u64) -> Option<Granted> {
        let table = self.lock();
        let grant = table.grants.iter().find(|grant| grant.covers(step))?;
        let held = table.held.get(&grant.map)?;
        Some(Granted { epoch: grant.epoch, map: held.map.clone() })
    }

    /// Notes that a step has been made.
    pub(super) fn note_step(&self, step: u64) {
        let mut table = self.lock();
        let used = table.grants.iter().find(|grant| grant.covers(step)).map(|grant| grant.map);
        table.completed_step = step;
        table.used = used.or(table.used);
    }

    /// Lets the load of a window be read from a moment on.
    pub(super) fn publish(&self, load: RankLoad, readable: Instant) {
        let mut table = self.lock();
        table.windows.push_back(Published { readable, load });
        while table.windows.len() > MAX_KEPT_WINDOWS {
            table.windows.pop_front();
        }
    }

    /// Carries out an order, and says what is held after it.
    pub(crate) fn order(&self, call: OrderCall) -> Result<EngineState, OldFencing> {
        let result = self.carry_out(&call);
        let OrderCall { fencing, order } = call;
        let seen = result.as_ref().map(|_| ()).map_err(|old| *old);
        self.lock().orders.push(OrderSeen { fencing, order, result: seen });
        self.options.group.wake();
        result
    }

    fn carry_out(&self, call: &OrderCall) -> Result<EngineState, OldFencing> {
        let mut table = self.lock();
        if self.options.checks_fencing && call.fencing < table.highest {
            return Err(OldFencing { highest: table.highest });
        }
        table.highest = table.highest.max(call.fencing);
        match &call.order {
            EngineOrder::Inspect | EngineOrder::ReadMap { .. } => {}
            EngineOrder::Stage { map } => self.stage(&mut table, map),
            EngineOrder::Discard { map } => table.discard(*map),
            EngineOrder::Grant { grants } => table.grant(grants),
        }
        Ok(table.state(Instant::now()))
    }

    fn stage(&self, table: &mut Table, map: &Arc<ExpertMap>) {
        let reference = map.reference();
        if table.held.contains_key(&reference) {
            return;
        }
        if !self.options.group.fits(map) {
            table.stage_failed = Some(reference);
            return;
        }
        let now = Instant::now();
        table.stop_loading(now);
        let moved = self.moved_experts(table, map);
        table.experts_moved += moved;
        let ready = now + Duration::from_micros(self.options.expert_load_us * moved);
        table.held.insert(reference, Held { map: Arc::new(StagedMap::new(map.clone())), ready });
    }

    /// Experts, counted by layer, that no rank of the engine holds in a map that is held now.
    fn moved_experts(&self, table: &Table, map: &ExpertMap) -> u64 {
        if table.held.is_empty() {
            return 0;
        }
        let mut present = IndexSet::new();
        for held in table.held.values() {
            present.extend(self.experts(&held.map.map));
        }
        self.experts(map).filter(|expert| !present.contains(expert)).count() as u64
    }

    /// Layer, rank and number of every expert that a map gives to the engine's ranks.
    fn experts<'a>(&self, map: &'a ExpertMap) -> impl Iterator<Item = (usize, u16, u16)> + 'a {
        let ranks = self.ranks();
        map.layers.iter().enumerate().flat_map(move |(layer, placement)| {
            ranks.clone().flat_map(move |rank| {
                let held = placement.experts_of_rank.get(usize::from(rank));
                held.into_iter().flatten().map(move |expert| (layer, rank, *expert))
            })
        })
    }

    /// Every order so far.
    pub(crate) fn orders(&self) -> Vec<OrderSeen> {
        self.lock().orders.clone()
    }

    /// Experts loaded so far, counted by layer and rank.
    pub(crate) fn experts_moved(&self) -> u64 {
        self.lock().experts_moved
    }

    /// The maps that are held, staged ones included.
    pub(crate) fn maps(&self) -> Vec<ExpertMap> {
        self.lock().held.values().map(|held| held.map.map.as_ref().clone()).collect()
    }

    /// What the engine says of its ranks now.
    pub(crate) fn report(&self) -> RanksReport {
        let table = self.lock();
        let steps = table.used.map(|map| {
            let step = table.completed_step;
            self.ranks().map(|rank| StepReport { rank, step, map }).collect()
        });
        RanksReport {
            first_rank: self.options.first_rank,
            rank_count: self.options.rank_count,
            steps: steps.unwrap_or_default(),
            resident: table.resident(Instant::now()),
            stage_failed: table.stage_failed,
        }
    }

    /// The readable windows that end after a step, oldest first.
    pub(crate) fn loads(&self, after_step: u64) -> Vec<RankLoad> {
        let now = Instant::now();
        let table = self.lock();
        let readable = table.windows.iter().filter(|published| published.readable <= now);
        let loads = readable.map(|published| &published.load);
        loads.filter(|load| load.last_step > after_step).cloned().collect()
    }
}
