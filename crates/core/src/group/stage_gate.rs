//! Defers the loads of a map change to keep within the agent's fair share of the weight store's
//! rate.
//!
//! An engine loads all experts that a map needs on a single order. The gate schedules the experts
//! one by one with a [`WeightLoader`] and forwards the order when the last one is due. After a
//! refusal the order is retried with the back-off of the loader. Agents do not coordinate their
//! loads; each one keeps to its own share.

use super::map::{ExpertMap, MapRef};
use super::timing::STAGE_DEADLINE_MS;
use crate::placement::{
    AbandonCause, WeightLoad, WeightLoadAction, WeightLoadEvent, WeightLoadKey, WeightLoader,
    WeightLoaderSettings,
};
use crate::{Now, UnixMs};
use std::ops::Range;

/// Part of [`STAGE_DEADLINE_MS`] in which the agent's share has to cover the loads of a change.
///
/// The engines' reads may take as long again when all agents load at once; the rest is left for
/// refusals and message delays.
pub const LOAD_TIME_BUDGET_MS: u64 = STAGE_DEADLINE_MS / 3;

/// Decision about an order to load a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageDecision {
    /// Forward the order to the engine now.
    Forward,
    /// Defer the order until [`StageGate::tick`] reports it as due.
    Defer,
    /// Reject the order: the share cannot cover its loads before the change is abandoned.
    Reject,
}

/// Change in the state of a deferred order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageEvent {
    /// The share now covers the map's loads.
    Due(MapRef),
    /// The gate gave up, because the map could not be loaded in time.
    Abandoned(MapRef),
}

/// Rate limiter for the map loads of one engine.
///
/// It handles one order at a time; an order for another map replaces the previous one.
#[derive(Debug)]
pub struct StageGate {
    settings: WeightLoaderSettings,
    loader: WeightLoader,
    stage: Option<GatedStage>,
}

/// Order that the gate is handling.
#[derive(Clone, Debug)]
struct GatedStage {
    map: MapRef,
    loads: Vec<WeightLoad>,
    deadline: UnixMs,
    progress: Progress,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The order waits for its share or for the end of a back-off.
    Waiting,
    /// The order may be forwarded. The key identifies its last load.
    Due(WeightLoadKey),
    /// The order has been forwarded. The key identifies its last load.
    Forwarded(WeightLoadKey),
}

impl StageGate {
    /// Creates a gate without an order. The seed determines the jitter after refusals.
    #[must_use]
    pub fn new(settings: WeightLoaderSettings, seed: u64) -> Self {
        Self { settings, loader: WeightLoader::new(settings, seed), stage: None }
    }

    /// Returns the rate settings of the gate.
    #[must_use]
    pub fn settings(&self) -> WeightLoaderSettings {
        self.settings
    }

    /// Applies new rate settings. A deferred order is scheduled again from its first load.
    pub fn update_settings(&mut self, now: Now, settings: WeightLoaderSettings, seed: u64) {
        self.settings = settings;
        self.loader = WeightLoader::new(settings, seed);
        let waiting = self.stage.take_if(|stage| stage.progress == Progress::Waiting);
        self.stage = None;
        if let Some(stage) = waiting {
            self.begin(now, stage);
        }
    }

    /// Forwards an order that must not wait, because no map is loaded yet or its map is granted.
    ///
    /// A rank without a granted map stops the whole group. Deferring its load would make requests
    /// hang although all engines are alive. Drops the order that the gate was handling.
    pub fn bypass(&mut self) -> StageDecision {
        self.stage = None;
        self.loader.withdraw();
        StageDecision::Forward
    }

    /// Decides on an order to load a map for which the engine has yet to load `loads`.
    pub fn request(&mut self, now: Now, map: MapRef, loads: Vec<WeightLoad>) -> StageDecision {
        match self.progress_of(map) {
            Some(Progress::Waiting) => StageDecision::Defer,
            Some(Progress::Due(last)) => {
                self.set_progress(Progress::Forwarded(last));
                StageDecision::Forward
            }
            // The core repeats an order only if the engine neither holds nor loads the map.
            Some(Progress::Forwarded(last)) => {
                self.back_off(now, last);
                StageDecision::Defer
            }
            None => self.first_request(now, map, loads),
        }
    }

    /// Records that the engine failed to load a map. Returns whether the gate will retry.
    pub fn on_load_failed(&mut self, now: Now, map: MapRef) -> bool {
        let Some(Progress::Forwarded(last)) = self.progress_of(map) else { return false };
        self.back_off(now, last);
        true
    }

    /// Records that the engine has loaded a map.
    pub fn on_loaded(&mut self, map: MapRef) {
        if self.stage.take_if(|stage| stage.map == map).is_some() {
            self.loader.finish_change(map.version);
        }
    }

