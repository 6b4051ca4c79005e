//! Holds back the loads of a change until the agent's fair share of the weight store covers them.
//!
//! An engine loads all that a map needs on one order. The gate has a [`WeightLoader`] pace the experts one
//! by one and lets the order through when the turn of the last one has come; a refused order waits
//! as a refused load does. No agent tells another what it loads: each keeps to its own share.

use super::map::{ExpertMap, MapRef};
use super::timing::STAGE_DEADLINE_MS;
use crate::placement::{
    AbandonCause, WeightLoad, WeightLoadAction, WeightLoadEvent, WeightLoadKey, WeightLoader,
    WeightLoaderSettings,
};
use crate::{Now, UnixMs};
use std::ops::Range;

/// Part of [`STAGE_DEADLINE_MS`] in which the share has to pay for the loads of a change.
///
/// The engine's reading may take as long again when all agents load at once; the rest is left for
/// refusals and for messages on their way.
pub const LOAD_TIME_BUDGET_MS: u64 = STAGE_DEADLINE_MS / 3;

/// What the core is to do with an order to load a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageDecision {
    /// Give it to the engine now.
    Forward,
    /// Keep it back; [`StageGate::tick`] tells when it is due.
    Defer,
    /// Its loads cannot be paid for before the change is abandoned.
    Reject,
}

/// What became of an order that was kept back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageEvent {
    /// The share covers the map's loads now.
    Due(MapRef),
    /// The map was not loaded in time.
    Abandoned(MapRef),
}

/// The gate before one engine.
#[derive(Debug)]
pub struct StageGate {
    settings: WeightLoaderSettings,
    loader: WeightLoader,
    stage: Option<GatedStage>,
}

/// The order that the gate deals with.
#[derive(Clone, Debug)]
struct GatedStage {
    map: MapRef,
    loads: Vec<WeightLoad>,
    give_up_at: UnixMs,
    progress: Progress,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It waits for its share or for the end of a back-off.
    Held,
    /// It may go to the engine; the key is that of its last load.
    Due(WeightLoadKey),
    /// The engine has it.
    Given(WeightLoadKey),
}

impl StageGate {
    /// A gate that holds nothing. The seed fixes the jitter after refusals.
    #[must_use]
    pub fn new(settings: WeightLoaderSettings, seed: u64) -> Self {
        Self { settings, loader: WeightLoader::new(settings, seed), stage: None }
    }

    /// The pace that the gate keeps.
    #[must_use]
    pub fn settings(&self) -> WeightLoaderSettings {
        self.settings
    }

    /// Follows a document with another pace; an order that is held starts its turns anew.
    pub fn update_settings(&mut self, now: Now, settings: WeightLoaderSettings, seed: u64) {
        self.settings = settings;
        self.loader = WeightLoader::new(settings, seed);
        let held = self.stage.take_if(|stage| stage.progress == Progress::Held);
        self.stage = None;
        if let Some(stage) = held {
            self.begin(now, stage);
        }
    }

    /// Lets an order pass that must not wait: nothing is loaded yet, or a grant names its map.
    ///
    /// A rank without the map of a grant stops the whole group. Held back, such a load would be
    /// noticed as requests that hang although every engine lives.
    pub fn bypass(&mut self) -> StageDecision {
        self.stage = None;
        self.loader.withdraw();
        StageDecision::Forward
    }

    /// Judges the order to load a map for which the engine lacks `loads`.
    pub fn request(&mut self, now: Now, map: MapRef, loads: Vec<WeightLoad>) -> StageDecision {
        match self.progress_of(map) {
            Some(Progress::Held) => StageDecision::Defer,
            Some(Progress::Due(last)) => {
                self.set_progress(Progress::Given(last));
                StageDecision::Forward
            }
            // The order is repeated only while the engine neither holds nor loads the map.
            Some(Progress::Given(last)) => {
                self.refused(now, last);
                StageDecision::Defer
            }
            None => self.first_asked(now, map, loads),
        }
    }

