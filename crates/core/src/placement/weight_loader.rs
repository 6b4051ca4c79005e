//! Background loads of one agent's ranks for one change.
//!
//! The weight store's rate is shared without a counter: each agent starts loads no faster than its
//! fair share, the rate over the number of agents that the document names. One load runs at a time.
//! A refused load waits and is tried again; a failed or late one abandons the change, because the
//! group cannot adopt a map that one rank cannot follow.

use crate::placement::backoff::retry_at;
use crate::placement::expert_map::WeightLoad;
use crate::time::{Now, UnixMs};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;
/// A load is late after this many times the span that the fair share allows it.
const LATE_FACTOR: u64 = 4;
/// A load is never late before this.
const LEAST_LATE_MS: u64 = 2_000;

/// What the pace of an agent's loads follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightLoaderSettings {
    /// Bytes a second that the weight store grants the whole fleet.
    pub store_bytes_per_s: u64,
    /// Agents that the document names; each may load at any time.
    pub agents: u32,
    /// Bytes of one expert's weights in one layer.
    pub expert_bytes: u64,
}

impl WeightLoaderSettings {
    /// Bytes a second that each agent may load.
    #[must_use]
    pub fn share_bytes_per_s(&self) -> u64 {
        self.store_bytes_per_s / u64::from(self.agents.max(1))
    }

    /// The span in which the agent's fair share of the store's rate pays for one load.
    #[must_use]
    pub fn load_interval_ms(&self) -> u64 {
        let share = self.share_bytes_per_s().max(1);
        self.expert_bytes.saturating_mul(MS_PER_S).div_ceil(share)
    }
}

/// Names one load of one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightLoadKey {
    /// Version of the map that the change would bring.
    pub map_version: u64,
    /// What is loaded where.
    pub load: WeightLoad,
}

/// What became of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightLoadEvent {
    /// The weights are in place beside those in use.
    Loaded(WeightLoadKey),
    /// The weight store had no room in its rate; nothing was read.
    Refused(WeightLoadKey),
    /// The engine or the weight store reported an error.
    Failed(WeightLoadKey),
}

/// What the agent is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightLoadAction {
    /// Start a load.
    Start(WeightLoadKey),
    /// Stop a load that was started.
    Cancel(WeightLoadKey),
    /// Free weights that were loaded and are not in use.
    Discard(WeightLoadKey),
    /// All loads are in place: the ranks of this agent can follow the map.
    Ready {
        /// Version of the map.
        map_version: u64,
    },
    /// The ranks of this agent will not follow the map.
    Abandon {
        /// Version of the map.
        map_version: u64,
        /// Why.
        cause: AbandonCause,
    },
}

/// Why a change was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AbandonCause {
    /// A load failed.
    Failed,
    /// A started load did not end in time.
    Late,
    /// The change as a whole did not end in time, for instance because the store kept refusing.
    Expired,
    /// A newer change took its place, or the coordinator gave it up.
    Withdrawn,
}

/// Where a loader stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightLoaderState {
    /// No change is on the way.
    Idle,
    /// Loads are outstanding.
    Loading {
        /// Version of the map.
        map_version: u64,
        /// Loads not yet in place.
        outstanding: usize,
    },
    /// All loads are in place.
    Ready {
        /// Version of the map.
        map_version: u64,
    },
}

/// Loads of one agent.
#[derive(Clone, Debug)]
pub struct WeightLoader {
    settings: WeightLoaderSettings,
    rng: ChaCha8Rng,
    change: Option<StagedChange>,
    open_at: UnixMs,
}

/// The change on the way with its table of loads.
#[derive(Clone, Debug)]
struct StagedChange {
    map_version: u64,
    give_up_at: UnixMs,
    rows: Vec<LoadRow>,
}

/// One load.
#[derive(Clone, Copy, Debug)]
struct LoadRow {
    load: WeightLoad,
    refusals: u32,
    progress: Progress,
}

/// How far a load has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting { retry_at: UnixMs },
    Running { late_at: UnixMs },
    Loaded,
}

impl WeightLoader {
    /// An idle loader. The seed fixes its jitter.
    #[must_use]
    pub fn new(settings: WeightLoaderSettings, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { settings, rng, change: None, open_at: UnixMs::default() }
    }

