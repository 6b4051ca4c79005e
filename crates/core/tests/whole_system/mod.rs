//! The whole system in one thread and in virtual time, from one seed: many entries and agents, the
//! very cores that the binaries run, between a fake platform, fake backend servers, a fake network
//! and callers.

pub(crate) mod adapter;
mod backend;
mod callers;
mod faults;
mod network;
pub(crate) mod observer;
mod outcomes;
mod place;
mod platform;
#[allow(dead_code, reason = "each test program uses a part of it")]
pub(crate) mod script;
mod time;

use adapter::{Effect, Frame, Hello, Input, Switches};
use backend::{Backend, Call, Run};
use callers::Operation;
use faults::{Only, Storm};
use hickorycross_core::adoption::is_watcher;
use hickorycross_core::audit::Change;
use hickorycross_core::entry::EntryEvent;
use hickorycross_core::message::ToAgent;
use indexmap::IndexMap;
use network::{End, Weather, Wire};
use observer::{Final, Observer};
#[allow(unused_imports, reason = "each test program uses a part of it")]
pub(crate) use outcomes::{run_all, run_each};
use place::Place;
use platform::Platform;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use time::Agenda;

const ENTRIES: usize = 3;
pub(crate) const BACKENDS: usize = 7;
const START_MS: u64 = 1_700_000_000_000;
const TICK_MS: u64 = 40;
const LOOK_MS: u64 = 200;
const WATCH_PAUSE_MS: u64 = 300;
const POLL_PAUSE_MS: u64 = 30_000;
const FAILED_PAUSE_MS: u64 = 2_000;
/// Callers come after everything has started.
const FIRST_CALLER_MS: u64 = 3_000;
/// Clocks of two processes differ by no more than twice this in most runs.
const CLOCK_BOUND_MS: i64 = 1_000;
/// And by up to twice this in the others.
const CLOCK_BEYOND_MS: i64 = 8_000;
/// One seed in so many has clocks beyond their bound.
const BEYOND_EVERY: u64 = 8;

/// One seed in so many has callers that fill the queues.
const BUSY_EVERY: u64 = 3;

/// What happens at a moment.
pub(crate) enum What {
    Tick {
        place: usize,
        life: u64,
    },
    Look,
    Input {
        place: usize,
        life: u64,
        input: Box<Input>,
    },
    Thaw {
        place: usize,
        life: u64,
    },
    Start {
        place: usize,
    },
    OpenArrives {
        wire: usize,
        target: usize,
    },
    OpenReply {
        wire: usize,
        hello: Hello,
    },
    Deliver {
        wire: usize,
        side: usize,
        frame: Frame,
    },
    ReadConfig {
        place: usize,
        life: u64,
    },
    ReadList {
        place: usize,
        life: u64,
    },
    HealthCheck {
        place: usize,
        life: u64,
    },
    Call(Call),
    RunStep(usize),
    NewOperation,
    Arrive(usize),
    Storm(faults::Step),
    /// A scripted run stops here for its next order.
    Pause,
}

/// One run.
pub(crate) struct World {
    pub(crate) now_ms: u64,
    pub(crate) observer: Observer,
    agenda: Agenda<What>,
    random: ChaCha8Rng,
    places: Vec<Place>,
    backends: Vec<Backend>,
    runs: Vec<Run>,
    wires: Vec<Wire>,
    wire_of: IndexMap<End, (usize, usize)>,
    weather: Weather,
    platform: Platform,
    operations: Vec<Operation>,
    next_request: u64,
    callers_stopped: bool,
    busy: bool,
    storm: Storm,
    switches: Switches,
    trace: bool,
}

