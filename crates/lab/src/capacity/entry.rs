//! What the entry's core costs: a request, a chunk, a tick, a change, by the size of its tables.

use super::cpu::cpu_ns_of;
use super::document::{FleetShape, document, instances};
use super::fit::{Series, SeriesName};
use super::measure::Effort;
use super::memory::{bytes_of, hold};
use bytes::Bytes;
use hickorycross_config::{Digest, FailureDomainId, KeyHash, Stamp, hash_api_key};
use hickorycross_core::entry::{
    Arrival, EntryAction, EntryCore, EntryEvent, EntryIdentity, EntryPolicies, RequestTarget,
};
use hickorycross_core::health::{CircuitBreaker, HealthPolicy};
use hickorycross_core::limits::SharedLimits;
use hickorycross_core::message::{AgentState, Load, RequestHead, ResponseHead, ToAgent, ToEntry};
use hickorycross_core::retry::TokenBudget;
use hickorycross_core::routing::TwoChoices;
use hickorycross_core::{AttemptId, Incarnation, LinkId, Now, RequestId, UnixMs};
use std::sync::Arc;

const SEED: u64 = 11;
const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 20;
const BODY_BYTES: usize = 1_024;
const TOKEN_BYTES: usize = 160;
/// Requests measured together.
const BATCH: u32 = 256;
/// Chunks measured for each request of a batch.
const CHUNKS: u32 = 16;
/// One second of ticks: nothing that is judged silent falls into it.
const TICKS: u32 = 45;
const COPIES: usize = 16;
/// Streams that bring the links up before something else is measured.
const OPENING: u32 = 320;

/// An entry whose agents answer everything at once.
struct EntryRig {
    core: EntryCore,
    now_ms: u64,
    keys: Vec<KeyHash>,
    shape: FleetShape,
    next_request: u64,
    open: Vec<(LinkId, AttemptId)>,
}

fn policies() -> EntryPolicies {
    EntryPolicies {
        routing: Box::new(TwoChoices::new(SEED)),
        limits: Box::new(SharedLimits::new()),
        retries: Box::new(TokenBudget::new(SEED)),
        health: Box::new(|| Box::new(CircuitBreaker::new(SEED)) as Box<dyn HealthPolicy>),
    }
}

fn load(now_ms: u64) -> Load {
    Load {
        sampled: UnixMs(now_ms),
        state: AgentState::Serving,
        running: 4,
        slots: 1_024,
        waiting: Vec::new(),
        service_ms: 14_000,
    }
}

impl EntryRig {
    fn new(shape: FleetShape, entries: u32) -> Self {
        let identity = EntryIdentity {
            incarnation: Incarnation(SEED),
            failure_domain: FailureDomainId::new("domain-0"),
        };
        let keys = (0..shape.teams).map(|team| hash_api_key(&FleetShape::key(team))).collect();
        let core = EntryCore::new(identity, policies(), SEED);
        let mut rig =
            Self { core, now_ms: START_MS, keys, shape, next_request: 0, open: Vec::new() };
        let stamp = Stamp { revision: 1, digest: Digest(1) };
        rig.handle(EntryEvent::Adopted { stamp, document: Arc::new(document(shape)) });
        rig.handle(EntryEvent::Instances(instances(shape, entries)));
        rig
    }

    fn apply(&mut self, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        self.core.handle(Now::at(self.now_ms), event, actions);
    }

    /// Handles an event and lets agents answer until nothing follows.
    fn handle(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.apply(event, &mut actions);
        self.settle(actions);
    }

    fn settle(&mut self, mut actions: Vec<EntryAction>) {
        while !actions.is_empty() {
            let mut more = Vec::new();
            for action in actions {
                if let Some(event) = self.answer(action) {
                    self.apply(event, &mut more);
                }
            }
            actions = more;
        }
    }

    /// What an agent answers. Submits are only noted; the caller decides when they go on.
    fn answer(&mut self, action: EntryAction) -> Option<EntryEvent> {
        match action {
            EntryAction::OpenLink { link, instance, .. } => {
                let number = instance.0.strip_prefix("agent-")?.parse::<u32>().ok()?;
                let backend_server = FleetShape::backend(number);
                let incarnation = Incarnation(u64::from(number));
                Some(EntryEvent::LinkOpened { link, backend_server, incarnation })
            }
            EntryAction::Send { link, message: ToAgent::Submit(submit) } => {
                self.open.push((link, submit.attempt));
                None
            }
            EntryAction::Send { link, message: ToAgent::Heartbeat { nonce, stamp } } => {
                let load = load(self.now_ms);
                let message = ToEntry::HeartbeatAck { nonce, stamp, load };
                Some(EntryEvent::Message { link, message })
            }
            _ => None,
        }
    }