    /// Begins the loads of a change; an unfinished one is withdrawn first.
    pub fn begin(
        &mut self,
        now: Now,
        map_version: u64,
        loads: &[WeightLoad],
        give_up_at: UnixMs,
    ) -> Vec<WeightLoadAction> {
        let mut actions = self.abandon(AbandonCause::Withdrawn);
        let progress = Progress::Waiting { retry_at: now.unix_ms };
        let row = |load: &WeightLoad| LoadRow { load: *load, refusals: 0, progress };
        let rows = loads.iter().map(row).collect();
        self.change = Some(StagedChange { map_version, give_up_at, rows });
        if loads.is_empty() {
            actions.push(WeightLoadAction::Ready { map_version });
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Withdraws the change on the way, as its coordinator asks.
    pub fn withdraw(&mut self) -> Vec<WeightLoadAction> {
        self.abandon(AbandonCause::Withdrawn)
    }

    /// Forgets the change whose map is now in use; its weights stay.
    pub fn finish_change(&mut self, map_version: u64) {
        self.change.take_if(|change| change.map_version == map_version);
    }

    /// Takes an answer of the engine.
    pub fn handle(&mut self, now: Now, event: WeightLoadEvent) -> Vec<WeightLoadAction> {
        match event {
            WeightLoadEvent::Loaded(key) => self.loaded(now, key),
            WeightLoadEvent::Refused(key) => self.refused(now, key),
            WeightLoadEvent::Failed(key) => match self.running_row(key) {
                Some(_) => self.abandon(AbandonCause::Failed),
                None => Vec::new(),
            },
        }
    }

    /// Starts what is due and abandons what is late.
    pub fn tick(&mut self, now: Now) -> Vec<WeightLoadAction> {
        match self.overdue(now) {
            Some(cause) => self.abandon(cause),
            None => self.start_next(now).into_iter().collect(),
        }
    }

    /// The next moment at which [`WeightLoader::tick`] has something to do.
    #[must_use]
    pub fn next_at(&self) -> UnixMs {
        let Some(change) = self.change.as_ref().filter(|change| !change.is_ready()) else {
            return UnixMs::NEVER;
        };
        let is_busy = change.rows.iter().any(LoadRow::is_running);
        let due = |row: &LoadRow| match row.progress {
            Progress::Running { late_at } => Some(late_at),
            Progress::Waiting { retry_at } if !is_busy => Some(retry_at.max(self.open_at)),
            Progress::Waiting { .. } | Progress::Loaded => None,
        };
        change.rows.iter().filter_map(due).fold(change.give_up_at, UnixMs::min)
    }

    /// Where the loader stands.
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

    fn overdue(&self, now: Now) -> Option<AbandonCause> {
        let change = self.change.as_ref().filter(|change| !change.is_ready())?;
        // A load that hangs would hold the group's change open for ever, and with it every later
        // change; one would notice a group that never rebalances again. The stored deadline ends it
        // even if this process slept meanwhile.
        let is_late = |row: &LoadRow| match row.progress {
            Progress::Running { late_at } => late_at.is_past(now),
            Progress::Waiting { .. } | Progress::Loaded => false,
        };
        if change.rows.iter().any(is_late) {
            return Some(AbandonCause::Late);
        }
        change.give_up_at.is_past(now).then_some(AbandonCause::Expired)
    }

    fn start_next(&mut self, now: Now) -> Option<WeightLoadAction> {
        let load_interval_ms = self.load_interval_ms();
        let change = self.change.as_mut()?;
        if !self.open_at.is_past(now) || change.rows.iter().any(LoadRow::is_running) {
            return None;
        }
        let map_version = change.map_version;
        // The most refused load goes first, so that none is passed over while others succeed.
        let due = change.rows.iter_mut().rev().filter(|row| row.is_due(now));
        let row = due.max_by_key(|row| row.refusals)?;
        let late_ms = load_interval_ms.saturating_mul(LATE_FACTOR).max(LEAST_LATE_MS);
        row.progress = Progress::Running { late_at: now.after(late_ms) };
        self.open_at = now.after(load_interval_ms);
        Some(WeightLoadAction::Start(WeightLoadKey { map_version, load: row.load }))
    }

    fn running_row(&mut self, key: WeightLoadKey) -> Option<&mut LoadRow> {
        let change = self.change.as_mut()?;
        let is_meant = change.map_version == key.map_version;
        let mut rows = change.rows.iter_mut();
        rows.find(|row| is_meant && row.load == key.load && row.is_running())
    }

    fn loaded(&mut self, now: Now, key: WeightLoadKey) -> Vec<WeightLoadAction> {
        let Some(row) = self.running_row(key) else { return self.discard_stray(key) };
        row.progress = Progress::Loaded;
        if let WeightLoaderState::Ready { map_version } = self.state() {
            return vec![WeightLoadAction::Ready { map_version }];
        }
        self.tick(now)
    }

    /// Frees weights that arrived for a change given up before.
    ///
    /// A cancelled load may still end. Its weights would keep a slot for ever, and a later change
    /// would find no room on that rank.
    fn discard_stray(&self, key: WeightLoadKey) -> Vec<WeightLoadAction> {
        let is_known = self.change.as_ref().is_some_and(|change| {
            let holds = |row: &LoadRow| row.load == key.load && row.progress == Progress::Loaded;
            change.map_version == key.map_version && change.rows.iter().any(holds)
        });
        if is_known { Vec::new() } else { vec![WeightLoadAction::Discard(key)] }
    }

    fn refused(&mut self, now: Now, key: WeightLoadKey) -> Vec<WeightLoadAction> {
        let Some(row) = self.running_row(key) else { return Vec::new() };
        let refusals = row.refusals.saturating_add(1);
        let load_interval_ms = self.load_interval_ms();
        let retry_at = retry_at(now, refusals, load_interval_ms, &mut self.rng);
        if let Some(row) = self.running_row(key) {
            row.refusals = refusals;
            row.progress = Progress::Waiting { retry_at };
        }
        // The store speaks for the whole agent: another load would be refused as well.
        self.open_at = self.open_at.max(retry_at);
        Vec::new()
    }

    fn abandon(&mut self, cause: AbandonCause) -> Vec<WeightLoadAction> {
        let Some(change) = self.change.take() else { return Vec::new() };
        let map_version = change.map_version;
        let undo = |row: &LoadRow| {
            let key = WeightLoadKey { map_version, load: row.load };
            match row.progress {
                Progress::Waiting { .. } => None,
                Progress::Running { .. } => Some(WeightLoadAction::Cancel(key)),
                Progress::Loaded => Some(WeightLoadAction::Discard(key)),
            }
        };
        let mut actions: Vec<WeightLoadAction> = change.rows.iter().filter_map(undo).collect();
        actions.push(WeightLoadAction::Abandon { map_version, cause });
        actions
    }
}

impl StagedChange {
    fn outstanding(&self) -> usize {
        self.rows.iter().filter(|row| row.progress != Progress::Loaded).count()
    }

    fn is_ready(&self) -> bool {
        self.outstanding() == 0
    }
}

impl LoadRow {
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
