//! Spells of failures, singly and together, each followed by a calm in which all must be well.

use crate::world::adapter::Input;
use crate::world::callers::Operation;
use crate::world::network::Weather;
use crate::world::{BACKENDS, ENTRIES, START_MS, What, World};
use hickorycross_core::InstanceState;
use rand::RngExt;
use rand::seq::IndexedRandom as _;

const WARM_UP_MS: u64 = 12_000;
const SPELLS: u32 = 4;
/// All is well again within this time after the last failure.
const RECOVERY_BOUND_MS: u64 = 15_000;
/// A document is in force at every process that is linked within this time.
const ADOPTION_BOUND_MS: u64 = 8_000;
/// And at every process that nobody uses: it reads the platform by itself.
const POLL_BOUND_MS: u64 = 33_000;
/// A new process has read the platform by then.
const FIRST_READ_MS: u64 = 1_000;
const CALM_MS: u64 = 40_000;
/// After the last calm, everything that is open ends.
const LAST_ANSWERS_MS: u64 = 30_000;
/// An entry serves on for so long after its readiness check began to fail.
const BALANCER_NOTICE_MS: u64 = 3_000;
const USUAL_LIST_LAG_MS: u64 = 500;
/// Shorter deadlines may pass by the chance of a slow run or a full queue.
const COMFORTABLE_MS: u64 = 6_000;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    KillEntry,
    KillAgent,
    KillBackend,
    FreezeEntry,
    FreezeAgent,
    FreezeBackend,
    SlowBackend,
    SilentLinks,
    FoulWeather,
    Partition,
    PlatformDown,
    PlatformGoesBack,
    PlatformConflict,
    Publish,
    PublishTwice,
    PublishInvalid,
    ListLag,
    DrainAgent,
    DrainEntry,
    Replace,
}

const KINDS: [Kind; 20] = [
    Kind::KillEntry,
    Kind::KillAgent,
    Kind::KillBackend,
    Kind::FreezeEntry,
    Kind::FreezeAgent,
    Kind::FreezeBackend,
    Kind::SlowBackend,
    Kind::SilentLinks,
    Kind::FoulWeather,
    Kind::Partition,
    Kind::PlatformDown,
    Kind::PlatformGoesBack,
    Kind::PlatformConflict,
    Kind::Publish,
    Kind::PublishTwice,
    Kind::PublishInvalid,
    Kind::ListLag,
    Kind::DrainAgent,
    Kind::DrainEntry,
    Kind::Replace,
];

/// Stops and changes that are planned: nothing may suffer from them.
const PLANNED: [Kind; 3] = [Kind::DrainAgent, Kind::DrainEntry, Kind::Publish];

/// Both sides of a cut serve while documents change.
const DIVIDED: [Kind; 2] = [Kind::Partition, Kind::Publish];

/// Processes that start take another content of the revision in force, while documents change.
const CONTESTED: [Kind; 4] =
    [Kind::PlatformConflict, Kind::KillAgent, Kind::KillEntry, Kind::Publish];

/// Both sides of a cut serve while documents change and agents restart and freeze.
const HELD: [Kind; 4] = [Kind::Partition, Kind::Publish, Kind::KillAgent, Kind::FreezeAgent];

/// Longer than the time in which a document should be in force everywhere, by far.
const LONG_CUT_MS: u64 = 44_000;

/// Longer than a route remembers a key after a document moved its home: the time in which that is in force everywhere,
/// the longest deadline and the horizon of keys, twice over.
const OUTLASTING_CUT_MS: u64 = 120_000;

/// Which failures a run is made of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Only {
    /// All of them, by chance.
    #[default]
    Any,
    /// One long cut a spell, during which documents change.
    Divided,
    /// The same, and the cut outlasts the memory of the routes.
    Outlasting,
    /// One cut a spell that stays as it is and outlasts the memory of the routes, while documents
    /// change and agents restart and freeze.
    Held,
    /// Revisions with two contents, and restarts.
    Contested,
    /// None but those that a script orders.
    Nothing,
}

