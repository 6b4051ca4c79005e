//! Loads the weights that one change of map needs on one agent's ranks, in the background.
//!
//! The agents share the weight store's rate without coordination: each starts loads no faster than
//! its fair share, which is the rate divided by the number of agents in the configuration document.
//! One load runs at a time. A refused load is retried after a back-off. A failed or late load
//! abandons the change, because a group cannot adopt a map for which a rank lacks weights.

use crate::placement::backoff::retry_at;
use crate::placement::expert_map::WeightLoad;
use crate::time::{Now, UnixMs};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

const MS_PER_S: u64 = 1_000;
/// Timeout of a load, as a multiple of the time in which the fair share covers it.
const TIMEOUT_FACTOR: u64 = 4;
/// Minimum timeout of a load.
const MIN_TIMEOUT_MS: u64 = 2_000;

/// The values that determine the rate of an agent's loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightLoaderSettings {
    /// Bytes per second that the weight store grants to all agents together.
    pub store_bytes_per_s: u64,
    /// Number of agents in the configuration document; each may load at any time.
    pub agents: u32,
    /// Bytes of one expert's weights in one layer.
    pub expert_bytes: u64,
}

impl WeightLoaderSettings {
    /// Returns the bytes per second that each agent may load.
    #[must_use]
    pub fn share_bytes_per_s(&self) -> u64 {
        self.store_bytes_per_s / u64::from(self.agents.max(1))
    }

    /// Returns the time in which the agent's fair share of the store's rate covers one load.
    #[must_use]
    pub fn load_interval_ms(&self) -> u64 {
        let share = self.share_bytes_per_s().max(1);
        self.expert_bytes.saturating_mul(MS_PER_S).div_ceil(share)
    }
}

/// Identifies one load of one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightLoadKey {
    /// Version of the map that the change leads to.
    pub map_version: u64,
    /// The expert to load and the rank that loads it.
    pub load: WeightLoad,
}

/// The result of a load, as reported to the loader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightLoadEvent {
    /// The weights are loaded, in addition to those in use.
    Loaded(WeightLoadKey),
    /// The weight store refused the load because its rate is used up; nothing was read.
    Refused(WeightLoadKey),
    /// The engine or the weight store reported an error.
    Failed(WeightLoadKey),
}

/// An action for the agent to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightLoadAction {
    /// Start a load.
    Start(WeightLoadKey),
    /// Stop a load that was started.
    Cancel(WeightLoadKey),
    /// Free loaded weights that are not in use.
    Discard(WeightLoadKey),
    /// All loads are done: the ranks of this agent can adopt the map.
    Ready {
        /// Version of the map.
        map_version: u64,
    },
    /// The ranks of this agent will not adopt the map.
    Abandon {
        /// Version of the map.
        map_version: u64,
        /// Reason for abandoning the change.
        cause: AbandonCause,
    },
}

/// The reason why a change was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AbandonCause {
    /// A load failed.
    Failed,
    /// A started load did not end before its timeout.
    Late,
    /// The loads did not all end before the deadline of the change, for instance because the store
    /// kept refusing them.
    Expired,
    /// A newer change replaced it, or the coordinator withdrew it.
    Withdrawn,
}

/// The state of a loader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightLoaderState {
    /// There is no change to load for.
    Idle,
    /// Some loads are not done yet.
    Loading {
        /// Version of the map.
        map_version: u64,
        /// Number of loads that are not done yet.
        outstanding: usize,
    },
    /// All loads are done.
    Ready {
        /// Version of the map.
        map_version: u64,
    },
}

/// Schedules the weight loads of one agent for one change at a time.
///
/// It performs no I/O: callers carry out the returned actions, report their results to
/// [`WeightLoader::handle`] and call [`WeightLoader::tick`] at [`WeightLoader::next_at`].
#[derive(Clone, Debug)]
pub struct WeightLoader {
    settings: WeightLoaderSettings,
    rng: ChaCha8Rng,
    change: Option<PendingChange>,
    next_start_at: UnixMs,
}

/// The change that weights are loaded for.
#[derive(Clone, Debug)]
struct PendingChange {
    map_version: u64,
    give_up_at: UnixMs,
    pending_loads: Vec<PendingLoad>,
}

/// One load of the pending change.
#[derive(Clone, Copy, Debug)]
struct PendingLoad {
    load: WeightLoad,
    refusals: u32,
    progress: Progress,
}

/// The progress of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting { retry_at: UnixMs },
    Running { late_at: UnixMs },
    Loaded,
}

