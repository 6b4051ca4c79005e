//! What the agent's core costs: a request, a chunk, a tick, by the size of its tables.

use super::cpu::cpu_ns_of;
use super::document::{FleetShape, document};
use super::fit::{Series, SeriesName};
use super::measure::Effort;
use super::memory::{bytes_of, hold};
use bytes::Bytes;
use hickorycross_config::{Digest, RouteId, Stamp, TeamId, TierId};
use hickorycross_core::agent::{AgentAction, AgentCore, AgentEvent, AgentIdentity};
use hickorycross_core::message::{RequestHead, ResponseHead, Submit, TeamDemand, ToAgent};
use hickorycross_core::{AttemptId, Incarnation, LinkId, Now, RequestId, UnixMs};
use std::sync::Arc;

const SEED: u64 = 13;
const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 20;
const BODY_BYTES: usize = 1_024;
const TOKEN_BYTES: usize = 160;
const BATCH: u32 = 128;
const CHUNKS: u32 = 16;
const TICKS: u32 = 50;
const COPIES: usize = 48;
const DEADLINE_MS: u64 = 60_000;

/// An agent whose backend server answers as it is told.
struct AgentRig {
    core: AgentCore,
    now_ms: u64,
    links: u32,
    teams: u32,
    next_request: u64,
}

impl AgentRig {
    fn new(shape: FleetShape, links: u32) -> Self {
        let identity = AgentIdentity {
            incarnation: Incarnation(SEED),
            backend_server: FleetShape::backend(0),
        };
        let core = AgentCore::new(identity, SEED);
        let mut rig = Self { core, now_ms: START_MS, links, teams: shape.teams, next_request: 0 };
        let stamp = Stamp { revision: 1, digest: Digest(1) };
        rig.handle(AgentEvent::Adopted { stamp, document: Arc::new(document(shape)) });
        for link in 0..links {
            let entry = Incarnation(u64::from(link) + 1);
            rig.handle(AgentEvent::LinkOpened { link: LinkId(link.into()), entry });
        }
        // Keys and homes are unknown for a while after a start; that time passes first.
        rig.now_ms += DEADLINE_MS * 2;
        rig.handle(AgentEvent::Tick);
        rig
    }

    fn handle(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.core.handle(Now::at(self.now_ms), event, &mut actions);
        actions
    }

    fn timed(&mut self, events: Vec<AgentEvent>) -> f64 {
        let mut actions = Vec::with_capacity(4 * events.len());
        let now = Now::at(self.now_ms);
        cpu_ns_of(|| {
            for event in events {
                self.core.handle(now, event, &mut actions);
            }
        })
    }

    fn submit(&mut self) -> (AttemptId, AgentEvent) {
        let sequence = self.next_request;
        self.next_request += 1;
        let link = sequence % u64::from(self.links.max(1));
        let entry = Incarnation(link + 1);
        let attempt = AttemptId { request: RequestId { entry, sequence }, ordinal: 0 };
        let team = sequence % u64::from(self.teams);
        let submit = Submit {
            attempt,
            agent: Incarnation(SEED),
            team: TeamId::new(&format!("team-{team:03}")),
            tier: TierId::new(&format!("tier-{}", team % 3)),
            route: RouteId::new("route-00"),
            idempotent: true,
            key: None,
            content: sequence,
            deadline: UnixMs(self.now_ms + DEADLINE_MS),
            head: RequestHead {
                method: "POST".to_owned(),
                path: "/v1/chat/completions".to_owned(),
                headers: Vec::new(),
            },
            body: Bytes::from(vec![b'x'; BODY_BYTES]),
        };
        let message = ToAgent::Submit(Box::new(submit));
        (attempt, AgentEvent::Message { link: LinkId(link), message })
    }

    fn submits(&mut self, count: u32) -> (Vec<AttemptId>, Vec<AgentEvent>) {
        (0..count).map(|_| self.submit()).unzip()
    }

    /// Opens streams that stay open.
    fn open_streams(&mut self, count: u32) {
        let (_, submits) = self.submits(count);
        for submit in submits {
            self.handle(submit);
        }
    }

    /// Processor time of one whole request without its chunks, and of one chunk, in microseconds.
    fn request_and_chunk_us(&mut self) -> (f64, f64) {
        let (attempts, submits) = self.submits(BATCH);
        let mut request_ns = self.timed(submits);
        let heads = attempts.iter().map(|attempt| {
            let head = ResponseHead { status: 200, headers: Vec::new() };
            AgentEvent::BackendHead { attempt: *attempt, head }
        });
        request_ns += self.timed(heads.collect());
        let mut chunk_ns = 0.0;
        for _ in 0..CHUNKS {
            let bytes = Bytes::from(vec![b't'; TOKEN_BYTES]);
            let chunks = attempts.iter().map(|attempt| AgentEvent::BackendChunk {
                attempt: *attempt,
                bytes: bytes.clone(),
            });
            chunk_ns += self.timed(chunks.collect());
        }
        let ends = attempts.iter().map(|attempt| AgentEvent::BackendEnd { attempt: *attempt });
        request_ns += self.timed(ends.collect());
        let acknowledged = attempts.iter().map(|attempt| {
            let link = LinkId(attempt.request.entry.0 - 1);
            let message = ToAgent::Received { attempt: *attempt, next_chunk: CHUNKS + 1 };
            AgentEvent::Message { link, message }
        });
        request_ns += self.timed(acknowledged.collect());
        let requests = f64::from(BATCH);
        (request_ns / requests / 1e3, chunk_ns / requests / f64::from(CHUNKS) / 1e3)
    }