/// Where the run stands.
#[derive(Default)]
pub(crate) struct Storm {
    stormy: bool,
    /// The same failures in every spell.
    pub(crate) only: Only,
    spell: u32,
    ends_ms: u64,
    /// When all was in order again; none during a spell.
    healed_ms: Option<u64>,
    pub(crate) over: bool,
}

/// A turn of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Begin,
    Blow(Kind),
    Heal,
    Converged { linked_only: bool },
    StopCallers,
    Over,
    Drain { place: usize, life: u64 },
}

impl World {
    pub(crate) fn plan(&mut self) {
        self.agenda.set(START_MS + WARM_UP_MS, What::Storm(Step::Begin));
    }

    pub(crate) fn is_stormy(&self) -> bool {
        self.storm.stormy
    }

    /// Whether a request that comes now must be answered whole.
    pub(crate) fn must_succeed(&self, operation: &Operation) -> bool {
        let settled =
            self.storm.healed_ms.is_some_and(|healed| self.now_ms > healed + RECOVERY_BOUND_MS);
        let plain = operation.patient && operation.key.is_none();
        // A deadline means nothing to processes whose clocks differ by more than the bound.
        let clocks = !self.observer.excuses_clocks;
        // Callers that fill every queue are refused for it.
        settled && plain && clocks && !self.busy && operation.allowed_ms() >= COMFORTABLE_MS
    }

    pub(crate) fn storm_step(&mut self, step: Step) {
        self.trace(|| format!("==== {step:?}"));
        match step {
            Step::Begin => self.begin_spell(),
            Step::Blow(kind) => self.blow_again(kind),
            Step::Heal => self.heal(),
            Step::Converged { linked_only } => self.check_converged(linked_only),
            Step::StopCallers => {
                self.callers_stopped = true;
                self.agenda.set(self.now_ms + LAST_ANSWERS_MS, What::Storm(Step::Over));
            }
            Step::Over => self.finish(),
            Step::Drain { place, life } => {
                if self.places[place].life == life {
                    self.input(place, Input::Drain);
                }
            }
        }
    }

    fn begin_spell(&mut self) {
        if self.storm.only == Only::Nothing {
            return;
        }
        self.storm.spell += 1;
        let roll = match self.storm.only {
            Only::Any => self.random.random_range(0..8),
            Only::Divided | Only::Outlasting | Only::Contested | Only::Held | Only::Nothing => 2,
        };
        let planned = roll < 2;
        let kinds: Vec<Kind> = match (self.storm.only, roll) {
            (Only::Contested, _) => CONTESTED.to_vec(),
            (Only::Held, _) => HELD.to_vec(),
            (_, 0..2) => PLANNED.to_vec(),
            (_, 2) => DIVIDED.to_vec(),
            _ => {
                let count = [1, 1, 2, 2, 3, 5].choose(&mut self.random).copied().unwrap_or(1);
                KINDS.sample(&mut self.random, count).copied().collect()
            }
        };
        self.storm.healed_ms = None;
        self.storm.stormy = !planned;
        if !planned {
            self.observer.storm();
        }
        let longest_ms = [16_000, 16_000, 45_000].choose(&mut self.random).copied();
        let span_ms = match self.storm.only {
            Only::Divided => LONG_CUT_MS,
            Only::Outlasting | Only::Held => OUTLASTING_CUT_MS,
            Only::Any | Only::Contested | Only::Nothing => {
                self.random.random_range(5_000..longest_ms.unwrap_or(16_000))
            }
        };
        self.storm.ends_ms = self.now_ms + span_ms;
        for kind in kinds {
            let wait_ms = self.random.random_range(0..2_000);
            self.agenda.set(self.now_ms + wait_ms, What::Storm(Step::Blow(kind)));
        }
        self.agenda.set(self.storm.ends_ms, What::Storm(Step::Heal));
    }