    fn arrival(&mut self) -> EntryEvent {
        let sequence = self.next_request;
        self.next_request += 1;
        let group = u32::try_from(sequence % u64::from(self.shape.groups)).unwrap_or(0);
        let team = sequence as usize % self.keys.len();
        EntryEvent::Arrived(Box::new(Arrival {
            request: RequestId { entry: Incarnation(SEED), sequence },
            key_hash: self.keys[team],
            target: RequestTarget::Model(FleetShape::model(group)),
            non_idempotent: false,
            idempotency_key: None,
            deadline: None,
            head: RequestHead {
                method: "POST".to_owned(),
                path: "/v1/chat/completions".to_owned(),
                headers: Vec::new(),
            },
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
        }))
    }

    /// Opens streams: accepted, with head and first chunk.
    fn open_streams(&mut self, count: u32) -> Vec<(LinkId, AttemptId)> {
        for _ in 0..count {
            let arrival = self.arrival();
            self.handle(arrival);
        }
        let opened = std::mem::take(&mut self.open);
        for event in self.begin_events(&opened) {
            self.handle(event);
        }
        for event in chunk_events(&opened, 0) {
            self.handle(event);
        }
        opened
    }

    fn begin_events(&self, streams: &[(LinkId, AttemptId)]) -> Vec<EntryEvent> {
        let load = load(self.now_ms);
        let begun = streams.iter().flat_map(|(link, attempt)| {
            let accepted = ToEntry::Accepted { attempt: *attempt, load: load.clone() };
            let head = ResponseHead { status: 200, headers: Vec::new() };
            let head = ToEntry::Head { attempt: *attempt, head };
            [accepted, head].map(|message| EntryEvent::Message { link: *link, message })
        });
        begun.collect()
    }

    fn end_events(&self, streams: &[(LinkId, AttemptId)], chunk_count: u32) -> Vec<EntryEvent> {
        let byte_count = u64::from(chunk_count) * TOKEN_BYTES as u64;
        let load = load(self.now_ms);
        let ends = streams.iter().map(|(link, attempt)| {
            let load = load.clone();
            let message = ToEntry::End { attempt: *attempt, chunk_count, byte_count, load };
            EntryEvent::Message { link: *link, message }
        });
        ends.collect()
    }

    /// Handles prepared events and gives the processor time for each.
    fn timed(&mut self, events: Vec<EntryEvent>, actions: &mut Vec<EntryAction>) -> f64 {
        cpu_ns_of(|| {
            for event in events {
                self.apply(event, actions);
            }
        })
    }

    /// Processor time of one whole request without its chunks, in microseconds, beside streams
    /// that are open already; and of one chunk.
    fn request_and_chunk_us(&mut self) -> (f64, f64) {
        let mut actions = Vec::new();
        let arrivals = (0..BATCH).map(|_| self.arrival()).collect();
        let mut request_ns = self.timed(arrivals, &mut actions);
        self.settle(std::mem::take(&mut actions));
        let streams = std::mem::take(&mut self.open);
        request_ns += self.timed(self.begin_events(&streams), &mut actions);
        let mut chunk_ns = 0.0;
        for index in 0..CHUNKS {
            chunk_ns += self.timed(chunk_events(&streams, index), &mut actions);
        }
        request_ns += self.timed(self.end_events(&streams, CHUNKS), &mut actions);
        self.settle(actions);
        let requests = streams.len().max(1) as f64;
        (request_ns / requests / 1e3, chunk_ns / requests / f64::from(CHUNKS) / 1e3)
    }

    /// Processor time of one tick, in microseconds.
    fn tick_us(&mut self) -> f64 {
        let mut ns = 0.0;
        for _ in 0..TICKS {
            self.now_ms += TICK_MS;
            let mut actions = Vec::new();
            ns += self.timed(vec![EntryEvent::Tick], &mut actions);
            self.settle(actions);
        }
        ns / f64::from(TICKS) / 1e3
    }
}

fn chunk_events(streams: &[(LinkId, AttemptId)], index: u32) -> Vec<EntryEvent> {
    let bytes = Bytes::from(vec![b't'; TOKEN_BYTES]);
    let chunks = streams.iter().map(|(link, attempt)| {
        let message = ToEntry::Chunk { attempt: *attempt, index, bytes: bytes.clone() };
        EntryEvent::Message { link: *link, message }
    });
    chunks.collect()
}

fn shape(backends: u32, teams: u32) -> FleetShape {
    let groups = (backends / 31).max(1);
    FleetShape { backends, teams, groups, queue_slots: 1_024 }
}

