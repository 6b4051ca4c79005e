//! Encoded bytes of the messages between processes.

use super::config::{published, scaled};
use super::document::{FleetShape, instances};
use super::measure::Effort;
use bytes::Bytes;
use hickorycross_config::{Digest, RouteId, Stamp, TeamId, TierId};
use hickorycross_core::message::{
    AgentState, Load, RequestHead, Submit, TeamDemand, TeamTotal, TierWaiting, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, Incarnation, InstanceId, RequestId, UnixMs};
use hickorycross_protocol::{ConfigOffer, Frame, Hello, PeerRole, SUPPORTED_VERSIONS, encode};
use serde::Serialize;

/// Identifiers are drawn at random, so that they take their full length.
const INCARNATION: Incarnation = Incarnation(u64::MAX / 3);
const MOMENT: UnixMs = UnixMs(1_800_000_000_000);
const STAMP: Stamp = Stamp { revision: 400_000, digest: Digest(u64::MAX / 5) };
const REPORTED_TEAMS: u32 = 8;
const BODY_BYTES: usize = 1_024;
const TOKEN_BYTES: usize = 160;

/// A message and its length on the stream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FrameSize {
    /// The message.
    pub frame: &'static str,
    /// Encoded bytes, with the length in front.
    pub bytes: usize,
}

fn attempt() -> AttemptId {
    let request = RequestId { entry: INCARNATION, sequence: 1_000_000 };
    AttemptId { request, ordinal: 0 }
}

fn load() -> Load {
    let waiting = (0..3).map(|rank| TierWaiting { rank, requests: 200 }).collect();
    Load {
        sampled: MOMENT,
        state: AgentState::Serving,
        running: 280,
        slots: 512,
        waiting,
        service_ms: 14_000,
    }
}

fn team(number: u32) -> TeamId {
    TeamId::new(&format!("team-{number:03}"))
}

fn submit() -> Submit {
    Submit {
        attempt: attempt(),
        agent: INCARNATION,
        team: team(7),
        tier: TierId::new("tier-1"),
        route: RouteId::new("route-07"),
        idempotent: true,
        key: None,
        content: u64::MAX / 3,
        deadline: MOMENT,
        head: RequestHead {
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            headers: Vec::new(),
        },
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
    }
}

fn hello() -> Hello {
    Hello {
        versions: SUPPORTED_VERSIONS,
        instance: InstanceId::new("agent-of-runner-123"),
        incarnation: INCARNATION,
        role: PeerRole::Agent { backend_server: FleetShape::backend(123) },
        stamp: STAMP,
    }
}

fn frames(effort: Effort) -> Vec<(&'static str, Frame)> {
    let demands = (0..REPORTED_TEAMS)
        .map(|number| TeamDemand { team: team(number), requests_per_s: 1.5 })
        .collect();
    let totals = (0..REPORTED_TEAMS)
        .map(|number| TeamTotal { team: team(number), requests_per_s: 600.0, entries: 400 })
        .collect();
    let token = Bytes::from(vec![b't'; TOKEN_BYTES]);
    let document = published(effort, effort.design.backends, 1).bytes;
    let attempt = attempt();
    let nonce = 100_000;
    vec![
        ("hello of an agent", Frame::Hello(hello())),
        ("heartbeat", Frame::ToAgent(ToAgent::Heartbeat { nonce, stamp: STAMP })),
        (
            "heartbeat ack with load",
            Frame::ToEntry(ToEntry::HeartbeatAck { nonce, stamp: STAMP, load: load() }),
        ),
        ("submit with 1 KiB body", Frame::ToAgent(ToAgent::Submit(Box::new(submit())))),
        ("accepted with load", Frame::ToEntry(ToEntry::Accepted { attempt, load: load() })),
        (
            "chunk of one 160-byte token event",
            Frame::ToEntry(ToEntry::Chunk { attempt, index: 100, bytes: token }),
        ),
        ("received", Frame::ToAgent(ToAgent::Received { attempt, next_chunk: 100 })),
        (
            "end with load",
            Frame::ToEntry(ToEntry::End {
                attempt,
                chunk_count: 206,
                byte_count: 33_000,
                load: load(),
            }),
        ),
        ("demand of 8 teams", Frame::ToAgent(ToAgent::Demand(demands))),
        ("totals of 8 teams", Frame::ToEntry(ToEntry::Totals(totals))),
        ("announce", Frame::Announce(STAMP)),
        ("config request", Frame::ConfigRequest),
        ("config offer at the design size", Frame::ConfigOffer(ConfigOffer::new(STAMP, &document))),
    ]
}

/// Lengths of the messages that make up control and data traffic.
pub(super) fn frame_sizes(effort: Effort) -> Vec<FrameSize> {
    let sizes = frames(effort).into_iter().filter_map(|(frame, content)| {
        let bytes = encode(&content).ok()?.len();
        Some(FrameSize { frame, bytes })
    });
    sizes.chain([instance_list(effort)]).collect()
}

/// The platform's instance list as a reader gets it.
fn instance_list(effort: Effort) -> FrameSize {
    let shape = scaled(effort, effort.design.backends);
    let list = serde_json::to_vec(&instances(shape, effort.design.entries));
    FrameSize { frame: "instance list at the design size", bytes: list.map_or(0, |it| it.len()) }
}
