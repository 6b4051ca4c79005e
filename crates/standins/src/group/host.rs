//! The ranks that one engine hosts: its orders, maps, grants and weights.

use super::clock::GroupClock;
use super::map::{ExpertMap, StagedMap};
use super::order::{Order, OrderCall, OrderError, OrderSeen};
use super::report::{GrantReport, LoadWindow, RanksReport};
use super::table::{Held, Published, Table};
use crate::worker::{Failure, Knobs};
use hickorycross_config::Digest;
use indexmap::IndexSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

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
    /// Version of the weights at the start.
    pub weights_version: String,
    /// Time to load one expert of one layer that none of its ranks held before. The first map is
    /// there at once.
    pub expert_load_us: u64,
    /// Time to load other weights.
    pub weights_load_ms: u64,
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
    pub(super) version: u64,
    pub(super) digest: Digest,
    pub(super) map: Arc<StagedMap>,
}

impl RankHost {
    pub(crate) fn new(options: RankOptions, knobs: watch::Receiver<Knobs>) -> Arc<Self> {
        let table = Table::new(&options.weights_version);
        let host = Arc::new(Self { options, knobs, table: Mutex::new(table) });
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

    /// What the ranks use in a step; none while they must wait.
    pub(super) fn granted(&self, step: u64) -> Option<Granted> {
        if self.knobs.borrow().failure == Failure::Stall {
            return None;
        }
        let table = self.lock();
        let grant = table.grants.iter().find(|grant| grant.through_step >= step)?;
        let held = table.held.get(&grant.version)?;
        let map = held.map.clone();
        Some(Granted { version: grant.version, digest: grant.digest, map })
    }

    /// Notes that a step has been made: grants that it has used up end here.
    pub(super) fn note_step(&self, step: u64) {
        let mut table = self.lock();
        while table.grants.front().is_some_and(|grant| grant.through_step < step) {
            table.grants.pop_front();
        }
        table.used = table.grants.front().copied();
    }

    /// Lets the load of a window be read from a moment on.
    pub(super) fn publish(&self, window: LoadWindow, readable: Instant) {
        let mut table = self.lock();
        table.windows.push_back(Published { readable, window });
        let now = Instant::now();
        while table.windows.get(1).is_some_and(|next| next.readable <= now) {
            table.windows.pop_front();
        }
    }

    /// Carries out an order.
    pub(crate) fn order(&self, call: OrderCall) -> Result<(), OrderError> {
        let result = self.carry_out(&call);
        let OrderCall { fencing, order } = call;
        self.lock().orders.push(OrderSeen { fencing, order, result });
        self.options.group.wake();
        result
    }

    fn carry_out(&self, call: &OrderCall) -> Result<(), OrderError> {
        let mut table = self.lock();
        if self.options.checks_fencing && call.fencing < table.highest {
            return Err(OrderError::OldFencing { highest: table.highest });
        }
        table.highest = table.highest.max(call.fencing);
        match &call.order {
            Order::StageMap { map } => self.stage(&mut table, map),
            Order::Grant { version, digest, through_step } => {
                let grant =
                    GrantReport { version: *version, digest: *digest, through_step: *through_step };
                table.grant(grant)
            }
            Order::LoadWeights { version } => {
                let load = Duration::from_millis(self.options.weights_load_ms);
                table.next_weights = Some((version.clone(), Instant::now() + load));
                Ok(())
            }
        }
    }

    fn stage(&self, table: &mut Table, map: &ExpertMap) -> Result<(), OrderError> {
        if !self.options.group.fits(map) {
            return Err(OrderError::BadMap);
        }
        let staged = StagedMap::new(map).ok_or(OrderError::BadMap)?;
        if let Some(held) = table.held.get(&map.version) {
            if held.map.content == staged.content {
                return Ok(());
            }
            if table.is_needed(map.version) {
                return Err(OrderError::VersionTaken { version: map.version });
            }
        }
        let moved = self.moved_experts(table, map);
        table.experts_moved += moved;
        let ready = Instant::now() + Duration::from_micros(self.options.expert_load_us * moved);
        table.make_room();
        table.held.insert(map.version, Held { map: Arc::new(staged), ready });
        Ok(())
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
        self.lock().held.values().map(|held| held.map.map.clone()).collect()
    }

    /// What the engine says of its ranks now.
    pub(crate) fn report(&self) -> RanksReport {
        let now = Instant::now();
        let mut table = self.lock();
        table.swap_weights(now);
        let load = table.windows.iter().rev().find(|published| published.readable <= now);
        RanksReport {
            first_rank: self.options.first_rank,
            rank_count: self.options.rank_count,
            map_version: table.used.map_or(0, |grant| grant.version),
            digest: table.used.map_or(Digest(0), |grant| grant.digest),
            step: self.options.group.steps_made(),
            granted_through: table.grants.back().map_or(0, |grant| grant.through_step),
            grants: table.grants.iter().copied().collect(),
            staged: table.staged(now),
            weights_version: table.weights_version.clone(),
            load: load.map(|published| published.window.clone()),
        }
    }
}