    fn blow_again(&mut self, kind: Kind) {
        if self.now_ms >= self.storm.ends_ms {
            return;
        }
        self.blow(kind);
        if (self.storm.only, kind) == (Only::Held, Kind::Partition) {
            return;
        }
        let longest_ms = match (self.storm.only, kind) {
            (Only::Held, _) => OUTLASTING_CUT_MS,
            (_, Kind::Partition | Kind::Publish) => 40_000,
            _ => 6_000,
        };
        let wait_ms = self.random.random_range(500..longest_ms);
        self.agenda.set(self.now_ms + wait_ms, What::Storm(Step::Blow(kind)));
    }

    fn blow(&mut self, kind: Kind) {
        let entry = self.random.random_range(0..ENTRIES);
        let backend = self.random.random_range(0..BACKENDS);
        let agent = ENTRIES + backend;
        let span_ms = self.random.random_range(200..8_000);
        match kind {
            Kind::KillEntry => self.kill(entry, span_ms),
            Kind::KillAgent => self.kill(agent, span_ms),
            Kind::KillBackend => self.kill_backend(backend, span_ms),
            Kind::FreezeEntry => self.freeze(entry, span_ms),
            Kind::FreezeAgent => self.freeze(agent, span_ms),
            Kind::FreezeBackend => self.backends[backend].frozen_until_ms = self.now_ms + span_ms,
            Kind::SlowBackend => self.backends[backend].slowness = 8,
            Kind::SilentLinks => self.silence_links(400),
            Kind::FoulWeather => self.weather = Weather::FOUL,
            Kind::Partition => self.cut(),
            Kind::PlatformDown => self.platform.down = true,
            Kind::PlatformGoesBack => self.platform.go_back(),
            Kind::PlatformConflict => self.platform.publish_conflict(),
            Kind::Publish => self.publish(),
            Kind::PublishTwice => (0..2).for_each(|_| self.publish()),
            Kind::PublishInvalid => self.platform.publish_invalid(),
            Kind::ListLag => self.platform.list_lag_ms = 12_000,
            Kind::DrainAgent => self.drain(agent),
            Kind::DrainEntry => self.drain(entry),
            Kind::Replace => self.replace(agent),
        }
    }

    fn publish(&mut self) {
        let stamp = self.platform.publish_change(&mut self.random);
        self.trace(|| format!("published {stamp:?}"));
    }

    pub(crate) fn kill(&mut self, place: usize, down_ms: u64) {
        self.end_process(place);
        self.agenda.set(self.now_ms + down_ms, What::Start { place });
    }

    /// An instance dies for good.
    pub(crate) fn remove(&mut self, place: usize) {
        self.end_process(place);
        self.places[place].listed = false;
        self.list_changed();
    }

    /// An instance dies for good; another one takes over its backend server.
    fn replace(&mut self, place: usize) {
        self.remove(place);
        self.places[place].generation += 1;
        self.agenda.set(self.now_ms + 800, What::Start { place });
    }

    pub(crate) fn freeze(&mut self, place: usize, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        let row = &mut self.places[place];
        row.frozen_until_ms = row.frozen_until_ms.max(until_ms);
        let (at_ms, life) = (row.frozen_until_ms, row.life);
        self.agenda.set(at_ms, What::Thaw { place, life });
    }

    fn cut(&mut self) {
        for place in 0..self.places.len() {
            self.places[place].side = u8::from(self.random.random_range(0..2) == 0);
        }
    }

    /// A planned stop.
    fn drain(&mut self, place: usize) {
        let now_ms = self.now_ms;
        let others = self.places.iter().filter(|row| row.leaving_since_ms.is_some()).count();
        let row = &mut self.places[place];
        if row.node.is_none() || row.state == InstanceState::Leaving || others > 1 {
            return;
        }
        row.state = InstanceState::Leaving;
        let life = row.life;
        let notice_ms = if row.backend.is_none() { BALANCER_NOTICE_MS } else { 0 };
        if row.backend.is_none() {
            row.leaving_since_ms = Some(now_ms);
            row.ready = false;
        }
        self.list_changed();
        if !self.storm.stormy {
            self.observer.protect(&self.places[place], &self.runs);
        }
        self.agenda.set(now_ms + notice_ms, What::Storm(Step::Drain { place, life }));
    }