impl World {
    pub(crate) fn new(seed: u64, switches: Switches) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let beyond = seed % BEYOND_EVERY == BEYOND_EVERY - 1;
        let bound_ms = if beyond { CLOCK_BEYOND_MS } else { CLOCK_BOUND_MS };
        let places = (0..ENTRIES + BACKENDS).map(|index| {
            let offset_ms = random.random_range(-bound_ms..=bound_ms);
            Place::new(index, index.checked_sub(ENTRIES), offset_ms)
        });
        let places = places.collect();
        let mut world = Self {
            now_ms: START_MS,
            observer: Observer::new(beyond),
            agenda: Agenda::new(),
            random,
            places,
            backends: vec![Backend::default(); BACKENDS],
            runs: Vec::new(),
            wires: Vec::new(),
            wire_of: IndexMap::new(),
            weather: Weather::FAIR,
            platform: Platform::new(),
            operations: Vec::new(),
            next_request: 1,
            callers_stopped: false,
            busy: seed.is_multiple_of(BUSY_EVERY),
            storm: Storm::default(),
            switches,
            trace: std::env::var_os("HICKORYCROSS_TRACE").is_some(),
        };
        (0..world.places.len()).for_each(|place| world.start(place));
        world.agenda.set(START_MS + LOOK_MS, What::Look);
        world.agenda.set(START_MS + FIRST_CALLER_MS, What::NewOperation);
        world.plan();
        world
    }

    /// A run whose failures are long cuts, with documents that change meanwhile.
    #[allow(dead_code, reason = "each test program uses a part of it")]
    pub(crate) fn divided(seed: u64) -> Self {
        let mut world = Self::new(seed, Switches::default());
        world.storm.only = Only::Divided;
        world
    }

    /// The same with cuts that outlast what a new home of keys remembers of the former one.
    #[allow(dead_code, reason = "each test program uses a part of it")]
    pub(crate) fn outlasting(seed: u64) -> Self {
        let mut world = Self::new(seed, Switches::default());
        world.storm.only = Only::Outlasting;
        world
    }

    /// A run whose cuts stay as they are while documents change and agents restart and freeze.
    #[allow(dead_code, reason = "each test program uses a part of it")]
    pub(crate) fn held(seed: u64, switches: Switches) -> Self {
        let mut world = Self::new(seed, switches);
        world.storm.only = Only::Held;
        world
    }

    /// A run whose failures are revisions with two contents, and restarts that take the other one.
    #[allow(dead_code, reason = "each test program uses a part of it")]
    pub(crate) fn contested(seed: u64, switches: Switches) -> Self {
        let mut world = Self::new(seed, switches);
        world.storm.only = Only::Contested;
        world
    }

    /// Runs to the end, or to the first fault.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        while !self.storm.over {
            let Some((at_ms, what)) = self.agenda.next() else { break };
            self.now_ms = at_ms;
            if matches!(what, What::Pause) {
                break;
            }
            self.happen(what);
            if let Some(fault) = self.observer.faults.first() {
                return Err(format!("{fault} ({} ms after the start)", at_ms - START_MS));
            }
        }
        Ok(())
    }

    /// Virtual time that has passed.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.now_ms - START_MS
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Tick { place, life } => self.tick(place, life),
            What::Look => self.look(),
            What::Input { place, life, input } => {
                if self.places[place].life == life {
                    self.input(place, *input);
                }
            }
            What::Thaw { place, life } => self.thaw(place, life),
            What::Start { place } => self.start(place),
            What::OpenArrives { wire, target } => self.open_arrives(wire, target),
            What::OpenReply { wire, hello } => self.open_reply(wire, hello),
            What::Deliver { wire, side, frame } => self.deliver(wire, side, frame),
            What::ReadConfig { place, life } => self.read_config(place, life),
            What::ReadList { place, life } => self.read_list(place, life),
            What::HealthCheck { place, life } => self.check_health(place, life),
            What::Call(call) => self.call(call),
            What::RunStep(run) => self.run_step(run),
            What::NewOperation => self.new_operation(),
            What::Arrive(operation) => self.arrive(operation),
            What::Storm(step) => self.storm_step(step),
            What::Pause => {}
        }
    }

    fn start(&mut self, place: usize) {
        if self.places[place].node.is_some() {
            return;
        }
        let salt = self.random.random::<u64>() << 16;
        self.places[place].start(self.now_ms, salt, self.switches);
        self.places[place].floor = self.lowest_at_agents();
        self.observer.tally.lives += 1;
        self.list_changed();
        let life = self.places[place].life;
        let at_ms = self.now_ms + self.random.random_range(1..TICK_MS);
        self.agenda.set(at_ms, What::Tick { place, life });
        self.agenda.set(at_ms, What::ReadConfig { place, life });
        self.agenda.set(at_ms, What::ReadList { place, life });
        if self.places[place].backend.is_some() {
            self.agenda.set(at_ms, What::HealthCheck { place, life });
        }
        self.trace(|| format!("place {place} starts life {life}"));
    }

    /// The process is gone at once, with everything that it held.
    fn end_process(&mut self, place: usize) {
        if self.places[place].node.take().is_none() {
            return;
        }
        let now_ms = self.now_ms;
        self.places[place].end_life(now_ms);
        self.drop_links(place);
        for operation in self.observer.entry_died(place) {
            self.refused(operation, None);
        }
        self.trace(|| format!("place {place} ends"));
    }

    fn list_changed(&mut self) {
        let listed = self.places.iter().filter(|place| place.listed).map(Place::row).collect();
        self.platform.note_list(self.now_ms, listed);
    }

    fn tick(&mut self, place: usize, life: u64) {
        if self.places[place].life != life || self.places[place].node.is_none() {
            return;
        }
        if !self.places[place].is_frozen(self.now_ms) {
            self.input(place, Input::Tick);
            let row = &mut self.places[place];
            let local = row.local(self.now_ms);
            let ready = row.node.as_ref().is_some_and(|node| node.is_ready(local));
            let serves = row.backend.is_none() && ready && row.leaving_since_ms.is_none();
            let begins = serves && !std::mem::replace(&mut row.ready, serves);
            row.ready = serves;
            if begins {
                self.check_floor(place);
            }
        }
        self.agenda.set(self.now_ms + TICK_MS, What::Tick { place, life });
    }

    /// The lowest revision in force at an agent; none while some cannot be heard.
    fn lowest_at_agents(&self) -> Option<u64> {
        let heard = |place: &Place| {
            place.node.is_some() && !place.is_frozen(self.now_ms) && place.side == 0
        };
        let fair = self.weather.loss_permille == 0;
        let agents = &self.places[ENTRIES..];
        let all = fair && self.places.iter().all(|place| place.side == 0);
        (all && agents.iter().all(heard))
            .then(|| agents.iter().map(|place| place.revision).min())
            .flatten()
    }

    /// A process that begins to serve must not be behind all the peers that it could hear.
    fn check_floor(&mut self, place: usize) {
        let now = self.lowest_at_agents();
        let row = &self.places[place];
        let Some(floor) = row.floor.filter(|_| now.is_some()) else { return };
        if row.revision < floor {
            let detail = format!("(g) place {place} serves on {} below {floor}", row.revision);
            self.observer.fault(self.now_ms, &detail);
        }
        self.observer.tally.floors += 1;
    }

    fn thaw(&mut self, place: usize, life: u64) {
        if self.places[place].life != life || self.places[place].is_frozen(self.now_ms) {
            return;
        }
        // What a process does first when it wakes is left to chance.
        if self.random.random() {
            self.input(place, Input::Tick);
        }
        for input in std::mem::take(&mut self.places[place].backlog) {
            self.input(place, input);
        }
    }

    /// Hands an event to a process, or keeps it while the process is frozen.
    fn input(&mut self, place: usize, input: Input) {
        if self.places[place].is_frozen(self.now_ms) {
            return self.places[place].backlog.push_back(input);
        }
        self.note_input(place, &input);
        let local = self.places[place].local(self.now_ms);
        let Some(node) = self.places[place].node.as_mut() else { return };
        let effects = node.handle(local, input);
        let life = self.places[place].life;
        for effect in effects {
            self.effect(place, life, effect);
        }
    }

    fn note_input(&mut self, place: usize, input: &Input) {
        let life = self.places[place].life;
        match input {
            Input::Closed { link } => {
                self.wire_of.swap_remove(&End { place, life, link: *link });
            }
            Input::Entry(EntryEvent::Arrived(arrival)) if self.places[place].node.is_some() => {
                let index = Operation::index(&arrival.body);
                let operation = &self.operations[index];
                let must_succeed = self.must_succeed(operation);
                let (request, row) = (arrival.request, &self.places[place]);
                self.observer.taken(self.now_ms, request, row, operation, must_succeed);
            }
            Input::Drain => {
                self.places[place].leaving_since_ms.get_or_insert(self.now_ms);
            }
            Input::Entry(EntryEvent::CallerGone { request }) => self.observer.caller_left(*request),
            _ => {}
        }
    }

    fn effect(&mut self, place: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Open { link, address } => self.open(End { place, life, link }, address),
            Effect::Close { link } => self.close(End { place, life, link }),
            Effect::Send { link, frame } => {
                let end = End { place, life, link };
                self.note_submit(end, &frame);
                self.trace(|| format!("place {place} sends {frame:?} on {link:?}"));
                self.send(end, &frame);
            }
            Effect::Caller(action) => {
                self.trace(|| format!("place {place} answers {action:?}"));
                match self.observer.answer(self.now_ms, action, &self.runs) {
                    Some(Final::Whole(operation)) => self.answered_whole(operation),
                    Some(Final::Refused(operation, refusal)) => {
                        self.refused(operation, Some(&refusal));
                    }
                    None => {}
                }
            }
            Effect::Backend(action) => {
                self.trace(|| format!("place {place} orders {action:?}"));
                self.backend_action(place, action);
            }
            Effect::Adopted(stamp) => self.adopted(place, stamp.revision),
            Effect::Audit(record) => {
                if let Change::InvariantViolated { detail } = &record.change {
                    self.observer.fault(self.now_ms, &format!("place {place}: {detail}"));
                }
                self.trace(|| format!("place {place} records {record:?}"));
            }
            Effect::Drained => self.drained(place),
        }
    }

    fn note_submit(&mut self, end: End, frame: &Frame) {
        let Frame::ToAgent(ToAgent::Submit(submit)) = frame else { return };
        let Some((wire, side)) = self.wire_of.get(&end).copied() else { return };
        if let Some(other) = self.wires[wire].ends[1 - side] {
            self.observer.submitted(self.now_ms, submit.attempt, other.place, other.life);
        }
    }

    fn adopted(&mut self, place: usize, revision: u64) {
        let (now_ms, row) = (self.now_ms, &mut self.places[place]);
        let before = std::mem::replace(&mut row.revision, revision);
        self.observer.tally.adoptions += 1;
        if revision <= before {
            let detail = format!("(g) place {place} went from revision {before} to {revision}");
            self.observer.fault(now_ms, &detail);
        }
        self.trace(|| format!("place {place} adopts {revision}"));
    }

    /// A watch or a poll tells a process what it has not read yet.
    fn read_config(&mut self, place: usize, life: u64) {
        if self.places[place].life != life {
            return;
        }
        let pause_ms = match self.is_platform_away(place) {
            true => FAILED_PAUSE_MS,
            false => {
                let served = self.platform.config();
                if self.places[place].read.as_ref() != Some(&served) {
                    self.places[place].read = Some(served.clone());
                    self.input(place, Input::Config(served));
                }
                let instances = self.platform.list(self.now_ms);
                let row = &self.places[place];
                let watches = is_watcher(&row.instance(), &instances) || row.revision == 0;
                if watches { WATCH_PAUSE_MS } else { POLL_PAUSE_MS }
            }
        };
        self.agenda.set(self.now_ms + pause_ms, What::ReadConfig { place, life });
    }

    fn read_list(&mut self, place: usize, life: u64) {
        if self.places[place].life != life {
            return;
        }
        let away = self.is_platform_away(place);
        if !away {
            let list = self.platform.list(self.now_ms);
            if self.places[place].listed_last != list {
                self.places[place].listed_last = list.clone();
                self.input(place, Input::Instances(list));
            }
        }
        let pause_ms = if away { FAILED_PAUSE_MS } else { WATCH_PAUSE_MS };
        self.agenda.set(self.now_ms + pause_ms, What::ReadList { place, life });
    }

    /// The platform stands on the first side of every cut.
    fn is_platform_away(&self, place: usize) -> bool {
        self.platform.down || self.places[place].side != 0
    }

    fn look(&mut self) {
        self.observer.look(self.now_ms, &self.places, &self.operations);
        self.agenda.set(self.now_ms + LOOK_MS, What::Look);
    }

    fn trace(&self, line: impl FnOnce() -> String) {
        if self.trace {
            println!("{} {}", self.now_ms - START_MS, line());
        }
    }
}