    fn tick_us(&mut self) -> f64 {
        let mut ns = 0.0;
        for _ in 0..TICKS {
            self.now_ms += TICK_MS;
            ns += self.timed(vec![AgentEvent::Tick]);
        }
        ns / f64::from(TICKS) / 1e3
    }

    /// Every entry reports demand for some teams whose totals this agent sums up.
    fn report_demand(&mut self, teams: u32) {
        for link in 0..self.links {
            let demands = (0..teams).map(|team| TeamDemand {
                team: TeamId::new(&format!("team-{team:03}")),
                requests_per_s: 1.0,
            });
            let message = ToAgent::Demand(demands.collect());
            self.handle(AgentEvent::Message { link: LinkId(link.into()), message });
        }
    }
}

fn shape(backends: u32, teams: u32) -> FleetShape {
    FleetShape { backends, teams, groups: (backends / 31).max(1), queue_slots: 4_096 }
}

const LINKS: [u32; 5] = [4, 16, 64, 200, 400];
const STREAMS: [u32; 5] = [16, 64, 128, 280, 560];
const WAITING: [u32; 4] = [16, 64, 256, 1_024];
const BACKENDS: [u32; 5] = [31, 62, 124, 310, 899];
/// Rows of the document's slots: more streams than these wait.
const SLOTS: u32 = 1_024;

const fn name(measured: &'static str, varied: &'static str) -> SeriesName {
    SeriesName { role: "agent", measured, varied }
}

/// All series of an agent.
pub(super) fn agent_series(effort: Effort) -> Vec<Series> {
    let trials = effort.trials;
    let backends = f64::from(effort.design.backends);
    vec![
        Series::measure(name("tick_us", "links"), &LINKS, trials, 400.0, |x| {
            AgentRig::new(shape(31, 10), x).tick_us()
        }),
        Series::measure(
            name("tick_us", "links_with_demand_of_4_teams"),
            &LINKS,
            trials,
            400.0,
            |x| {
                let mut rig = AgentRig::new(shape(31, 10), x);
                rig.report_demand(4);
                rig.tick_us()
            },
        ),
        Series::measure(name("tick_us", "open_streams"), &STREAMS, trials, 280.0, |x| {
            let mut rig = AgentRig::new(shape(31, 10), 64);
            rig.open_streams(x);
            rig.tick_us()
        }),
        Series::measure(name("request_us", "links"), &LINKS, trials, 400.0, |x| {
            AgentRig::new(shape(31, 10), x).request_and_chunk_us().0
        }),
        Series::measure(name("request_us", "open_streams"), &STREAMS, trials, 280.0, |x| {
            let mut rig = AgentRig::new(shape(31, 10), 64);
            rig.open_streams(x);
            rig.request_and_chunk_us().0
        }),
        Series::measure(name("request_us", "backends"), &BACKENDS, trials, backends, |x| {
            AgentRig::new(shape(x, 10), 64).request_and_chunk_us().0
        }),
        Series::measure(name("submit_us", "waiting"), &WAITING, trials, 256.0, |x| {
            let mut rig = AgentRig::new(shape(31, 260), 64);
            rig.open_streams(SLOTS + x);
            let (_, submits) = rig.submits(BATCH);
            rig.timed(submits) / f64::from(BATCH) / 1e3
        }),
        Series::measure(name("chunk_us", "open_streams"), &STREAMS, trials, 280.0, |x| {
            let mut rig = AgentRig::new(shape(31, 10), 64);
            rig.open_streams(x);
            rig.request_and_chunk_us().1
        }),
        Series::measure(name("chunk_us", "backends"), &BACKENDS, trials, backends, |x| {
            AgentRig::new(shape(x, 10), 64).request_and_chunk_us().1
        }),
    ]
}

/// Memory of an agent's core.
pub(super) fn agent_memory(effort: Effort) -> Vec<Series> {
    let trials = effort.trials;
    let mut kept = Vec::new();
    let by_links = Series::measure(name("memory_bytes", "links"), &LINKS, trials, 400.0, |x| {
        bytes_of(COPIES, &mut kept, |_| {
            let mut rig = AgentRig::new(shape(31, 10), x);
            rig.report_demand(4);
            rig
        })
    });
    let by_streams =
        Series::measure(name("memory_bytes", "open_streams"), &STREAMS, trials, 280.0, |x| {
            bytes_of(COPIES, &mut kept, |_| {
                let mut rig = AgentRig::new(shape(31, 10), 64);
                rig.open_streams(x);
                rig
            })
        });
    hold(kept);
    vec![by_links, by_streams]
}