    /// A planned stop has come to its end.
    pub(crate) fn drained(&mut self, place: usize) {
        let open = self.observer.open_at(place);
        if open > 0 {
            let detail = format!("(f) place {place} stops with {open} open requests");
            self.observer.fault(self.now_ms, &detail);
        }
        self.end_process(place);
        self.places[place].listed = false;
        self.list_changed();
        self.places[place].generation += 1;
        self.agenda.set(self.now_ms + 500, What::Start { place });
    }

    /// Mends everything but the links that went silent: those stay so for good.
    fn heal(&mut self) {
        self.storm.stormy = false;
        self.storm.healed_ms = Some(self.now_ms);
        self.weather = Weather::FAIR;
        self.platform.down = false;
        self.platform.list_lag_ms = USUAL_LIST_LAG_MS;
        self.publish();
        for backend in &mut self.backends {
            backend.down_until_ms = backend.down_until_ms.min(self.now_ms);
            backend.frozen_until_ms = backend.frozen_until_ms.min(self.now_ms);
            backend.slowness = 0;
        }
        for place in 0..self.places.len() {
            self.places[place].side = 0;
            if self.places[place].is_frozen(self.now_ms) {
                self.places[place].frozen_until_ms = self.now_ms;
                let life = self.places[place].life;
                self.agenda.set(self.now_ms, What::Thaw { place, life });
            }
            if self.places[place].node.is_none() {
                self.agenda.set(self.now_ms + 100, What::Start { place });
            }
        }
        let linked = What::Storm(Step::Converged { linked_only: true });
        self.agenda.set(self.now_ms + ADOPTION_BOUND_MS, linked);
        let all = What::Storm(Step::Converged { linked_only: false });
        self.agenda.set(self.now_ms + POLL_BOUND_MS, all);
        let next = if self.storm.spell < SPELLS { Step::Begin } else { Step::StopCallers };
        self.agenda.set(self.now_ms + CALM_MS, What::Storm(next));
    }

    fn check_converged(&mut self, linked_only: bool) {
        let latest = self.platform.config().revision;
        for place in &self.places {
            let Some(node) = &place.node else { continue };
            if self.now_ms < place.started_ms + FIRST_READ_MS {
                continue;
            }
            let used = place.backend.is_none() || self.is_linked(place.index);
            let held = node.stamp().revision;
            if held != latest && (used || !linked_only) {
                let index = place.index;
                let detail = format!("(g) place {index} holds revision {held}, not {latest}");
                self.observer.fault(self.now_ms, &detail);
            }
        }
    }

    /// Whether an agent has a working link to an entry.
    fn is_linked(&self, place: usize) -> bool {
        self.wires.iter().any(|wire| {
            let [Some(one), Some(other)] = wire.ends else { return false };
            let alive = [one, other].iter().all(|end| self.places[end.place].life == end.life);
            let whole = wire.open == [true, true] && !wire.silent && alive;
            whole && other.place == place && one.place < ENTRIES
        })
    }

    fn finish(&mut self) {
        let open = self.observer.still_open();
        if open > 0 {
            let detail = format!("(a) {open} requests are open at the end");
            self.observer.fault(self.now_ms, &detail);
        }
        for place in 0..ENTRIES {
            let row = &self.places[place];
            let local = row.local(self.now_ms);
            let held = row.node.as_ref().map_or(0, |node| node.open_requests(local));
            if held > 0 {
                let detail = format!("(a) place {place} still holds {held} requests");
                self.observer.fault(self.now_ms, &detail);
            }
        }
        self.storm.over = true;
    }
}