    /// Learns that the engine could not load a map. Whether the gate tries again.
    pub fn on_load_failed(&mut self, now: Now, map: MapRef) -> bool {
        let Some(Progress::Given(last)) = self.progress_of(map) else { return false };
        self.refused(now, last);
        true
    }

    /// Learns that the engine has loaded a map.
    pub fn on_loaded(&mut self, map: MapRef) {
        if self.stage.take_if(|stage| stage.map == map).is_some() {
            self.loader.finish_change(map.version);
        }
    }

    /// Lets turns pass. Tells once when the order held is due, or given up.
    pub fn tick(&mut self, now: Now) -> Option<StageEvent> {
        let map = self.stage.as_ref()?.map;
        if self.progress_of(map) != Some(Progress::Held) {
            // What the engine has begun ends by its own answer, or with the coordinator's change.
            return None;
        }
        self.take_turns(now);
        match self.progress_of(map) {
            Some(Progress::Held) => None,
            Some(Progress::Due(_) | Progress::Given(_)) => Some(StageEvent::Due(map)),
            None => Some(StageEvent::Abandoned(map)),
        }
    }

    fn first_asked(&mut self, now: Now, map: MapRef, loads: Vec<WeightLoad>) -> StageDecision {
        if loads.is_empty() {
            return self.bypass();
        }
        if loads.len() as u64 > max_loads_within(&self.settings, STAGE_DEADLINE_MS) {
            self.bypass();
            return StageDecision::Reject;
        }
        let give_up_at = now.after(STAGE_DEADLINE_MS);
        self.begin(now, GatedStage { map, loads, give_up_at, progress: Progress::Held });
        match self.progress_of(map) {
            Some(Progress::Due(last)) => {
                self.set_progress(Progress::Given(last));
                StageDecision::Forward
            }
            _ => StageDecision::Defer,
        }
    }

    fn begin(&mut self, now: Now, stage: GatedStage) {
        let GatedStage { map, loads, give_up_at, .. } = &stage;
        let actions = self.loader.begin(now, map.version, loads, *give_up_at);
        self.stage = Some(stage);
        self.follow(now, actions);
        self.take_turns(now);
    }

    fn refused(&mut self, now: Now, last: WeightLoadKey) {
        self.set_progress(Progress::Held);
        self.loader.handle(now, WeightLoadEvent::Refused(last));
    }

    /// Takes each turn at its own moment.
    ///
    /// With one turn for each tick, turns shorter than a tick would be lost, and loads of small
    /// experts would take many times what the share allows.
    fn take_turns(&mut self, now: Now) {
        while self.stage.as_ref().is_some_and(|stage| stage.progress == Progress::Held) {
            let unix_ms = self.loader.next_at();
            if !unix_ms.is_past(now) {
                return;
            }
            let at = Now { unix_ms };
            let actions = self.loader.tick(at);
            if actions.is_empty() {
                return;
            }
            self.follow(at, actions);
        }
    }

    /// Takes a load whose turn has come for paid, but for the last one: that is the order itself.
    fn follow(&mut self, now: Now, actions: Vec<WeightLoadAction>) {
        for action in actions {
            match action {
                WeightLoadAction::Start(key) if self.is_last(&key) => {
                    self.set_progress(Progress::Due(key));
                }
                WeightLoadAction::Start(key) => {
                    let next = self.loader.handle(now, WeightLoadEvent::Loaded(key));
                    self.follow(now, next);
                }
                WeightLoadAction::Abandon { cause, .. } if cause != AbandonCause::Withdrawn => {
                    self.stage = None;
                }
                // The engine frees a map as a whole, when the coordinator no longer names it.
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

/// Experts that an agent's fair share pays for within a span.
#[must_use]
pub fn max_loads_within(settings: &WeightLoaderSettings, span_ms: u64) -> u64 {
    span_ms / settings.load_interval_ms().max(1)
}

/// Lists the experts of a map that `ranks` hold in no map that is loaded.
///
/// Loaded maps whose content the agent does not know are left out, so that it rather waits too long.
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