const BACKENDS: [u32; 5] = [31, 62, 124, 310, 899];
const TEAMS: [u32; 4] = [10, 40, 120, 260];
const STREAMS: [u32; 5] = [32, 128, 320, 640, 1_280];
const ENTRIES: [u32; 4] = [8, 50, 150, 400];

const fn name(measured: &'static str, varied: &'static str) -> SeriesName {
    SeriesName { role: "entry", measured, varied }
}

/// All series of an entry.
pub(super) fn entry_series(effort: Effort) -> Vec<Series> {
    let trials = effort.trials;
    let design = effort.design;
    let backends = f64::from(design.backends);
    let teams = f64::from(design.teams);
    vec![
        Series::measure(name("tick_us", "backends"), &BACKENDS, trials, backends, |x| {
            EntryRig::new(shape(x, 10), 8).tick_us()
        }),
        Series::measure(name("tick_us", "teams"), &TEAMS, trials, teams, |x| {
            let mut rig = EntryRig::new(shape(62, x), 8);
            // Each team has shown demand, as in steady use.
            rig.open_streams(x.max(64));
            rig.tick_us()
        }),
        Series::measure(name("tick_us", "open_streams"), &STREAMS, trials, 630.0, |x| {
            let mut rig = EntryRig::new(shape(899, 10), 8);
            rig.open_streams(x);
            rig.tick_us()
        }),
        Series::measure(name("request_us", "backends"), &BACKENDS, trials, backends, |x| {
            let mut rig = EntryRig::new(shape(x, 10), 8);
            rig.open_streams(OPENING);
            rig.request_and_chunk_us().0
        }),
        Series::measure(name("request_us", "teams"), &TEAMS, trials, teams, |x| {
            let mut rig = EntryRig::new(shape(62, x), 8);
            rig.open_streams(OPENING);
            rig.request_and_chunk_us().0
        }),
        Series::measure(name("request_us", "open_streams"), &STREAMS, trials, 630.0, |x| {
            let mut rig = EntryRig::new(shape(899, 10), 8);
            rig.open_streams(x);
            rig.request_and_chunk_us().0
        }),
        Series::measure(name("chunk_us", "open_streams"), &STREAMS, trials, 630.0, |x| {
            let mut rig = EntryRig::new(shape(899, 10), 8);
            rig.open_streams(x);
            rig.request_and_chunk_us().1
        }),
        Series::measure(name("instances_us", "backends"), &BACKENDS, trials, backends, |x| {
            let mut rig = EntryRig::new(shape(x, 10), 8);
            let list = EntryEvent::Instances(instances(rig.shape, 8));
            rig.timed(vec![list], &mut Vec::new()) / 1e3
        }),
        Series::measure(name("instances_us", "entries"), &ENTRIES, trials, 400.0, |x| {
            let mut rig = EntryRig::new(shape(62, 10), 8);
            let list = EntryEvent::Instances(instances(rig.shape, x));
            rig.timed(vec![list], &mut Vec::new()) / 1e3
        }),
        Series::measure(name("adopt_us", "backends"), &BACKENDS, trials, backends, |x| {
            let mut rig = EntryRig::new(shape(x, 10), 8);
            let stamp = Stamp { revision: 2, digest: Digest(2) };
            let document = Arc::new(document(rig.shape));
            let adopted = EntryEvent::Adopted { stamp, document };
            rig.timed(vec![adopted], &mut Vec::new()) / 1e3
        }),
    ]
}

/// Memory of an entry's core.
pub(super) fn entry_memory(effort: Effort) -> Vec<Series> {
    let design = effort.design;
    let mut kept = Vec::new();
    let by_backends = Series::measure(
        name("memory_bytes", "backends"),
        &BACKENDS,
        effort.trials,
        f64::from(design.backends),
        |x| bytes_of(COPIES, &mut kept, |_| EntryRig::new(shape(x, 10), 8)),
    );
    let by_teams = Series::measure(
        name("memory_bytes", "teams"),
        &TEAMS,
        effort.trials,
        f64::from(design.teams),
        |x| bytes_of(COPIES, &mut kept, |_| EntryRig::new(shape(62, x), 8)),
    );
    let by_streams = Series::measure(
        name("memory_bytes", "open_streams"),
        &STREAMS,
        effort.trials,
        630.0,
        |x| {
            bytes_of(COPIES, &mut kept, |_| {
                let mut rig = EntryRig::new(shape(62, 10), 8);
                rig.open_streams(x);
                rig
            })
        },
    );
    hold(kept);
    vec![by_backends, by_teams, by_streams]
}