    /// Advances to the current time. Returns an event once when the deferred order becomes due or
    /// is abandoned.
    pub fn tick(&mut self, now: Now) -> Option<StageEvent> {
        let map = self.stage.as_ref()?.map;
        if self.progress_of(map) != Some(Progress::Waiting) {
            // A forwarded order ends with the engine's answer or when the coordinator ends the
            // change.
            return None;
        }
        self.advance(now);
        match self.progress_of(map) {
            Some(Progress::Waiting) => None,
            Some(Progress::Due(_) | Progress::Forwarded(_)) => Some(StageEvent::Due(map)),
            None => Some(StageEvent::Abandoned(map)),
        }
    }

    fn first_request(&mut self, now: Now, map: MapRef, loads: Vec<WeightLoad>) -> StageDecision {
        if loads.is_empty() {
            return self.bypass();
        }
        if loads.len() as u64 > max_loads_within(&self.settings, STAGE_DEADLINE_MS) {
            self.bypass();
            return StageDecision::Reject;
        }
        let deadline = now.after(STAGE_DEADLINE_MS);
        self.begin(now, GatedStage { map, loads, deadline, progress: Progress::Waiting });
        match self.progress_of(map) {
            Some(Progress::Due(last)) => {
                self.set_progress(Progress::Forwarded(last));
                StageDecision::Forward
            }
            _ => StageDecision::Defer,
        }
    }

    fn begin(&mut self, now: Now, stage: GatedStage) {
        let GatedStage { map, loads, deadline, .. } = &stage;
        let actions = self.loader.begin(now, map.version, loads, *deadline);
        self.stage = Some(stage);
        self.apply(now, actions);
        self.advance(now);
    }

    fn back_off(&mut self, now: Now, last: WeightLoadKey) {
        self.set_progress(Progress::Waiting);
        self.loader.handle(now, WeightLoadEvent::Refused(last));
    }

    /// Runs all load slots of the loader that are due, each at its own scheduled time.
    ///
    /// With one slot per tick, slots shorter than a tick would be lost, and loads of small experts
    /// would take many times as long as the share requires.
    fn advance(&mut self, now: Now) {
        while self.stage.as_ref().is_some_and(|stage| stage.progress == Progress::Waiting) {
            let unix_ms = self.loader.next_at();
            if !unix_ms.is_past(now) {
                return;
            }
            let at = Now { unix_ms };
            let actions = self.loader.tick(at);
            if actions.is_empty() {
                return;
            }
            self.apply(at, actions);
        }
    }

    /// Applies the loader's actions.
    ///
    /// A load that is due counts as loaded at once, except the last one, for which the order itself
    /// is forwarded.
    fn apply(&mut self, now: Now, actions: Vec<WeightLoadAction>) {
        for action in actions {
            match action {
                WeightLoadAction::Start(key) if self.is_last(&key) => {
                    self.set_progress(Progress::Due(key));
                }
                WeightLoadAction::Start(key) => {
                    let next = self.loader.handle(now, WeightLoadEvent::Loaded(key));
                    self.apply(now, next);
                }
                WeightLoadAction::Abandon { cause, .. } if cause != AbandonCause::Withdrawn => {
                    self.stage = None;
                }
                // The engine unloads maps only as a whole, once the coordinator no longer lists
                // them.
                WeightLoadAction::Abandon { .. }
                | WeightLoadAction::Cancel(_)
                | WeightLoadAction::Discard(_)
                | WeightLoadAction::Ready { .. } => {}
            }
        }
    }

    fn is_last(&self, key: &WeightLoadKey) -> bool {
        self.stage.as_ref().and_then(|stage| stage.loads.last()) == Some(&key.load)
    }

    fn progress_of(&self, map: MapRef) -> Option<Progress> {
        self.stage.as_ref().filter(|stage| stage.map == map).map(|stage| stage.progress)
    }

    fn set_progress(&mut self, progress: Progress) {
        self.stage.iter_mut().for_each(|stage| stage.progress = progress);
    }
}

/// Returns the number of experts that an agent's fair share allows to be loaded within a time span.
#[must_use]
pub fn max_loads_within(settings: &WeightLoaderSettings, span_ms: u64) -> u64 {
    span_ms / settings.load_interval_ms().max(1)
}

/// Returns the experts that `ranks` need for the wanted map and have in no loaded map.
///
/// Loaded maps whose content is unknown are not considered, so the agent may defer a load for
/// longer than necessary but never too briefly.
#[must_use]
pub fn missing_experts<'a>(
    ranks: Range<u16>,
    loaded: impl Iterator<Item = &'a ExpertMap> + Clone,
    wanted: &ExpertMap,
) -> Vec<WeightLoad> {
    let mut loads = Vec::new();
    for (layer, placement) in (0..).zip(&wanted.layers) {
        for rank in ranks.clone() {
            let experts = placement.experts_of_rank.get(usize::from(rank)).into_iter().flatten();
            let needed = experts.map(|&expert| WeightLoad { layer, expert, rank });
            loads.extend(needed.filter(|load| !loaded.clone().any(|map| holds(map, load))));
        }
    }
    loads
}

fn holds(map: &ExpertMap, load: &WeightLoad) -> bool {
    let layer = map.layers.get(usize::from(load.layer));
    let experts = layer.and_then(|layer| layer.experts_of_rank.get(usize::from(load.rank)));
    experts.is_some_and(|experts| experts.contains(&load.expert))
}