impl WeightLoader {
    /// Creates an idle loader. The seed determines its back-off jitter.
    #[must_use]
    pub fn new(settings: WeightLoaderSettings, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { settings, rng, change: None, next_start_at: UnixMs::default() }
    }

    /// Starts to load the weights of a change, which is abandoned if they are not loaded by
    /// `give_up_at`.
    ///
    /// The previous change is withdrawn first, if there is one.
    pub fn begin(
        &mut self,
        now: Now,
        map_version: u64,
        loads: &[WeightLoad],
        give_up_at: UnixMs,
    ) -> Vec<WeightLoadAction> {
        let mut actions = self.abandon(AbandonCause::Withdrawn);
        let progress = Progress::Waiting { retry_at: now.unix_ms };
        let pending_load = |load: &WeightLoad| PendingLoad { load: *load, refusals: 0, progress };
        let pending_loads = loads.iter().map(pending_load).collect();
        self.change = Some(PendingChange { map_version, give_up_at, pending_loads });
        if loads.is_empty() {
            actions.push(WeightLoadAction::Ready { map_version });
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Withdraws the pending change at the coordinator's request.
    pub fn withdraw(&mut self) -> Vec<WeightLoadAction> {
        self.abandon(AbandonCause::Withdrawn)
    }

    /// Removes the pending change after its map was adopted, and keeps its weights.
    pub fn finish_change(&mut self, map_version: u64) {
        self.change.take_if(|change| change.map_version == map_version);
    }

    /// Processes the result of a load.
    pub fn handle(&mut self, now: Now, event: WeightLoadEvent) -> Vec<WeightLoadAction> {
        match event {
            WeightLoadEvent::Loaded(key) => self.on_loaded(now, key),
            WeightLoadEvent::Refused(key) => self.on_refused(now, key),
            WeightLoadEvent::Failed(key) => match self.running_load(key) {
                Some(_) => self.abandon(AbandonCause::Failed),
                None => Vec::new(),
            },
        }
    }

    /// Abandons the change if it timed out, and otherwise starts the next load that is due.
    pub fn tick(&mut self, now: Now) -> Vec<WeightLoadAction> {
        match self.timeout_cause(now) {
            Some(cause) => self.abandon(cause),
            None => self.start_next(now).into_iter().collect(),
        }
    }

    /// Returns the next time at which [`WeightLoader::tick`] must be called, or [`UnixMs::NEVER`].
    #[must_use]
    pub fn next_at(&self) -> UnixMs {
        let Some(change) = self.change.as_ref().filter(|change| !change.is_ready()) else {
            return UnixMs::NEVER;
        };
        let is_busy = change.pending_loads.iter().any(PendingLoad::is_running);
        let due = |pending_load: &PendingLoad| match pending_load.progress {
            Progress::Running { late_at } => Some(late_at),
            Progress::Waiting { retry_at } if !is_busy => Some(retry_at.max(self.next_start_at)),
            Progress::Waiting { .. } | Progress::Loaded => None,
        };
        change.pending_loads.iter().filter_map(due).fold(change.give_up_at, UnixMs::min)
    }

    /// Returns the state of the loader.
    #[must_use]
    pub fn state(&self) -> WeightLoaderState {
        let Some(change) = &self.change else { return WeightLoaderState::Idle };
        let map_version = change.map_version;
        match change.outstanding() {
            0 => WeightLoaderState::Ready { map_version },
            outstanding => WeightLoaderState::Loading { map_version, outstanding },
        }
    }

    fn load_interval_ms(&self) -> u64 {
        self.settings.load_interval_ms()
    }

    fn timeout_cause(&self, now: Now) -> Option<AbandonCause> {
        let change = self.change.as_ref().filter(|change| !change.is_ready())?;
        // Without a timeout, a load that hangs would block the group's change and every later one,
        // and the group would never rebalance again. The timeout is stored as a point in time, so
        // it also expires while this process is suspended.
        let is_late = |pending_load: &PendingLoad| match pending_load.progress {
            Progress::Running { late_at } => late_at.is_past(now),
            Progress::Waiting { .. } | Progress::Loaded => false,
        };
        if change.pending_loads.iter().any(is_late) {
            return Some(AbandonCause::Late);
        }
        change.give_up_at.is_past(now).then_some(AbandonCause::Expired)
    }

    fn start_next(&mut self, now: Now) -> Option<WeightLoadAction> {
        let load_interval_ms = self.load_interval_ms();
        let change = self.change.as_mut()?;
        if !self.next_start_at.is_past(now)
            || change.pending_loads.iter().any(PendingLoad::is_running)
        {
            return None;
        }
        let map_version = change.map_version;
        // The load with the most refusals goes first, so that none starves while others succeed.
        let due =
            change.pending_loads.iter_mut().rev().filter(|pending_load| pending_load.is_due(now));
        let pending_load = due.max_by_key(|pending_load| pending_load.refusals)?;
        let timeout_ms = load_interval_ms.saturating_mul(TIMEOUT_FACTOR).max(MIN_TIMEOUT_MS);
        pending_load.progress = Progress::Running { late_at: now.after(timeout_ms) };
        self.next_start_at = now.after(load_interval_ms);
        Some(WeightLoadAction::Start(WeightLoadKey { map_version, load: pending_load.load }))
    }

    fn running_load(&mut self, key: WeightLoadKey) -> Option<&mut PendingLoad> {
        let change = self.change.as_mut()?;
        let is_same_change = change.map_version == key.map_version;
        let mut pending_loads = change.pending_loads.iter_mut();
        pending_loads.find(|pending_load| {
            is_same_change && pending_load.load == key.load && pending_load.is_running()
        })
    }

    fn on_loaded(&mut self, now: Now, key: WeightLoadKey) -> Vec<WeightLoadAction> {
        let Some(pending_load) = self.running_load(key) else {
            return self.discard_unexpected(key);
        };
        pending_load.progress = Progress::Loaded;
        if let WeightLoaderState::Ready { map_version } = self.state() {
            return vec![WeightLoadAction::Ready { map_version }];
        }
        self.tick(now)
    }

    /// Frees weights that arrived for a change that was abandoned before.
    ///
    /// A cancelled load may still complete. Its weights would otherwise occupy a slot forever, and
    /// a later change would lack room on that rank.
    fn discard_unexpected(&self, key: WeightLoadKey) -> Vec<WeightLoadAction> {
        let is_known = self.change.as_ref().is_some_and(|change| {
            let holds = |pending_load: &PendingLoad| {
                pending_load.load == key.load && pending_load.progress == Progress::Loaded
            };
            change.map_version == key.map_version && change.pending_loads.iter().any(holds)
        });
        if is_known { Vec::new() } else { vec![WeightLoadAction::Discard(key)] }
    }

    fn on_refused(&mut self, now: Now, key: WeightLoadKey) -> Vec<WeightLoadAction> {
        let Some(pending_load) = self.running_load(key) else { return Vec::new() };
        let refusals = pending_load.refusals.saturating_add(1);
        let load_interval_ms = self.load_interval_ms();
        let retry_at = retry_at(now, refusals, load_interval_ms, &mut self.rng);
        if let Some(pending_load) = self.running_load(key) {
            pending_load.refusals = refusals;
            pending_load.progress = Progress::Waiting { retry_at };
        }
        // The store refuses per agent, so another load would be refused as well.
        self.next_start_at = self.next_start_at.max(retry_at);
        Vec::new()
    }

    /// Drops the pending change and returns the actions that undo its loads.
    fn abandon(&mut self, cause: AbandonCause) -> Vec<WeightLoadAction> {
        let Some(change) = self.change.take() else { return Vec::new() };
        let map_version = change.map_version;
        let undo = |pending_load: &PendingLoad| {
            let key = WeightLoadKey { map_version, load: pending_load.load };
            match pending_load.progress {
                Progress::Waiting { .. } => None,
                Progress::Running { .. } => Some(WeightLoadAction::Cancel(key)),
                Progress::Loaded => Some(WeightLoadAction::Discard(key)),
            }
        };
        let mut actions: Vec<WeightLoadAction> =
            change.pending_loads.iter().filter_map(undo).collect();
        actions.push(WeightLoadAction::Abandon { map_version, cause });
        actions
    }
}

impl PendingChange {
    fn outstanding(&self) -> usize {
        self.pending_loads
            .iter()
            .filter(|pending_load| pending_load.progress != Progress::Loaded)
            .count()
    }

    fn is_ready(&self) -> bool {
        self.outstanding() == 0
    }
}

impl PendingLoad {
    fn is_running(&self) -> bool {
        matches!(self.progress, Progress::Running { .. })
    }

    fn is_due(&self, now: Now) -> bool {
        match self.progress {
            Progress::Waiting { retry_at } => retry_at.is_past(now),
            Progress::Running { .. } | Progress::Loaded => false,
        }
    }
}
